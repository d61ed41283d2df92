"""Chooses the candidates of a request: the less busy of the usable upstreams.

Own zone first; other zones only if none in the own zone is left. Upstreams of
equal load are ordered at random, so that entries don't all choose the same one.
"""

import random
from dataclasses import dataclass

MAX_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream's agent, or an entry of another zone; ``busy_share`` is its load per place."""

    name: str
    busy_share: float
    release: str = ''


def choose(
    candidates: list[Candidate],
    avoid: frozenset[str],
    preferred: str,
    rng: random.Random,
) -> list[str]:
    """Returns at most two names, the preferred one first if it may be used."""
    usable = [candidate for candidate in candidates if candidate.name not in avoid]
    rng.shuffle(usable)
    usable.sort(key=_load)
    usable.sort(key=lambda candidate: candidate.name != preferred)
    return [candidate.name for candidate in usable[:MAX_CANDIDATES]]


def _load(candidate: Candidate) -> float:
    return candidate.busy_share
