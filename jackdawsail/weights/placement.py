"""Decides which data centre fetches a chunk from the origin, and which from another one.

For each chunk the data centres are ranked by rendezvous hash. The first
``origin_copies`` of them fetch it from the origin; each later one fetches it from
an earlier one, in a tree of fan-out two that differs from chunk to chunk.
"""

import hashlib
from collections.abc import Sequence

TREE_FANOUT = 2


def rank_zones(chunk_digest: str, zones: Sequence[str]) -> list[str]:
    """Ranks the zones (or hosts) for one chunk; every process computes the same order."""
    return sorted(zones, key=lambda zone: _score(chunk_digest, zone), reverse=True)


def parent_zone(ranked: Sequence[str], zone: str, origin_copies: int) -> str:
    """Returns the zone to fetch from; empty for the origin.

    A zone that is not ranked, such as one just taken out, fetches from the first one.
    """
    if zone not in ranked:
        return ranked[0] if ranked else ''
    rank = ranked.index(zone)
    if rank < origin_copies:
        return ''
    return ranked[(rank - origin_copies) // TREE_FANOUT]


def _score(chunk_digest: str, zone: str) -> bytes:
    return hashlib.sha256(f'{chunk_digest}/{zone}'.encode()).digest()
