"""Durable storage of a consensus node: vote, log segments and snapshot in one folder.

One fsync makes a whole batch of entries durable. Entries that replace earlier
ones are appended like all others; when the log is read, the later record of an
index wins. Old segments are removed once a snapshot covers them.
"""

from collections.abc import Callable, Sequence

from returns.result import Failure, Result, Success

from jackdawsail.consensus.checksummed import write_checksummed
from jackdawsail.consensus.effects import Effect, SaveEntries, SaveSnapshot, SaveVote
from jackdawsail.consensus.files import FileOperations, replace_durably
from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.records import SegmentHeader, encode_batch, encode_header

SEGMENT_BYTES = 1_048_576
VOTE_FILE = 'vote'
SNAPSHOT_FILE = 'snapshot'
DISK_FILE = 'disk-id'
COMMIT_FILE = 'commit'
LOG_PREFIX = 'log-'


def segment_name(number: int) -> str:
    """Returns the file name of a segment; names sort in the order of writing."""
    return f'{LOG_PREFIX}{number:012d}'


class Storage:
    """Writes the durable state of a node; after a failed write it refuses all others."""

    def __init__(
        self, files: FileOperations, segments: dict[int, int], batch: int, size_bytes: int
    ) -> None:
        self.failure = ''
        self._files = files
        # Segment number -> index of its first entry.
        self._segments = segments
        self._batch = batch
        self._size_bytes = size_bytes
        self._pending: list[Entry] = []

    def save(self, effects: Sequence[Effect]) -> Result[None, str]:
        """Makes the durable effects of a batch durable, in order."""
        return self._run_unless_failed(lambda: self._save(effects))

    def save_snapshot(self, snapshot: Snapshot, keep_entries: int) -> Result[None, str]:
        """Makes a snapshot durable and removes segments that it makes obsolete."""
        return self._run_unless_failed(lambda: self._save_snapshot(snapshot, keep_entries))

    def save_commit_index(self, index: int) -> Result[None, str]:
        """Saves the committed index, from which the next start can apply entries at once."""
        return self._run_unless_failed(lambda: write_checksummed(self._files, COMMIT_FILE, index))

    def restart_log(self, first_index: int) -> Result[None, str]:
        """Starts a new log at an index and removes all earlier segments."""
        return self._run_unless_failed(
            lambda: self._start_segment(SegmentHeader(first_index, True))
        )

    def close(self) -> None:
        """Closes the files."""
        self._files.close()

    def _run_unless_failed(self, action: Callable[[], None]) -> Result[None, str]:
        if self.failure:
            return Failure(self.failure)
        try:
            action()
        except OSError as error:
            # After a failed write or fsync the content on the disk is unknown.
            self.failure = f'storage: {error}'
            return Failure(self.failure)
        return Success(None)

    def _save(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SaveVote):
                write_checksummed(self._files, VOTE_FILE, [effect.term, effect.voted_for])
            elif isinstance(effect, SaveEntries):
                self._pending.extend(effect.entries)
            elif isinstance(effect, SaveSnapshot):
                self._flush()
                self._install_snapshot(effect)
        self._flush()

    def _flush(self) -> None:
        if not self._pending:
            return
        entries = self._pending
        self._pending = []
        if self._size_bytes > SEGMENT_BYTES:
            self._start_segment(SegmentHeader(entries[0].index, restart=False))
        self._batch += 1
        body = encode_batch(entries, self._batch)
        name = segment_name(max(self._segments))
        self._files.append(name, body)
        self._files.sync(name)
        self._size_bytes += len(body)

    def _start_segment(self, header: SegmentHeader) -> None:
        number = max(self._segments, default=0) + 1
        body = encode_header(header)
        replace_durably(self._files, segment_name(number), body)
        if header.restart:
            self._remove_segments(list(self._segments))
        self._segments[number] = header.first_index
        self._size_bytes = len(body)

    def _install_snapshot(self, effect: SaveSnapshot) -> None:
        self._save_snapshot(effect.snapshot, 0)
        if effect.restart_log:
            self._start_segment(SegmentHeader(effect.snapshot.index + 1, restart=True))

    def _save_snapshot(self, snapshot: Snapshot, keep_entries: int) -> None:
        configuration = snapshot.configuration.encode()
        content = [snapshot.index, snapshot.term, configuration, snapshot.state]
        write_checksummed(self._files, SNAPSHOT_FILE, content)
        first_kept_index = snapshot.index + 1 - keep_entries
        numbers = sorted(self._segments)
        obsolete = [
            number
            for number, following in zip(numbers, numbers[1:], strict=False)
            if self._segments[following] <= first_kept_index
        ]
        self._remove_segments(obsolete)

    def _remove_segments(self, numbers: list[int]) -> None:
        for number in sorted(numbers):
            self._files.remove(segment_name(number))
            self._segments.pop(number)
