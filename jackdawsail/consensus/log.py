"""The log in memory: entries after the last snapshot, and the configurations in them.

Indexes begin at 1. ``base`` is the point (index and term) that the snapshot
covers; the entries follow it without a gap.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.consensus.configuration import Configuration, decode_configuration

MAX_BATCH_ENTRIES = 1024


class EntryKind(StrEnum):
    """What an entry holds."""

    noop = 'noop'
    command = 'command'
    configuration = 'configuration'


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; the body is opaque unless it is a configuration."""

    index: int
    term: int
    kind: EntryKind
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after every entry up to ``index``, with the configuration there."""

    index: int
    term: int
    configuration: Configuration
    state: bytes


@dataclass(frozen=True, slots=True)
class _ConfigurationPoint:
    index: int
    configuration: Configuration


class LogView:
    """Answers what the log holds, and keeps the latest configuration at hand."""

    def __init__(self, snapshot: Snapshot | None = None, entries: Sequence[Entry] = ()) -> None:
        self.base_index = 0
        self.base_term = 0
        self._entries: list[Entry] = []
        self._points = [_ConfigurationPoint(0, Configuration())]
        if snapshot is not None:
            self.reset(snapshot)
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Returns the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Returns the latest configuration, committed or not."""
        return self._points[-1].configuration

    @property
    def configuration_index(self) -> int:
        """Returns the index of the entry that holds the latest configuration."""
        return self._points[-1].index

    def configuration_at(self, index: int) -> Configuration:
        """Returns the configuration that held at an index of the log or of its base."""
        points = (point for point in reversed(self._points) if point.index <= index)
        return next(points, self._points[0]).configuration

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def between(self, after_index: int, until_index: int) -> list[Entry]:
        """Returns the entries in ``(after_index, until_index]``."""
        start = after_index - self.base_index
        if start < 0:
            raise AssertionError(f'entries after {after_index} are in the snapshot already')
        return self._entries[start : until_index - self.base_index]

    def batch(self, after_index: int, limit_bytes: int) -> list[Entry]:
        """Returns entries after an index up to a size; at least one if there is one."""
        start = after_index - self.base_index
        taken: list[Entry] = []
        size_bytes = 0
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size_bytes += len(entry.body)
            if taken and size_bytes > limit_bytes:
                break
            taken.append(entry)
        return taken

    def append(self, entries: Sequence[Entry]) -> None:
        """Adds entries after the last one."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise AssertionError(f'entry {entry.index} after {self.last_index}')
            self._entries.append(entry)
            if entry.kind is EntryKind.configuration:
                configuration = decode_configuration(entry.body)
                self._points.append(_ConfigurationPoint(entry.index, configuration))

    def truncate_from(self, index: int) -> None:
        """Drops the entries from an index on."""
        del self._entries[index - self.base_index - 1 :]
        while len(self._points) > 1 and self._points[-1].index >= index:
            self._points.pop()

    def compact_to(self, index: int) -> None:
        """Drops the entries up to an index that a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise AssertionError(f'cannot compact to {index}, the log ends before')
        kept = [point for point in self._points if point.index > index]
        base = _ConfigurationPoint(self._index_in_force(index), self.configuration_at(index))
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        self._points = [base, *kept]

    def reset(self, snapshot: Snapshot) -> None:
        """Starts again after a snapshot, with no entries."""
        self._entries = []
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self._points = [_ConfigurationPoint(snapshot.index, snapshot.configuration)]

    def first_index_of_term(self, index: int) -> int:
        """Returns the first index that has the term of the entry at ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_of_term(self, term: int) -> int:
        """Returns the last index with a term, or 0 if the log holds none."""
        for entry in reversed(self._entries):
            if entry.term == term:
                return entry.index
            if entry.term < term:
                break
        return self.base_index if self.base_term == term else 0

    def _index_in_force(self, index: int) -> int:
        return max(point.index for point in self._points if point.index <= index)
