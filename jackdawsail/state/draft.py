"""Changes of one command, collected before any of them takes effect."""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail.state.replica import Record

MAX_SHOWN_LENGTH = 200
_HIDDEN_FIELDS = frozenset(('token_digest',))


@dataclass(slots=True)
class Draft:
    """The records as a command sees them: the state under its own changes."""

    records: dict[str, Record]
    ordinals: dict[str, int]
    changes: dict[str, Record | None] = field(default_factory=dict)

    def get(self, key: str) -> Record | None:
        """Returns a record with this command's changes in it."""
        if key in self.changes:
            return self.changes[key]
        return self.records.get(key)

    def put(self, key: str, record: Record) -> None:
        """Sets a record; one that stays as it was is no change."""
        if self.get(key) != record:
            self.changes[key] = record

    def update(self, key: str, **fields: Any) -> None:
        """Changes fields of a record that exists."""
        self.put(key, {**(self.get(key) or {}), **fields})

    def remove(self, key: str) -> None:
        """Removes a record."""
        self.changes[key] = None

    def named(self, kind: str) -> dict[str, Record]:
        """Returns every record of a kind by its name."""
        prefix = f'{kind}/'
        held = self.records | self.changes
        keys = [key for key in held if key.startswith(prefix)]
        found = {key.removeprefix(prefix): self.get(key) for key in sorted(keys)}
        return {name: record for name, record in found.items() if record is not None}


def differences(
    before: dict[str, Record], changes: dict[str, Record | None]
) -> list[dict[str, Any]]:
    """Lists each changed field with its value before and after, for people."""
    found: list[dict[str, Any]] = []
    for key in sorted(changes):
        found.extend(_record_differences(key, before.get(key) or {}, changes[key] or {}))
    return found


def _record_differences(key: str, before: Record, after: Record) -> list[dict[str, Any]]:
    return [
        {
            'key': key,
            'field': name,
            'before': _shown(name, before.get(name)),
            'after': _shown(name, after.get(name)),
        }
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    ]


def _shown(name: str, shown: Any) -> Any:
    if name in _HIDDEN_FIELDS and shown:
        return f'sha256:{shown[:8]}'
    if isinstance(shown, list) and len(str(shown)) > MAX_SHOWN_LENGTH:
        return f'({len(shown)} entries)'
    if isinstance(shown, str) and len(shown) > MAX_SHOWN_LENGTH:
        return f'{shown[:MAX_SHOWN_LENGTH]}...'
    return shown
