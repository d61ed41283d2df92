"""Chooses the candidates of a request: the least busy of the usable upstreams.

The entry passes the candidates of its own zone, and those of other zones only when none
of them is usable. Candidates of equal load are ordered at random, so that the entries do
not all choose the same one.
"""

import random
from dataclasses import dataclass

MAX_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream's agent, or an entry of another zone; ``busy_share`` is its load per slot."""

    name: str
    busy_share: float
    release: str = ''


def choose(
    candidates: list[Candidate],
    avoid: frozenset[str],
    preferred: str,
    rng: random.Random,
) -> list[str]:
    """Returns the names of at most two candidates, the preferred one first if it is usable."""
    usable = [candidate for candidate in candidates if candidate.name not in avoid]
    rng.shuffle(usable)
    usable.sort(key=_busy_share)
    usable.sort(key=lambda candidate: candidate.name != preferred)
    return [candidate.name for candidate in usable[:MAX_CANDIDATES]]


def _busy_share(candidate: Candidate) -> float:
    return candidate.busy_share
