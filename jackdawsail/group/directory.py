"""Which entries a caller should use: pure, from what the control host knows.

Callers are sent to entries of their own zone, then of their region, so that
their bytes stay there. Where fewer than two entries are left the next wider
circle is added, so that a caller always has another address to try.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_ADDRESSES = 64  # callers take no more addresses than that from one answer
ENOUGH_ENTRIES = 2  # one that may fail, and another to go to


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """An entry that takes callers now."""

    callers_address: str
    zone: str
    region: str


def addresses_for(entries: Iterable[KnownEntry], region: str, zone: str) -> tuple[str, ...]:
    """Returns the callers' addresses of the nearest entries.

    Example::

        addresses_for([KnownEntry('10.1.0.4:80', 'z', 'r')], 'r', 'z') == ('10.1.0.4:80',)
    """
    known = sorted(entries, key=lambda entry: entry.callers_address)
    circles = (
        [entry for entry in known if entry.zone == zone],
        [entry for entry in known if entry.region == region],
        known,
    )
    found = next((circle for circle in circles if len(circle) >= ENOUGH_ENTRIES), known)
    return tuple(entry.callers_address for entry in found[:MAX_ADDRESSES])
