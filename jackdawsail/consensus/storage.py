"""The durable side of a consensus node: vote, log segments and snapshot in one folder.

One fsync makes a whole batch of entries durable. Entries that replace earlier
ones are appended like all others; reading the log again, the later record of an
index wins. Old segments are removed once a snapshot covers them.
"""

from collections.abc import Callable, Sequence

from returns.result import Failure, Result, Success

from jackdawsail.consensus.effects import Effect, SaveEntries, SaveSnapshot, SaveVote
from jackdawsail.consensus.files import FileOperations, replace_durably
from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.records import SegmentHeader, encode_batch, encode_header
from jackdawsail.consensus.sealed import write_sealed

SEGMENT_BYTES = 1_048_576
VOTE_FILE = 'vote'
SNAPSHOT_FILE = 'snapshot'
DISK_FILE = 'disk-id'
COMMIT_FILE = 'commit'
LOG_PREFIX = 'log-'


def segment_name(number: int) -> str:
    """Names a segment so that names sort in the order of writing."""
    return f'{LOG_PREFIX}{number:012d}'


class Storage:
    """Writes what a node must not forget. After a failed write it takes no other."""

    def __init__(
        self, files: FileOperations, segments: dict[int, int], batch: int, size_bytes: int
    ) -> None:
        self.failure = ''
        self._files = files
        # Number of each segment -> the first index in it.
        self._segments = segments
        self._batch = batch
        self._size_bytes = size_bytes
        self._pending: list[Entry] = []

    def save(self, effects: Sequence[Effect]) -> Result[None, str]:
        """Makes the durable effects of a batch durable, in their order."""
        return self._guarded(lambda: self._save(effects))

    def save_snapshot(self, snapshot: Snapshot, keep_entries: int) -> Result[None, str]:
        """Makes a snapshot durable and removes segments that it makes needless."""
        return self._guarded(lambda: self._save_snapshot(snapshot, keep_entries))

    def save_commit_index(self, index: int) -> Result[None, str]:
        """Notes up to where the log is committed, for the next start."""
        return self._guarded(lambda: write_sealed(self._files, COMMIT_FILE, index))

    def restart_log(self, first_index: int) -> Result[None, str]:
        """Begins a new log at an index; earlier segments are void."""
        return self._guarded(lambda: self._begin_segment(SegmentHeader(first_index, True)))

    def close(self) -> None:
        """Closes the files."""
        self._files.close()

    def _guarded(self, action: Callable[[], None]) -> Result[None, str]:
        if self.failure:
            return Failure(self.failure)
        try:
            action()
        except OSError as error:
            # What a failed write or fsync has left on the disk is unknown.
            self.failure = f'storage: {error}'
            return Failure(self.failure)
        return Success(None)

    def _save(self, effects: Sequence[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SaveVote):
                write_sealed(self._files, VOTE_FILE, [effect.term, effect.voted_for])
            elif isinstance(effect, SaveEntries):
                self._pending.extend(effect.entries)
            elif isinstance(effect, SaveSnapshot):
                self._flush()
                self._install(effect)
        self._flush()

    def _flush(self) -> None:
        if not self._pending:
            return
        entries = self._pending
        self._pending = []
        if self._size_bytes > SEGMENT_BYTES:
            self._begin_segment(SegmentHeader(entries[0].index, restart=False))
        self._batch += 1
        body = encode_batch(entries, self._batch)
        name = segment_name(max(self._segments))
        self._files.append(name, body)
        self._files.sync(name)
        self._size_bytes += len(body)

    def _begin_segment(self, header: SegmentHeader) -> None:
        number = max(self._segments, default=0) + 1
        body = encode_header(header)
        replace_durably(self._files, segment_name(number), body)
        if header.restart:
            self._remove(list(self._segments))
        self._segments[number] = header.first_index
        self._size_bytes = len(body)

    def _install(self, effect: SaveSnapshot) -> None:
        self._save_snapshot(effect.snapshot, 0)
        if effect.restart_log:
            self._begin_segment(SegmentHeader(effect.snapshot.index + 1, restart=True))

    def _save_snapshot(self, snapshot: Snapshot, keep_entries: int) -> None:
        configuration = snapshot.configuration.encode()
        content = [snapshot.index, snapshot.term, configuration, snapshot.state]
        write_sealed(self._files, SNAPSHOT_FILE, content)
        covered = snapshot.index + 1 - keep_entries
        numbers = sorted(self._segments)
        needless = [
            number
            for number, following in zip(numbers, numbers[1:], strict=False)
            if self._segments[following] <= covered
        ]
        self._remove(needless)

    def _remove(self, numbers: list[int]) -> None:
        for number in sorted(numbers):
            self._files.remove(segment_name(number))
            self._segments.pop(number)
