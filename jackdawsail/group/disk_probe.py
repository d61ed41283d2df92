"""Checks whether a disk that has refused a write accepts writes again."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from jackdawsail import events

PROBE_BYTES = 4096  # one block: a full disk refuses to allocate it

DISK_WRITABLE_AGAIN = events.define(245, 'info', 'disk accepts writes again, process restarts')


def accepts_writes(folder: str) -> bool:
    """Writes and syncs a probe file in a folder, and logs the outcome."""
    try:
        _write_probe(Path(folder) / 'probe')
    except OSError as error:
        events.log(events.DISK_WRITE_REFUSED, folder=folder, reason=str(error))
        return False
    events.log(DISK_WRITABLE_AGAIN, folder=folder)
    return True


def _write_probe(path: Path) -> None:
    with _open_for_writing(path) as descriptor:
        os.write(descriptor, bytes(PROBE_BYTES))
        os.fsync(descriptor)
    path.unlink()


@contextmanager
def _open_for_writing(path: Path) -> Iterator[int]:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    try:
        yield descriptor
    finally:
        os.close(descriptor)
