"""Stores chunks on disk: one preallocated file per release, with a checksummed bitmap.

A chunk counts as held only if the bitmap names it. The bitmap is written after the
bytes of the chunk are synced, so that a partly written chunk never counts after a
crash. The caller verifies chunks before it writes them, and the whole file again
before an engine loads it.
"""

import hashlib
import os
import shutil
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from pathlib import Path

import cbor2
from returns.result import Failure, Result, Success

from jackdawsail.settings.models import AgentSettings
from jackdawsail.weights.bitmap import pack_chunks, unpack_chunks
from jackdawsail.weights.manifest import READ_BYTES, Manifest

MODEL_FILE = 'model'
BITMAP_FILE = 'bitmap'
BITMAP_VERSION = 1


@dataclass(frozen=True, slots=True)
class StoreError:
    """Why a disk operation failed, as a text for the operator."""

    reason: str


class StoredRelease:
    """The file of one release and the set of chunks that it holds."""

    def __init__(self, folder: Path, manifest: Manifest, descriptor: int) -> None:
        self.manifest = manifest
        self.path = folder / MODEL_FILE
        self.held: set[int] = set()
        self.origin_bytes = 0
        self.is_verified = False
        self._folder = folder
        self._descriptor = descriptor

    @property
    def is_complete(self) -> bool:
        """Returns whether every chunk is held."""
        return len(self.held) == self.manifest.chunk_count

    def write(self, chunk: int, body: bytes) -> Result[None, StoreError]:
        """Writes a verified chunk; it survives a crash after the next ``sync``."""
        offset_bytes = self.manifest.span(chunk).offset_bytes
        try:
            _write_all(self._descriptor, body, offset_bytes)
        except OSError as error:
            return Failure(StoreError(f'chunk store: {error.strerror}'))
        self.held.add(chunk)
        return Success(None)

    def read(self, chunk: int) -> bytes:
        """Reads a held chunk; the caller verifies it."""
        span = self.manifest.span(chunk)
        return os.pread(self._descriptor, span.length_bytes, span.offset_bytes)

    def sync(self) -> Result[None, StoreError]:
        """Syncs the chunks, then the bitmap that names them."""
        held = frozenset(self.held)
        try:
            os.fsync(self._descriptor)
            self._write_bitmap(held)
        except OSError as error:
            return Failure(StoreError(f'chunk store: {error.strerror}'))
        return Success(None)

    def verify(self) -> bool:
        """Verifies the digest of the whole file; if it differs, drops the corrupt chunks.

        Returns False for an incomplete release, without reading it.
        """
        if not self.is_complete:
            return False
        file_hash = hashlib.sha256()
        for piece in self._pieces():
            file_hash.update(piece)
        self.is_verified = file_hash.hexdigest() == self.manifest.digest
        if not self.is_verified:
            self.drop_corrupt_chunks()
        return self.is_verified

    def drop_corrupt_chunks(self) -> None:
        """Verifies every held chunk and removes the corrupt ones from the held set."""
        held = sorted(self.held)
        self.held = {
            chunk for chunk in held if self.manifest.matches_chunk(chunk, self.read(chunk))
        }

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)

    def load_bitmap(self) -> None:
        """Reads the bitmap of an earlier run; a damaged or foreign one is ignored."""
        try:
            checksum, body = cbor2.loads((self._folder / BITMAP_FILE).read_bytes())
            version, digest, bitmap, origin_bytes = cbor2.loads(body)
        except (OSError, ValueError, TypeError):
            return
        intact = hashlib.sha256(body).digest() == checksum and version == BITMAP_VERSION
        if intact and digest == self.manifest.digest:
            self.held = unpack_chunks(bitmap, self.manifest.chunk_count)
            self.origin_bytes = origin_bytes

    def _pieces(self) -> Iterator[bytes]:
        for offset_bytes in range(0, self.manifest.size_bytes, READ_BYTES):
            yield os.pread(self._descriptor, READ_BYTES, offset_bytes)

    def _write_bitmap(self, held: frozenset[int]) -> None:
        bitmap = pack_chunks(held, self.manifest.chunk_count)
        body = cbor2.dumps([BITMAP_VERSION, self.manifest.digest, bitmap, self.origin_bytes])
        framed = cbor2.dumps([hashlib.sha256(body).digest(), body])
        _replace_file(self._folder / BITMAP_FILE, framed)


