"""The chunk store under crashes, corruption on disk, a full disk and restarts."""

import errno
import os

import pytest
from returns.result import Failure, Success

from jackdawsail.weights.chunk_store import BITMAP_FILE, ChunkStore
from test.weights.zone_sim import CHUNK_BYTES, make_manifest

SPACE_BYTES = 100 * CHUNK_BYTES


def body_of(chunk):
    return bytes([chunk]) * CHUNK_BYTES


@pytest.fixture
def opened(tmp_path):
    store = ChunkStore(tmp_path, SPACE_BYTES)
    yield store, store.open(make_manifest(4), keep=()).unwrap()
    store.close()


def reopen(tmp_path):
    return ChunkStore(tmp_path, SPACE_BYTES).open(make_manifest(4), keep=()).unwrap()


def test_only_synced_chunks_survive_a_crash(tmp_path, opened):
    _store, stored = opened
    stored.write(0, body_of(0))
    stored.sync()
    stored.write(1, body_of(1))
    assert reopen(tmp_path).held == {0}


def test_damaged_bitmap_is_ignored(tmp_path, opened):
    _store, stored = opened
    stored.write(0, body_of(0))
    stored.sync()
    bitmap = tmp_path / 'quill-2' / BITMAP_FILE
    framed = bytearray(bitmap.read_bytes())
    framed[-1] ^= 1
    bitmap.write_bytes(framed)
    assert reopen(tmp_path).held == set()


def test_chunk_corrupted_on_disk_is_detected_before_a_load(tmp_path, opened):
    _store, stored = opened
    for chunk in range(4):
        stored.write(chunk, body_of(chunk))
    stored.sync()
    with stored.path.open('r+b') as model:
        model.seek(2 * CHUNK_BYTES)
        model.write(b'x')
    again = reopen(tmp_path)
    assert again.is_complete
    assert not again.verify()
    assert again.held == {0, 1, 3}
    again.write(2, body_of(2))
    assert again.verify()


def test_write_to_a_full_disk_fails_and_works_again_later(opened, monkeypatch):
    _store, stored = opened
    pwrite = os.pwrite

    def raise_no_space(*_arguments):
        raise OSError(errno.ENOSPC, 'No space left on device')

    monkeypatch.setattr(os, 'pwrite', raise_no_space)
    assert isinstance(stored.write(0, body_of(0)), Failure)
    assert stored.held == set()
    monkeypatch.setattr(os, 'pwrite', pwrite)
    assert isinstance(stored.write(0, body_of(0)), Success)


def test_space_is_bounded_and_old_releases_are_removed(tmp_path):
    store = ChunkStore(tmp_path, 10 * CHUNK_BYTES)
    for release in ('quill-1', 'quill-2'):
        store.open(make_manifest(4, release), keep=('quill-1',)).unwrap()
    refused = store.open(make_manifest(4, 'quill-3'), keep=('quill-1', 'quill-2'))
    assert isinstance(refused, Failure)
    store.open(make_manifest(4, 'quill-3'), keep=('quill-2',)).unwrap()
    assert sorted(each.name for each in tmp_path.iterdir()) == ['quill-2', 'quill-3']
    store.close()
