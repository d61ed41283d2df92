"""Replication progress of each member on the leader, from which commit and lease derive."""

import math
from collections import deque
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.log import Entry, LogView, Snapshot

NumberT = TypeVar('NumberT', int, float)


@dataclass(slots=True)
class SnapshotTransfer:
    """A snapshot transfer to a member, with a window of pieces in flight.

    ``received_bytes`` is what the member has confirmed, ``sent_bytes`` what it was sent, and
    ``active_seconds`` the time of its last confirmation or of the last repeated piece.
    """

    snapshot: Snapshot
    received_bytes: int = 0
    sent_bytes: int = 0
    active_seconds: float = -math.inf

    def confirm(self, received_bytes: int, now_seconds: float) -> None:
        """Records what the member has received; less than before after its restart."""
        if received_bytes != self.received_bytes:
            self.active_seconds = now_seconds
        if received_bytes < self.received_bytes:
            self.sent_bytes = received_bytes
        self.received_bytes = received_bytes
        self.sent_bytes = max(self.sent_bytes, received_bytes)

    def next_pieces(self, piece_bytes: int, limit_bytes: int) -> Iterator[slice]:
        """Yields the pieces to send until ``limit_bytes`` are in flight or all is sent.

        An empty state is one empty piece.
        """
        end = max(1, len(self.snapshot.state))
        while self.sent_bytes < min(end, self.received_bytes + limit_bytes):
            piece = slice(self.sent_bytes, self.sent_bytes + piece_bytes)
            self.sent_bytes = piece.stop
            yield piece


@dataclass(slots=True)
class Progress:
    """The replication progress of one member.

    ``acked_seconds`` is the time, on the leader's clock, at which the leader sent the
    latest append or snapshot piece that the member has acknowledged.
    """

    match_index: int
    next_index: int
    acked_seconds: float = -math.inf
    joined_seconds: float = 0
    transfer: SnapshotTransfer | None = None
    in_flight_bytes: int = 0
    # For each append in flight: the index of its last entry and its size in bytes.
    _in_flight: deque[tuple[int, int]] = field(default_factory=deque)

    def record_sent(self, entries: Sequence[Entry]) -> None:
        """Records that entries were sent and are in flight."""
        if entries:
            size_bytes = sum(len(entry.body) for entry in entries)
            self.next_index = entries[-1].index + 1
            self.in_flight_bytes += size_bytes
            self._in_flight.append((entries[-1].index, size_bytes))

    def needs_snapshot(self, log: LogView, snapshot: Snapshot | None, batch_bytes: int) -> bool:
        """Returns whether the member gets the snapshot rather than entries.

        It does if its next entry is compacted, or if the entries that the snapshot replaces
        have more bytes than the state and than one batch.
        """
        if self.transfer is not None or self.next_index <= log.base_index:
            return True
        if snapshot is None or self.next_index > snapshot.index or self._in_flight:
            return False
        missing_bytes = log.bytes_between(self.next_index - 1, snapshot.index)
        return missing_bytes > max(len(snapshot.state), batch_bytes)

    def record_match(self, index: int) -> None:
        """Records the index up to which the member's log matches; frees in-flight bytes."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)
        while self._in_flight and self._in_flight[0][0] <= self.match_index:
            self.in_flight_bytes -= self._in_flight.popleft()[1]

    def rewind_to(self, next_index: int) -> None:
        """Restarts sending at an index, because the member rejected an append."""
        self.next_index = next_index
        self.in_flight_bytes = 0
        self._in_flight.clear()

    def silent_seconds(self, now_seconds: float) -> float:
        """Returns the time since the last acknowledgement, or since the member was added."""
        return now_seconds - max(self.acked_seconds, self.joined_seconds)


class ProgressTable:
    """The progress of every other member of the configuration."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._members: dict[str, Progress] = {}

    def clear(self) -> None:
        """Removes all progress; a new leader starts from nothing."""
        self._members.clear()

    def refresh(self, configuration: Configuration, last_index: int, now_seconds: float) -> None:
        """Adds the new members of a configuration and drops the removed ones."""
        members = set(configuration.members) - {self._node}
        for removed in self._members.keys() - members:
            self._members.pop(removed)
        for added in members - self._members.keys():
            progress = Progress(0, last_index + 1, joined_seconds=now_seconds)
            self._members[added] = progress

    def get(self, node: str) -> Progress | None:
        """Returns the progress of a member, or None."""
        return self._members.get(node)

    def nodes(self) -> Iterable[str]:
        """Returns the other members in a fixed order."""
        return sorted(self._members)

    def match_index(self, node: str) -> int:
        """Returns the index up to which a member's log is known to match."""
        return self._members[node].match_index

    def quorum_match_index(self, configuration: Configuration, own_index: int) -> int:
        """Returns the highest index that a majority of the voters has stored."""
        indexes = [self._match_index(voter, own_index) for voter in configuration.voters]
        return _quorum_value(indexes, configuration)

    def quorum_acked_seconds(self, configuration: Configuration, now_seconds: float) -> float:
        """Returns the latest send time (leader's clock) that a quorum of voters has acknowledged."""
        send_times = [self._acked_seconds(voter, now_seconds) for voter in configuration.voters]
        return _quorum_value(send_times, configuration)

    def _match_index(self, voter: str, own_index: int) -> int:
        if voter == self._node:
            return own_index
        return self._members[voter].match_index

    def _acked_seconds(self, voter: str, now_seconds: float) -> float:
        if voter == self._node:
            return now_seconds
        return self._members[voter].acked_seconds


def _quorum_value(values: list[NumberT], configuration: Configuration) -> NumberT:
    return sorted(values, reverse=True)[configuration.quorum - 1]
