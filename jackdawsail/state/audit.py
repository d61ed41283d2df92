"""The audit trail: actor, time, revisions and changes of accepted commands.

Commands of the ledger are not recorded.
"""

from collections import deque
from dataclasses import dataclass
from itertools import islice
from typing import Any

import cbor2

from jackdawsail.wire.codec import as_plain

MAX_RECORDS_KEPT = 50_000


@dataclass(frozen=True, slots=True)
class AuditRecord:
    """One accepted command; ``stamp_seconds`` is the leader's wall clock."""

    request_id: str
    actor: str
    stamp_seconds: float
    kind: str
    from_revision: int
    to_revision: int
    changes: list[dict[str, Any]]


class AuditTrail:
    """The latest records, stored encoded because most of them are never read."""

    def __init__(self, encoded: list[bytes] | None = None) -> None:
        self.encoded: deque[bytes] = deque(encoded or [], maxlen=MAX_RECORDS_KEPT)

    def add(self, record: AuditRecord) -> None:
        """Appends a record; drops the oldest one when the trail is full."""
        self.encoded.append(cbor2.dumps(as_plain(record)))

    def after(self, revision: int, limit: int) -> list[dict[str, Any]]:
        """Returns up to ``limit`` records that led to a later revision, oldest first."""
        first = self._first_after(revision)
        return [cbor2.loads(encoded) for encoded in islice(self.encoded, first, first + limit)]

    def last(self, limit: int) -> list[dict[str, Any]]:
        """Returns the ``limit`` newest records, oldest first."""
        newest = islice(reversed(self.encoded), limit)
        return [cbor2.loads(encoded) for encoded in reversed(list(newest))]

    def _first_after(self, revision: int) -> int:
        # The records are ordered by revision, which allows a binary search.
        low, high = 0, len(self.encoded)
        while low < high:
            middle = (low + high) // 2
            if self._decoded(middle)['to_revision'] > revision:
                high = middle
            else:
                low = middle + 1
        return low

    def _decoded(self, position: int) -> dict[str, Any]:
        record: dict[str, Any] = cbor2.loads(self.encoded[position])
        return record
