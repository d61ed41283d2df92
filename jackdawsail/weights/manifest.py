"""The manifest of a release: its size, its chunks and the digests that verify them.

A manifest is fixed when the release is created and never changes. Example::

    manifest = manifest_from_record('critique-7', record).unwrap()
    span = manifest.span(0)
    span.offset_bytes, span.length_bytes
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import ConfigDict, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass
from returns.result import Failure, Result, Success

READ_BYTES = 1 << 20
FETCHED_STATUSES = ('running', 'done')


@dataclass(frozen=True, slots=True)
class ChunkSpan:
    """The position of a chunk in the file."""

    offset_bytes: int
    length_bytes: int


@checked_dataclass(frozen=True, config=ConfigDict(extra='ignore'))
class Manifest:
    """The content of a release; ``digest`` is the hex SHA-256 of the whole file."""

    release: str
    backend: str
    ordinal: int
    origin_path: str
    size_bytes: int
    chunk_bytes: int
    chunk_digests: tuple[str, ...]
    digest: str

    @property
    def chunk_count(self) -> int:
        """Returns the number of chunks."""
        return len(self.chunk_digests)

    def span(self, chunk: int) -> ChunkSpan:
        """Returns the position of a chunk; the last one may be shorter."""
        offset_bytes = chunk * self.chunk_bytes
        return ChunkSpan(offset_bytes, min(self.chunk_bytes, self.size_bytes - offset_bytes))

    def matches_chunk(self, chunk: int, body: bytes) -> bool:
        """Returns whether a body is this chunk, by length and SHA-256."""
        if len(body) != self.span(chunk).length_bytes:
            return False
        return hashlib.sha256(body).hexdigest() == self.chunk_digests[chunk]


_MANIFEST_ADAPTER = TypeAdapter(Manifest)


def manifest_from_record(release: str, record: Mapping[str, Any]) -> Result[Manifest, str]:
    """Builds a manifest from the replicated record of a release; fails if it is invalid."""
    try:
        manifest = _MANIFEST_ADAPTER.validate_python({**record, 'release': release})
    except ValidationError as error:
        return Failure(f'release {release!r} has {error.error_count()} invalid fields')
    if manifest.chunk_bytes < 1 or manifest.size_bytes < 1:
        return Failure(f'release {release!r} is empty')
    expected_count = (manifest.size_bytes + manifest.chunk_bytes - 1) // manifest.chunk_bytes
    if expected_count != manifest.chunk_count:
        return Failure(f'release {release!r} needs {expected_count} chunk digests')
    return Success(manifest)


@dataclass(frozen=True, slots=True)
class FileDigests:
    """The digests of one file, as a manifest needs them."""

    size_bytes: int
    chunk_digests: tuple[str, ...]
    digest: str


def digest_pieces(pieces: Iterable[bytes], chunk_bytes: int) -> FileDigests:
    """Computes the digests of a stream of bytes.

    At most one chunk and one piece are held in memory, whatever the size.
    """
    file_hash = hashlib.sha256()
    chunk_digests: list[str] = []
    pending = bytearray()
    size_bytes = 0
    for piece in pieces:
        file_hash.update(piece)
        size_bytes += len(piece)
        pending += piece
        while len(pending) >= chunk_bytes:
            chunk_digests.append(hashlib.sha256(pending[:chunk_bytes]).hexdigest())
            del pending[:chunk_bytes]
    if pending:
        chunk_digests.append(hashlib.sha256(pending).hexdigest())
    return FileDigests(size_bytes, tuple(chunk_digests), file_hash.hexdigest())


def digest_file(path: Path, chunk_bytes: int) -> FileDigests:
    """Computes the digests of a file in one pass, without loading it into memory."""
    with path.open('rb') as file:
        return digest_pieces(iter(lambda: file.read(READ_BYTES), b''), chunk_bytes)
