"""Opens the data folder of a consensus node and recovers its durable state.

A torn tail, left by a crash in the middle of a write, is truncated. Damage to
synced data is an error that names the file and offset; the folder is then left
unchanged.
"""

from dataclasses import dataclass, field, replace
from typing import Any

from returns.result import Failure, Result, Success

from jackdawsail.consensus.checksummed import read_checksummed, write_checksummed
from jackdawsail.consensus.configuration import decode_configuration
from jackdawsail.consensus.files import FileOperations
from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.node import DurableState
from jackdawsail.consensus.records import (
    HEADER_BYTES,
    Record,
    decode_header,
    latest_batch_after,
    read_records,
)
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
    """An opened data folder; ``truncated_bytes`` is the size of the removed torn tail."""

    disk_id: str
    durable: DurableState
    storage: Storage
    truncated_bytes: int

    @property
    def fresh(self) -> bool:
        """Returns whether the folder holds no vote, log or snapshot of any group yet."""
        durable = self.durable
        return durable.term == 0 and not durable.entries and durable.snapshot is None


class _Damaged(Exception):
    """Raised by the reading functions with a description of the damage."""


@dataclass(slots=True)
class _LogReader:
    """Reassembles the log from its segments; later records replace earlier ones."""

    snapshot_index: int
    entries: list[Entry] = field(default_factory=list)
    # Segment number -> index of its first entry, as in Storage.
    segments: dict[int, int] = field(default_factory=dict)
    batch: int = 0
    batch_ended: bool = True
    size_bytes: int = 0
    torn_name: str = ''
    torn_offset: int = 0

    def add_segment(self, name: str, segment: bytes, is_last: bool) -> None:
        """Adds one segment; raises _Damaged."""
        header = decode_header(segment)
        if header is None:
            raise _Damaged(f'{name} at offset 0: the segment header is damaged')
        self._start_segment(name, header.first_index, header.restart)
        offset = HEADER_BYTES
        for record in read_records(segment, offset):
            self._add_record(name, offset, record)
            offset = record.end_offset
        if offset < len(segment):
            self._check_tail(name, segment, offset, is_last)
        self.size_bytes = offset

    @property
    def next_index(self) -> int:
        """Returns the index of the next expected entry, or 0 while there are no entries."""
        return self.entries[-1].index + 1 if self.entries else 0

    def _start_segment(self, name: str, first_index: int, restart: bool) -> None:
        has_gap = first_index > self.next_index
        if has_gap and first_index > self.snapshot_index + 1:
            raise _Damaged(f'{name} at offset 0: entries before {first_index} are missing')
        if restart or has_gap:
            self.entries = []
        number = int(name.removeprefix(LOG_PREFIX))
        self.segments[number] = first_index

    def _add_record(self, name: str, offset: int, record: Record) -> None:
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
        self.torn_name = name
        self.torn_offset = offset


def open_storage(files: FileOperations, new_disk_id: str) -> Result[OpenedStorage, str]:
    """Opens a data folder; an unused one is initialised with ``new_disk_id`` as its disk id."""
    try:
        return Success(_open(files, new_disk_id))
    except _Damaged as damage:
        return Failure(str(damage))
    except OSError as error:
        return Failure(f'storage: {error}')


def _open(files: FileOperations, new_disk_id: str) -> OpenedStorage:
    names = files.names()
    if DISK_FILE not in names:
        _initialise_folder(files, names, new_disk_id)
    disk_id = _read_intact(files, DISK_FILE)
    if VOTE_FILE not in names and DISK_FILE in names:
        raise _Damaged(f'{VOTE_FILE} is missing, but the disk has been in use')
    term, voted_for = _read_intact(files, VOTE_FILE)
    snapshot = _read_snapshot(files, names)
    reader = _read_log(files, names, snapshot)
    opened = _assemble(files, disk_id, (term, voted_for), snapshot, reader)
    durable = replace(opened.durable, commit_index=_read_commit(files, names))
    return replace(opened, durable=durable)


def _initialise_folder(files: FileOperations, names: list[str], new_disk_id: str) -> None:
    group_files = [name for name in names if name.startswith(LOG_PREFIX) or name == SNAPSHOT_FILE]
    if group_files:
        raise _Damaged(f'{DISK_FILE} is missing, but {group_files[0]} is there')
    write_checksummed(files, VOTE_FILE, [0, ''])
    write_checksummed(files, DISK_FILE, new_disk_id)


def _read_intact(files: FileOperations, name: str) -> Any:
    outcome = read_checksummed(files, name)
    if isinstance(outcome, Failure):
        raise _Damaged(outcome.failure())
    return outcome.unwrap()


def _read_snapshot(files: FileOperations, names: list[str]) -> Snapshot | None:
    if SNAPSHOT_FILE not in names:
        return None
    index, term, configuration, state = _read_intact(files, SNAPSHOT_FILE)
    return Snapshot(index, term, decode_configuration(configuration), state)


def _read_commit(files: FileOperations, names: list[str]) -> int:
    """Reads the saved lower bound of the commit index; 0 if it is missing or damaged.

    It is an optimisation only, so damage to it is no error.
    """
    if COMMIT_FILE not in names:
        return 0
    outcome = read_checksummed(files, COMMIT_FILE)
    return 0 if isinstance(outcome, Failure) else int(outcome.unwrap())


def _read_log(files: FileOperations, names: list[str], snapshot: Snapshot | None) -> _LogReader:
    reader = _LogReader(0 if snapshot is None else snapshot.index)
    segment_names = [
        name
        for name in sorted(names)
        if name.startswith(LOG_PREFIX) and not name.endswith(TEMPORARY_SUFFIX)
    ]
    for name in segment_names:
        reader.add_segment(name, files.read(name), is_last=name == segment_names[-1])
    return reader


def _assemble(
    files: FileOperations,
    disk_id: str,
    vote: tuple[int, str],
    snapshot: Snapshot | None,
    reader: _LogReader,
) -> OpenedStorage:
    entries = _after_snapshot(reader.entries, snapshot)
    truncated_bytes = _truncate_torn_tail(files, reader)
    storage = Storage(files, reader.segments, reader.batch, reader.size_bytes)
    durable = DurableState(vote[0], vote[1], snapshot, entries)
    if not entries:
        # No entry of the log is valid any more, so a new log starts after the snapshot.
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


def _truncate_torn_tail(files: FileOperations, reader: _LogReader) -> int:
    """Truncates a torn tail and syncs data that a killed process may have left unsynced.

    Returns the number of bytes truncated.
    """
    size_bytes = 0
    if reader.torn_name:
        size_bytes = len(files.read(reader.torn_name)) - reader.torn_offset
        files.truncate(reader.torn_name, reader.torn_offset)
    if reader.segments:
        files.sync(segment_name(max(reader.segments)))
    files.sync_folder()
    return size_bytes
