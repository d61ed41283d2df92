"""Decides when the log is compacted into a snapshot, and how much of it stays behind the snapshot.

The log is limited by its size as well as by its number of entries. A host with an empty disk
then receives at most the state and a log of about the size of the state, however often the
state has been changed; the same holds for the disk and the memory of a member.
"""

from dataclasses import dataclass

from jackdawsail.consensus.log import LogView, Snapshot

KEPT_LOG_SHARE = 0.1  # of ``every_entries``; these entries stay in the log after a snapshot
MIN_LOG_BYTES = 262_144  # crosses a link of 10 Mbit/s within an election timeout


@dataclass(frozen=True, slots=True)
class Compaction:
    """The limits of the log after a snapshot: ``every_entries``, or the size of the snapshot.

    Example::

        compaction = Compaction(every_entries=200)
        position = (core.log, core.snapshot, host.applied_index)
        if compaction.is_due(*position):
            host.take_snapshot(compaction.entries_to_keep(*position))
    """

    every_entries: int

    def is_due(self, log: LogView, snapshot: Snapshot | None, applied_index: int) -> bool:
        """Returns whether the applied entries after the last snapshot reach one of the limits."""
        covered_index = log.base_index if snapshot is None else snapshot.index
        if applied_index <= covered_index:
            return False
        if applied_index - covered_index >= self.every_entries:
            return True
        return log.bytes_between(covered_index, applied_index) >= _limit_bytes(snapshot)

    def entries_to_keep(self, log: LogView, snapshot: Snapshot | None, applied_index: int) -> int:
        """Returns how many of the applied entries stay in the log behind the next snapshot.

        A member that is a little behind then gets entries instead of the whole state.
        """
        kept_entries = int(self.every_entries * KEPT_LOG_SHARE)
        return min(kept_entries, log.count_within(applied_index, _limit_bytes(snapshot)))


def _limit_bytes(snapshot: Snapshot | None) -> int:
    state_bytes = 0 if snapshot is None else len(snapshot.state)
    return max(MIN_LOG_BYTES, state_bytes)
