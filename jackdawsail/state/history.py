"""The latest changes of the distributed state, for delta updates to subscribers.

Control hosts use it to update entries, and entries to update agents.
"""

from collections import deque
from dataclasses import dataclass

from jackdawsail.state.replica import Record
from jackdawsail.wire.membership_messages import StateDelta, StateSnapshot

MAX_CHANGES_KEPT = 1024


@dataclass(frozen=True, slots=True)
class _Change:
    from_revision: int
    to_revision: int
    changes: dict[str, Record | None]


class DeltaHistory:
    """A bounded list of consecutive changes; older subscribers get a snapshot instead."""

    def __init__(self, max_changes: int = MAX_CHANGES_KEPT) -> None:
        self.revision = 0
        self._changes: deque[_Change] = deque(maxlen=max_changes)

    def record(self, to_revision: int, changes: dict[str, Record | None]) -> None:
        """Adds the change from the last revision to this one."""
        if to_revision <= self.revision:
            raise AssertionError(f'revision {to_revision} is not after {self.revision}')
        self._changes.append(_Change(self.revision, to_revision, changes))
        self.revision = to_revision

    def reset(self, revision: int) -> None:
        """Drops all changes, because the state was replaced by a snapshot."""
        self._changes.clear()
        self.revision = revision

    def update_since(
        self, held_revision: int, records: dict[str, Record]
    ) -> StateSnapshot | StateDelta | None:
        """Returns the update for a subscriber; None if it holds this revision or a later one.

        ``records`` is the whole state at this history's revision.
        """
        if held_revision >= self.revision:
            return None
        first_revision = self._changes[0].from_revision if self._changes else self.revision
        if held_revision == 0 or held_revision < first_revision:
            return StateSnapshot(self.revision, dict(records))
        merged: dict[str, Record | None] = {}
        for change in self._changes:
            if change.to_revision > held_revision:
                merged.update(change.changes)
        return StateDelta(held_revision, self.revision, merged)
