"""Chunk bitmaps: chunk ``i`` is bit ``i % 8`` (least first) of byte ``i // 8``."""

from collections.abc import Iterable

BITS_PER_BYTE = 8


def pack_chunks(chunks: Iterable[int], chunk_count: int) -> bytes:
    """Encodes a set of chunk indexes as a bitmap of ``chunk_count`` bits."""
    packed = bytearray((chunk_count + BITS_PER_BYTE - 1) // BITS_PER_BYTE)
    for chunk in chunks:
        packed[chunk // BITS_PER_BYTE] |= 1 << chunk % BITS_PER_BYTE
    return bytes(packed)


def unpack_chunks(bitmap: bytes, chunk_count: int) -> set[int]:
    """Decodes a bitmap; bits beyond ``chunk_count`` are ignored."""
    limit = min(chunk_count, len(bitmap) * BITS_PER_BYTE)
    return {chunk for chunk in range(limit) if _is_set(bitmap, chunk)}


def _is_set(bitmap: bytes, chunk: int) -> bool:
    return bool(bitmap[chunk // BITS_PER_BYTE] >> chunk % BITS_PER_BYTE & 1)
