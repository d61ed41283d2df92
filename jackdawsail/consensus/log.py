"""The log in memory: entries after the base, and the configurations in them.

Indexes start at 1. The base is the index and term of the last entry that was dropped
because a snapshot covers it; the entries follow it without a gap.
"""

from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.consensus.configuration import Configuration, decode_configuration

MAX_BATCH_ENTRIES = 1024


class EntryKind(StrEnum):
    """The content type of an entry."""

    noop = 'noop'
    command = 'command'
    configuration = 'configuration'


@dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; only the body of a configuration entry is interpreted here."""

    index: int
    term: int
    kind: EntryKind
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all entries up to ``index``, and the configuration at that index."""

    index: int
    term: int
    configuration: Configuration
    state: bytes


@dataclass(frozen=True, slots=True)
class _ConfigurationPoint:
    index: int
    configuration: Configuration


class LogView:
    """The entries of the log, with an index of the configurations in them."""

    def __init__(self, snapshot: Snapshot | None = None, entries: Sequence[Entry] = ()) -> None:
        self.base_index = 0
        self.base_term = 0
        self._entries: list[Entry] = []
        # Bytes of all bodies appended until the base, and until each entry after it.
        self._end_bytes = [0]
        self._points = [_ConfigurationPoint(0, Configuration())]
        if snapshot is not None:
            self.reset(snapshot)
        self.append(entries)

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry, or of the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Returns the term of the last entry, or of the base if there is none."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def configuration(self) -> Configuration:
        """Returns the latest configuration, committed or not."""
        return self._points[-1].configuration

    @property
    def configuration_index(self) -> int:
        """Returns the index of the entry or snapshot that holds the latest configuration."""
        return self._points[-1].index

    def configuration_at(self, index: int) -> Configuration:
        """Returns the configuration in force at an index of the log or of its base."""
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
        """Returns the entries in ``(after_index, until_index]``, which must not be compacted yet."""
        start = after_index - self.base_index
        if start < 0:
            raise AssertionError(
                f'entries after {after_index} are already compacted into the snapshot'
            )
        return self._entries[start : until_index - self.base_index]

    def bytes_between(self, after_index: int, until_index: int) -> int:
        """Returns the size of the bodies in ``(after_index, until_index]``.

        Neither index may be before the base or after the last entry.
        """
        ends = self._end_bytes
        return ends[until_index - self.base_index] - ends[after_index - self.base_index]

    def count_within(self, until_index: int, limit_bytes: int) -> int:
        """Returns how many entries up to an index fit into a limit, counted backwards."""
        position = until_index - self.base_index
        start_bytes = self._end_bytes[position] - limit_bytes
        return position - bisect_left(self._end_bytes, start_bytes, 0, position)

    def batch(self, after_index: int, limit_bytes: int) -> list[Entry]:
        """Returns up to ``MAX_BATCH_ENTRIES`` entries after an index.

        Their bodies exceed ``limit_bytes`` only if that of the first one does.
        """
        start = after_index - self.base_index
        selected: list[Entry] = []
        size_bytes = 0
        for entry in self._entries[start : start + MAX_BATCH_ENTRIES]:
            size_bytes += len(entry.body)
            if selected and size_bytes > limit_bytes:
                break
            selected.append(entry)
        return selected

    def append(self, entries: Sequence[Entry]) -> None:
        """Appends entries; their indexes must continue the log."""
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise AssertionError(
                    f'entry {entry.index} does not follow last index {self.last_index}'
                )
            self._entries.append(entry)
            self._end_bytes.append(self._end_bytes[-1] + len(entry.body))
            if entry.kind is EntryKind.configuration:
                configuration = decode_configuration(entry.body)
                self._points.append(_ConfigurationPoint(entry.index, configuration))

    def truncate_from(self, index: int) -> None:
        """Drops the entry at an index and all later ones."""
        del self._entries[index - self.base_index - 1 :]
        del self._end_bytes[index - self.base_index :]
        while len(self._points) > 1 and self._points[-1].index >= index:
            self._points.pop()

    def compact_to(self, index: int) -> None:
        """Drops the entries up to an index that a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise AssertionError(f'cannot compact to {index}, which is after the end of the log')
        later_points = [point for point in self._points if point.index > index]
        base_point = _ConfigurationPoint(
            self._configuration_index_at(index), self.configuration_at(index)
        )
        del self._entries[: index - self.base_index]
        del self._end_bytes[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        self._points = [base_point, *later_points]

    def reset(self, snapshot: Snapshot) -> None:
        """Drops all entries and restarts the log after a snapshot."""
        self._entries = []
        self._end_bytes = [0]
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

    def _configuration_index_at(self, index: int) -> int:
        return max(point.index for point in self._points if point.index <= index)
