"""A node's copy of the fanned-out state, which never goes back to an older revision.

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
    """What became of a received snapshot or delta."""

    applied = 'applied'
    stale = 'stale'
    gap = 'gap'


class StateReplica:
    """Records by key at one revision; ``gap`` means: send ``subscription()`` again."""

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[str, Record] = {}
        self._watchers: list[ChangeWatcher] = []

    def get(self, kind: str, name: str) -> Record | None:
        """Returns one record, or None when there is none of that name."""
        return self.records.get(f'{kind}/{name}')

    def of_kind(self, kind: str) -> dict[str, Record]:
        """Returns every record of a kind by its name."""
        prefix = f'{kind}/'
        return {
            key.removeprefix(prefix): record
            for key, record in self.records.items()
            if key.startswith(prefix)
        }

    def watch(self, callback: ChangeWatcher) -> None:
        """Calls back with the changed keys after each change that was applied."""
        self._watchers.append(callback)

    def subscription(self) -> Subscribe:
        """Makes the message that asks for everything newer than this copy."""
        return Subscribe(revision=self.revision)

    def apply_update(self, received: StateSnapshot | StateDelta) -> UpdateOutcome:
        """Applies a snapshot or a delta, unless it is older than what is held."""
        if isinstance(received, StateSnapshot):
            return self._take_snapshot(received)
        return self._take_delta(received)

    def _take_snapshot(self, received: StateSnapshot) -> UpdateOutcome:
        if received.revision <= self.revision:
            return UpdateOutcome.stale
        held = self.records
        self.records = dict(received.records)
        self.revision = received.revision
        keys = held.keys() | self.records.keys()
        self._notify({key for key in keys if held.get(key) != self.records.get(key)})
        return UpdateOutcome.applied

    def _take_delta(self, received: StateDelta) -> UpdateOutcome:
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
    """Changes records in place; None removes a record."""
    for key, record in changes.items():
        if record is None:
            records.pop(key, None)
        else:
            records[key] = record
