"""A node's replica of the distributed state; its revision never decreases.

Example::

    replica = StateReplica()
    replica.apply_update(StateSnapshot(revision=3, records={'zone/a': {'mode': 'in'}}))
    replica.get('zone', 'a')  # {'mode': 'in'}
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from jackdawsail.wire.membership_messages import StateDelta, StateSnapshot, Subscribe

Record = dict[str, Any]
ChangeWatcher = Callable[[set[str]], None]


class UpdateOutcome(StrEnum):
    """The result of applying a received snapshot or delta."""

    applied = 'applied'
    stale = 'stale'
    gap = 'gap'


class StateReplica:
    """Records by key at one revision; after ``gap``, ``subscription()`` must be sent again."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[str, Record] = {}
        self._watchers: list[ChangeWatcher] = []

    def get(self, kind: str, name: str) -> Record | None:
        """Returns a record by kind and name, or None."""
        return self.records.get(f'{kind}/{name}')

    def of_kind(self, kind: str) -> dict[str, Record]:
        """Returns all records of a kind by name."""
        prefix = f'{kind}/'
        return {
            key.removeprefix(prefix): record
            for key, record in self.records.items()
            if key.startswith(prefix)
        }

    def watch(self, callback: ChangeWatcher) -> None:
        """Registers a callback that gets the changed keys after each applied update."""
        self._watchers.append(callback)

    def subscription(self) -> Subscribe:
        """Returns the message that requests all changes after the revision held."""
        return Subscribe(revision=self.revision)

    def apply_update(self, received: StateSnapshot | StateDelta) -> UpdateOutcome:
        """Applies a snapshot or delta if it is newer than the revision held."""
        if isinstance(received, StateSnapshot):
            return self._apply_snapshot(received)
        return self._apply_delta(received)

    def _apply_snapshot(self, received: StateSnapshot) -> UpdateOutcome:
        if received.revision <= self.revision:
            return UpdateOutcome.stale
        old_records = self.records
        self.records = dict(received.records)
        self.revision = received.revision
        keys = old_records.keys() | self.records.keys()
        self._notify({key for key in keys if old_records.get(key) != self.records.get(key)})
        return UpdateOutcome.applied

    def _apply_delta(self, received: StateDelta) -> UpdateOutcome:
        if received.to_revision <= self.revision:
            return UpdateOutcome.stale
        if received.from_revision > self.revision:
            return UpdateOutcome.gap
        apply_changes(self.records, received.changes)
        self.revision = received.to_revision
        self._notify(set(received.changes))
        return UpdateOutcome.applied

    def _notify(self, keys: set[str]) -> None:
        for watcher in self._watchers:
            watcher(keys)


def apply_changes(records: dict[str, Record], changes: dict[str, Record | None]) -> None:
    """Applies changes to records in place; None removes a record."""
    for key, record in changes.items():
        if record is None:
            records.pop(key, None)
        else:
            records[key] = record
