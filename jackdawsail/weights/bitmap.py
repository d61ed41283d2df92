"""Chunk bitmaps: chunk ``i`` is bit ``i % 8`` of byte ``i // 8``, least significant first."""

from collections.abc import Iterable

BITS_PER_BYTE = 8
_BITS_OF_BYTE = tuple(
    tuple(bit for bit in range(BITS_PER_BYTE) if byte >> bit & 1) for byte in range(256)
)


def pack_chunks(chunks: Iterable[int], chunk_count: int) -> bytes:
    """Encodes a set of chunk indexes as a bitmap of ``chunk_count`` bits."""
    packed = bytearray((chunk_count + BITS_PER_BYTE - 1) // BITS_PER_BYTE)
    for chunk in chunks:
        packed[chunk // BITS_PER_BYTE] |= 1 << chunk % BITS_PER_BYTE
    return bytes(packed)


def unpack_chunks(bitmap: bytes, chunk_count: int) -> set[int]:
    """Decodes a bitmap; bits beyond ``chunk_count`` are ignored."""
    chunks: set[int] = set()
    for position, byte in enumerate(bitmap):
        if byte:
            first = position * BITS_PER_BYTE
            chunks.update(first + bit for bit in _BITS_OF_BYTE[byte])
    if len(bitmap) * BITS_PER_BYTE > chunk_count:
        chunks.difference_update(range(chunk_count, len(bitmap) * BITS_PER_BYTE))
    return chunks
