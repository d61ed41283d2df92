"""Ends of engines and the moments at which they occur (pure)."""

import itertools
import math
from collections.abc import Collection
from dataclasses import dataclass, field

from jackdawsail.wire.trait_messages import SuspectCall

SAME_MOMENT_SECONDS = 0.15  # entries see the end of one engine within some tens of milliseconds
MASS_ENDS = 4  # so many engines at the same moment are not ended by calls


@dataclass(slots=True)
class EngineEnd:
    """The end of one engine and the calls that may have caused it, by their identities.

    ``traits`` are the suspected ones. ``explained`` is true once a part of a prompt is known to
    be the cause, and ``bad_request`` is the request that is, whose parts remain suspected.
    ``first_seen_seconds`` is when the first entry saw the end, which may then have repeated calls.
    """

    ended_seconds: float
    calls: dict[str, SuspectCall] = field(default_factory=dict)
    traits: set[str] = field(default_factory=set)
    explained: bool = False
    bad_request: str = ''
    first_seen_seconds: float = math.inf

    @property
    def is_unexplained(self) -> bool:
        """Returns whether the cause of the end is not known."""
        return not self.explained and not self.bad_request

    def explain(self) -> None:
        """Records that a part is the cause, so that the end counts against no other trait."""
        self.explained = True
        self.traits.clear()

    def explain_by_request(self, request: str) -> None:
        """Records that a request is the cause, so that only its own parts remain suspected."""
        self.bad_request = request
        own = [call.traits for call in self.calls.values() if request in call.traits]
        self.traits.intersection_update(itertools.chain.from_iterable(own))
        self.traits.discard(request)


def in_order(ends: Collection[EngineEnd]) -> list[EngineEnd]:
    """Returns ends in the order of their times."""
    return sorted(ends, key=_ended_seconds)


def without_mass_ends(ends: Collection[EngineEnd]) -> list[EngineEnd]:
    """Returns the ends, in order, at whose moment fewer than MASS_ENDS engines ended."""
    few = [moment for moment in moments_of(ends) if len(moment) < MASS_ENDS]
    return [each for moment in few for each in moment]


def moments_of(ends: Collection[EngineEnd]) -> list[list[EngineEnd]]:
    """Groups ends by the moments at which they occurred, in order."""
    moments: list[list[EngineEnd]] = []
    for end in in_order(ends):
        if moments and end.ended_seconds - moments[-1][0].ended_seconds < SAME_MOMENT_SECONDS:
            moments[-1].append(end)
        else:
            moments.append([end])
    return moments


def _ended_seconds(end: EngineEnd) -> float:
    return end.ended_seconds
