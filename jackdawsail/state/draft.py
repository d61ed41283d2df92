"""The changes of one command, collected before they are committed."""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail.state.replica import Record

MAX_SHOWN_CHARACTERS = 200
_HIDDEN_FIELDS = frozenset(('token_digest',))


@dataclass(slots=True)
class Draft:
    """The records as seen by a command: the state overlaid with the command's changes."""

    records: dict[str, Record]
    ordinals: dict[str, int]
    changes: dict[str, Record | None] = field(default_factory=dict)

    def get(self, key: str) -> Record | None:
        """Returns a record including this command's changes, or None."""
        if key in self.changes:
            return self.changes[key]
        return self.records.get(key)

    def put(self, key: str, record: Record) -> None:
        """Sets a record; an unchanged record is not counted as a change."""
        if self.get(key) != record:
            self.changes[key] = record

    def update(self, key: str, **fields: Any) -> None:
        """Changes some fields of an existing record."""
        self.put(key, {**(self.get(key) or {}), **fields})

    def remove(self, key: str) -> None:
        """Removes a record."""
        self.changes[key] = None

    def of_kind(self, kind: str) -> dict[str, Record]:
        """Returns all records of a kind by name, sorted by name."""
        prefix = f'{kind}/'
        merged = self.records | self.changes
        keys = [key for key in merged if key.startswith(prefix)]
        records_by_name = {key.removeprefix(prefix): self.get(key) for key in sorted(keys)}
        return {name: record for name, record in records_by_name.items() if record is not None}


def differences(
    before: dict[str, Record], changes: dict[str, Record | None]
) -> list[dict[str, Any]]:
    """Lists each changed field with its old and new value, shortened for display."""
    field_changes: list[dict[str, Any]] = []
    for key in sorted(changes):
        field_changes.extend(_record_differences(key, before.get(key) or {}, changes[key] or {}))
    return field_changes


def _record_differences(key: str, before: Record, after: Record) -> list[dict[str, Any]]:
    return [
        {
            'key': key,
            'field': name,
            'before': _display_value(name, before.get(name)),
            'after': _display_value(name, after.get(name)),
        }
        for name in sorted(before.keys() | after.keys())
        if before.get(name) != after.get(name)
    ]


def _display_value(name: str, field_value: Any) -> Any:
    if name in _HIDDEN_FIELDS and field_value:
        return f'sha256:{field_value[:8]}'
    if isinstance(field_value, list) and len(str(field_value)) > MAX_SHOWN_CHARACTERS:
        return f'({len(field_value)} entries)'
    if isinstance(field_value, str) and len(field_value) > MAX_SHOWN_CHARACTERS:
        return f'{field_value[:MAX_SHOWN_CHARACTERS]}...'
    return field_value
