"""Opens the folder of a consensus node: first use, restart, torn tail, damage.

A torn tail, which a crash in the middle of a write leaves, is cut. Damage to
what had been synced is an error that names the file and offset, and nothing in
the folder is changed.
"""

from dataclasses import dataclass, field, replace
from typing import Any

from returns.result import Failure, Result, Success

from jackdawsail.consensus.configuration import decode_configuration
from jackdawsail.consensus.files import FileOperations
from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.node import Durable
from jackdawsail.consensus.records import (
    HEADER_BYTES,
    Record,
    decode_header,
    latest_batch_after,
    read_records,
)
from jackdawsail.consensus.sealed import read_sealed, write_sealed
from jackdawsail.consensus.storage import (
    COMMIT_FILE,
    DISK_FILE,
    LOG_PREFIX,
    SNAPSHOT_FILE,
    VOTE_FILE,
    Storage,
    segment_name,
)

TEMPORARY_SUFFIX = '.new'


@dataclass(frozen=True, slots=True)
class OpenedStorage:
    """A folder that is ready for use; ``fresh`` until a log or a vote is in it."""

    disk_id: str
    durable: Durable
    storage: Storage
    truncated_bytes: int

    @property
    def fresh(self) -> bool:
        """Tells whether the host has taken part in no group yet."""
        durable = self.durable
        return durable.term == 0 and not durable.entries and durable.snapshot is None


class _Damaged(Exception):
    """Carries the description of damage out of the reading functions."""


@dataclass(slots=True)
class _LogReader:
    """Puts the log together from its segments, later records replacing earlier ones."""

    covered_index: int
    entries: list[Entry] = field(default_factory=list)
    segments: dict[int, int] = field(default_factory=dict)
    batch: int = 0
    batch_ended: bool = True
    size_bytes: int = 0
    cut_name: str = ''
    cut_offset: int = 0

    def read(self, name: str, segment: bytes, is_last: bool) -> None:
        """Adds one segment; raises _Damaged."""
        header = decode_header(segment)
        if header is None:
            raise _Damaged(f'{name} at offset 0: the segment header is damaged')
        self._begin(name, header.first_index, header.restart)
        offset = HEADER_BYTES
        for record in read_records(segment, offset):
            self._add(name, offset, record)
            offset = record.end_offset
        if offset < len(segment):
            self._check_tail(name, segment, offset, is_last)
        self.size_bytes = offset

    @property
    def next_index(self) -> int:
        """Returns the index that must follow, or 0 at the beginning."""
        return self.entries[-1].index + 1 if self.entries else 0

    def _begin(self, name: str, first_index: int, restart: bool) -> None:
        gap = first_index > self.next_index
        if gap and first_index > self.covered_index + 1:
            raise _Damaged(f'{name} at offset 0: entries before {first_index} are missing')
        if restart or gap:
            self.entries = []
        number = int(name.removeprefix(LOG_PREFIX))
        self.segments[number] = first_index

    def _add(self, name: str, offset: int, record: Record) -> None:
        index = record.entry.index
        if self.entries and index > self.next_index:
            raise _Damaged(f'{name} at offset {offset}: entries before {index} are missing')
        if self.entries and index < self.next_index:
            del self.entries[max(0, index - self.entries[0].index) :]
        self.entries.append(record.entry)
        self.batch = record.batch
        self.batch_ended = record.ends_batch

    def _check_tail(self, name: str, segment: bytes, offset: int, is_last: bool) -> None:
        torn_batch = self.batch + 1 if self.batch_ended else self.batch
        if not is_last or latest_batch_after(segment, offset) > torn_batch:
            raise _Damaged(f'{name} at offset {offset}: the record is damaged')
        self.cut_name = name
        self.cut_offset = offset


def open_storage(files: FileOperations, new_disk_id: str) -> Result[OpenedStorage, str]:
    """Reads the folder and prepares it; ``new_disk_id`` names a disk used first now."""
    try:
        return Success(_open(files, new_disk_id))
    except _Damaged as damage:
        return Failure(str(damage))
    except OSError as error:
        return Failure(f'storage: {error}')


