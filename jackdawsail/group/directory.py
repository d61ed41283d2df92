"""Chooses the entries that a caller should use; pure functions.

Callers are sent to entries of their own zone, else of their region, so that
their traffic stays local. If fewer than two entries are left there, the next wider
scope is used, so that a caller always has a second address to try.
"""

from collections.abc import Iterable
from dataclasses import dataclass

MAX_ADDRESSES = 64  # callers take at most this many addresses from an answer
MIN_ENTRIES = 2  # if one entry fails, the caller has another


@dataclass(frozen=True, slots=True)
class KnownEntry:
    """An entry that accepts callers."""

    callers_address: str
    zone: str
    region: str


def addresses_for(entries: Iterable[KnownEntry], region: str, zone: str) -> tuple[str, ...]:
    """Returns the addresses that the nearest entries offer to callers.

    Example::

        addresses_for([KnownEntry('10.1.0.4:80', 'z', 'r')], 'r', 'z') == ('10.1.0.4:80',)
    """
    sorted_entries = sorted(entries, key=lambda entry: entry.callers_address)
    scopes = (
        [entry for entry in sorted_entries if entry.zone == zone],
        [entry for entry in sorted_entries if entry.region == region],
        sorted_entries,
    )
    chosen = next((scope for scope in scopes if len(scope) >= MIN_ENTRIES), sorted_entries)
    return tuple(entry.callers_address for entry in chosen[:MAX_ADDRESSES])
