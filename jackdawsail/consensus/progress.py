"""What a leader knows of each member, and what follows from it: commit and lease."""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.log import Entry, Snapshot

NumberT = TypeVar('NumberT', int, float)


@dataclass(slots=True)
class Transfer:
    """A snapshot on its way to a member; one piece is under way at a time."""

    snapshot: Snapshot
    offset: int = 0
    sent_seconds: float = -math.inf


@dataclass(slots=True)
class Progress:
    """One member as its leader sees it.

    ``acked_seconds`` is when the leader sent the latest append that the member
    has acknowledged, by the leader's clock.
    """

    matched: int
    following: int
    acked_seconds: float = -math.inf
    joined_seconds: float = 0
    transfer: Transfer | None = None
    under_way_bytes: int = 0
    # Of each append under way: the index of its last entry and its size.
    _under_way: deque[tuple[int, int]] = field(default_factory=deque)

    def sent(self, entries: Sequence[Entry]) -> None:
        """Notes entries that have been sent after the last ones."""
        if entries:
            size_bytes = sum(len(entry.body) for entry in entries)
            self.following = entries[-1].index + 1
            self.under_way_bytes += size_bytes
            self._under_way.append((entries[-1].index, size_bytes))

    def match(self, index: int) -> None:
        """Notes up to which index the member holds the log."""
        self.matched = max(self.matched, index)
        self.following = max(self.following, self.matched + 1)
        while self._under_way and self._under_way[0][0] <= self.matched:
            self.under_way_bytes -= self._under_way.popleft()[1]

    def go_back(self, following: int) -> None:
        """Goes on from an index, because what was sent has been lost."""
        self.following = following
        self.under_way_bytes = 0
        self._under_way.clear()

    def silent_seconds(self, now_seconds: float) -> float:
        """Returns for how long the member has acknowledged nothing."""
        return now_seconds - max(self.acked_seconds, self.joined_seconds)


class ProgressTable:
    """The progress of every other member of the configuration."""

    def __init__(self, node: str) -> None:
        self._node = node
        self._members: dict[str, Progress] = {}

    def clear(self) -> None:
        """Forgets everything, as a new leader must."""
        self._members.clear()

    def refresh(self, configuration: Configuration, last_index: int, now_seconds: float) -> None:
        """Adds members that are new in a configuration and drops those that have left."""
        members = set(configuration.members) - {self._node}
        for gone in self._members.keys() - members:
            self._members.pop(gone)
        for new in members - self._members.keys():
            fresh = Progress(0, last_index + 1, joined_seconds=now_seconds)
            self._members[new] = fresh

    def get(self, node: str) -> Progress | None:
        """Returns the progress of a member, or None."""
        return self._members.get(node)

    def nodes(self) -> Iterable[str]:
        """Returns the other members in a fixed order."""
        return sorted(self._members)

    def matched(self, node: str) -> int:
        """Returns up to which index a member is known to hold the log."""
        return self._members[node].matched

    def committed(self, configuration: Configuration, own_index: int) -> int:
        """Returns the highest index that a majority of the voters holds."""
        matched = [self._matched(voter, own_index) for voter in configuration.voters]
        return _quorum_value(matched, configuration)

    def quorum_seconds(self, configuration: Configuration, now_seconds: float) -> float:
        """Returns since when (leader's clock) a quorum is known to support the leader."""
        acked = [self._acked(voter, now_seconds) for voter in configuration.voters]
        return _quorum_value(acked, configuration)

    def _matched(self, voter: str, own_index: int) -> int:
        if voter == self._node:
            return own_index
        return self._members[voter].matched

    def _acked(self, voter: str, now_seconds: float) -> float:
        if voter == self._node:
            return now_seconds
        return self._members[voter].acked_seconds


def _quorum_value(found: list[NumberT], configuration: Configuration) -> NumberT:
    return sorted(found, reverse=True)[configuration.quorum - 1]