def _open(files: FileOperations, new_disk_id: str) -> OpenedStorage:
    names = files.names()
    if DISK_FILE not in names:
        _prepare(files, names, new_disk_id)
    disk_id = _sealed(files, DISK_FILE)
    if VOTE_FILE not in names and DISK_FILE in names:
        raise _Damaged(f'{VOTE_FILE} is missing, but the disk has been in use')
    term, voted_for = _sealed(files, VOTE_FILE)
    snapshot = _read_snapshot(files, names)
    reader = _read_log(files, names, snapshot)
    opened = _assemble(files, disk_id, (term, voted_for), snapshot, reader)
    durable = replace(opened.durable, commit_index=_read_commit(files, names))
    return replace(opened, durable=durable)


def _prepare(files: FileOperations, names: list[str], new_disk_id: str) -> None:
    used = [name for name in names if name.startswith(LOG_PREFIX) or name == SNAPSHOT_FILE]
    if used:
        raise _Damaged(f'{DISK_FILE} is missing, but {used[0]} is there')
    write_sealed(files, VOTE_FILE, [0, ''])
    write_sealed(files, DISK_FILE, new_disk_id)


def _sealed(files: FileOperations, name: str) -> Any:
    outcome = read_sealed(files, name)
    if isinstance(outcome, Failure):
        raise _Damaged(outcome.failure())
    return outcome.unwrap()


def _read_snapshot(files: FileOperations, names: list[str]) -> Snapshot | None:
    if SNAPSHOT_FILE not in names:
        return None
    index, term, configuration, state = _sealed(files, SNAPSHOT_FILE)
    return Snapshot(index, term, decode_configuration(configuration), state)


def _read_commit(files: FileOperations, names: list[str]) -> int:
    """Reads a lower bound of the commit index; a damaged one is only a hint that is lost."""
    if COMMIT_FILE not in names:
        return 0
    outcome = read_sealed(files, COMMIT_FILE)
    return 0 if isinstance(outcome, Failure) else int(outcome.unwrap())


def _read_log(files: FileOperations, names: list[str], snapshot: Snapshot | None) -> _LogReader:
    reader = _LogReader(0 if snapshot is None else snapshot.index)
    found = [
        name
        for name in sorted(names)
        if name.startswith(LOG_PREFIX) and not name.endswith(TEMPORARY_SUFFIX)
    ]
    for name in found:
        reader.read(name, files.read(name), is_last=name == found[-1])
    return reader


def _assemble(
    files: FileOperations,
    disk_id: str,
    vote: tuple[int, str],
    snapshot: Snapshot | None,
    reader: _LogReader,
) -> OpenedStorage:
    entries = _after_snapshot(reader.entries, snapshot)
    truncated_bytes = _cut(files, reader)
    storage = Storage(files, reader.segments, reader.batch, reader.size_bytes)
    durable = Durable(vote[0], vote[1], snapshot, entries)
    if not entries:
        # Nothing of the log counts any more, so a new one begins after the snapshot.
        first_index = 1 if snapshot is None else snapshot.index + 1
        outcome = storage.restart_log(first_index)
        if isinstance(outcome, Failure):
            raise _Damaged(outcome.failure())
    return OpenedStorage(disk_id, durable, storage, truncated_bytes)


def _after_snapshot(entries: list[Entry], snapshot: Snapshot | None) -> list[Entry]:
    if snapshot is None or not entries:
        return entries
    skipped = snapshot.index + 1 - entries[0].index
    if skipped == 0:
        return entries
    if skipped > len(entries) or entries[skipped - 1].term != snapshot.term:
        return []
    return entries[skipped:]


def _cut(files: FileOperations, reader: _LogReader) -> int:
    """Cuts a torn tail, and syncs what a killed process may have left unsynced."""
    size_bytes = 0
    if reader.cut_name:
        size_bytes = len(files.read(reader.cut_name)) - reader.cut_offset
        files.truncate(reader.cut_name, reader.cut_offset)
    if reader.segments:
        files.sync(segment_name(max(reader.segments)))
    files.sync_folder()
    return size_bytes