class ChunkStore:
    """The releases stored under one folder, within ``space_bytes``."""

    def __init__(self, folder: Path, space_bytes: int) -> None:
        self._folder = folder
        self._space_bytes = space_bytes
        self._open_releases: dict[str, StoredRelease] = {}

    def get(self, release: str) -> StoredRelease | None:
        """Returns a release that is open in this run."""
        return self._open_releases.get(release)

    def releases(self) -> list[StoredRelease]:
        """Returns every release that is open in this run."""
        return list(self._open_releases.values())

    def open(self, manifest: Manifest, keep: Collection[str]) -> Result[StoredRelease, StoreError]:
        """Opens or preallocates a release; removes all others except those in ``keep``.

        Returns a release that is open already without removing any other.
        """
        already_open = self._open_releases.get(manifest.release)
        if already_open is not None:
            return Success(already_open)
        self.remove_all_but(set(keep) | {manifest.release})
        if self._used_bytes(manifest.release) + manifest.size_bytes > self._space_bytes:
            return Failure(StoreError('chunk store: chunk_space_bytes is too small'))
        return self._allocate(manifest)

    def remove_all_but(self, keep: Collection[str]) -> None:
        """Closes and removes every release that is not in ``keep``."""
        unwanted = set(self._open_releases).difference(keep)
        for release in unwanted:
            self._open_releases.pop(release).close()
        if not self._folder.is_dir():
            return
        for folder in self._folder.iterdir():
            if folder.is_dir() and folder.name not in keep:
                shutil.rmtree(folder, ignore_errors=True)

    def close(self) -> None:
        """Closes every file."""
        for stored in self._open_releases.values():
            stored.close()
        self._open_releases.clear()

    def _allocate(self, manifest: Manifest) -> Result[StoredRelease, StoreError]:
        folder = self._folder / manifest.release
        try:
            descriptor = _preallocate(folder, manifest.size_bytes)
        except OSError as error:
            return Failure(StoreError(f'chunk store: {error.strerror}'))
        stored = StoredRelease(folder, manifest, descriptor)
        stored.load_bitmap()
        self._open_releases[manifest.release] = stored
        return Success(stored)

    def _used_bytes(self, excluded: str) -> int:
        models = self._folder.glob(f'*/{MODEL_FILE}')
        return sum(model.stat().st_size for model in models if model.parent.name != excluded)


def make_chunk_store(settings: AgentSettings) -> ChunkStore:
    """Builds the chunk store that the agent's settings describe."""
    return ChunkStore(Path(settings.chunk_folder), settings.chunk_space_bytes)


def _preallocate(folder: Path, size_bytes: int) -> int:
    folder.mkdir(parents=True, exist_ok=True)
    descriptor = os.open(folder / MODEL_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        _allocate_blocks(descriptor, size_bytes)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def _allocate_blocks(descriptor: int, size_bytes: int) -> None:
    os.ftruncate(descriptor, size_bytes)
    os.posix_fallocate(descriptor, 0, size_bytes)


def _write_all(descriptor: int, body: bytes, offset_bytes: int) -> None:
    view = memoryview(body)
    while view:
        written = os.pwrite(descriptor, view, offset_bytes)
        offset_bytes += written
        view = view[written:]


def _replace_file(path: Path, body: bytes) -> None:
    replacement = path.with_suffix('.new')
    with replacement.open('wb') as file:
        file.write(body)
        file.flush()
        os.fsync(file.fileno())
    replacement.replace(path)
    descriptor = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
