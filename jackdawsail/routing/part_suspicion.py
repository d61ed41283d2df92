"""Decides which part of a prompt has ended engines (pure).

A bad part ends each engine that begins an answer under it. It is therefore among the parts of
one end after the other, in different calls. The calls that had just begun are the likely
cause of an end. Engines that end together count once, by the share of them that a part was
involved in, and many of them not at all, since loss of power, a restart of a data centre or
a deployment ends many at the same time. A part that many calls have is involved in any end,
so it takes more of them.
"""

import itertools
from collections.abc import Collection
from dataclasses import dataclass

from jackdawsail.routing.ended_engines import (
    SAME_MOMENT_SECONDS,
    EngineEnd,
    moments_of,
    without_mass_ends,
)
from jackdawsail.routing.request_suspicion import is_request
from jackdawsail.wire.trait_messages import SuspectCall

MIN_MOMENTS = 3
MIN_CALLS = 2  # different ones; the repeat of a call may meet a second engine's end by chance
MIN_SCORE = 2.5
SURE_MOMENTS = 5
SURE_CALLS = 3
SURE_SCORE = 2.0
RISKY_SCORE = 1.0
WAITING_WEIGHT = 0.5  # of a call whose answer had not just begun, against 1 for one that had
REPEAT_WEIGHT = 0.5  # of a call that was on an earlier engine when that ended
USUAL_CALLS_PER_END = 1.5
MIN_COVERED_SHARE = 0.7  # of the ends since a part was first involved
# A sound part in use shows an answer that goes well by then, after a wait for a slot.
MIN_AGE_SECONDS = 0.9  # of the first end

JUST_BEGUN_EVENTS = 3  # an answer with more events has not just begun
EARLY_EVENTS = 6  # an answer with more events is past the begin that a bad part crashes


@dataclass(frozen=True, slots=True)
class _Moment:
    """A moment at which engines ended: the calls with one part, and the share of these engines."""

    calls: list[SuspectCall]
    engine_share: float


@dataclass(frozen=True, slots=True)
class _Suspicion:
    """The evidence against one part: its moments; ``first_seconds`` is the time of the first."""

    part: str
    moments: list[_Moment]
    first_seconds: float
    ends: int

    @property
    def calls(self) -> int:
        """Returns the number of calls, counting one that was on several engines as often."""
        return sum(len(moment.calls) for moment in self.moments)

    @property
    def identities(self) -> set[str]:
        """Returns the identities of the calls."""
        return {call.identity for moment in self.moments for call in moment.calls}

    @property
    def is_usual(self) -> bool:
        """Returns whether many calls have the part, so that any end involves some of them."""
        return self.calls > USUAL_CALLS_PER_END * self.ends

    def score(self) -> float:
        """Returns the sum of the weights of the moments, each that of its strongest call."""
        seen: set[str] = set()
        score: float = 0
        for moment in self.moments:
            score += moment.engine_share * max(_weight(call, seen) for call in moment.calls)
            seen.update(call.identity for call in moment.calls)
        return score


def find_bad_part(ends: Collection[EngineEnd], now_seconds: float) -> str:
    """Returns the part that the ends show to be bad; empty if they show none.

    Of parts with equal scores it is the one with the fewest calls. If these are equal as well,
    more ends must tell them apart.
    """
    single = without_mass_ends(ends)
    enough = {
        part: suspicion
        for part, suspicion in _suspicions(single, MIN_MOMENTS).items()
        if _is_enough(suspicion, single, now_seconds)
    }
    ranked = sorted((-each.score(), each.calls, part) for part, each in enough.items())
    if not ranked:
        return ''
    part = ranked[0][-1]
    is_tied = len(ranked) > 1 and ranked[0][:2] == ranked[1][:2]
    return '' if is_tied and len(enough[part].moments) < SURE_MOMENTS else part


def is_risky(ends: Collection[EngineEnd], call: SuspectCall) -> bool:
    """Returns whether a call may be the cause of the end that it was just part of.

    That is the case if one of its parts was involved in an earlier end, in another call.
    """
    suspicions = _suspicions(without_mass_ends(ends), MIN_CALLS)
    return any(_is_serious(suspicions[part]) for part in call.traits if part in suspicions)


def _suspicions(ends: Collection[EngineEnd], min_ends: int) -> dict[str, _Suspicion]:
    """Returns the evidence against each part that was involved in at least ``min_ends``."""
    ends_by_part: dict[str, list[EngineEnd]] = {}
    for end in ends:
        for part in itertools.filterfalse(is_request, end.traits):
            ends_by_part.setdefault(part, []).append(end)
    return {
        suspected: _suspicion_of(suspected, involved, ends)
        for suspected, involved in ends_by_part.items()
        if len(involved) >= min_ends
    }


def _suspicion_of(part: str, involved: list[EngineEnd], ends: Collection[EngineEnd]) -> _Suspicion:
    others = [end for end in ends if end.is_unexplained and part not in end.traits]
    moments = [_moment_of(part, together, others) for together in moments_of(involved)]
    return _Suspicion(part, moments, min(end.ended_seconds for end in involved), len(involved))


def _moment_of(part: str, together: list[EngineEnd], others: list[EngineEnd]) -> _Moment:
    """Returns a moment of a part; ``others`` are the ends that it was not involved in."""
    calls = [call for end in together for call in end.calls.values() if part in call.traits]
    at_seconds = together[0].ended_seconds
    near = [end for end in others if abs(end.ended_seconds - at_seconds) < SAME_MOMENT_SECONDS]
    return _Moment(calls, len(together) / (len(together) + len(near)))


def _is_serious(suspicion: _Suspicion) -> bool:
    has_other_call = len(suspicion.identities) >= MIN_CALLS
    return has_other_call and not suspicion.is_usual and suspicion.score() >= RISKY_SCORE


def _is_enough(suspicion: _Suspicion, ends: Collection[EngineEnd], now_seconds: float) -> bool:
    moments = len(suspicion.moments)
    if moments < MIN_MOMENTS or now_seconds - suspicion.first_seconds < MIN_AGE_SECONDS:
        return False
    calls = len(suspicion.identities)
    score = suspicion.score()
    if moments >= SURE_MOMENTS and calls >= SURE_CALLS and score >= SURE_SCORE:
        return True
    if calls < MIN_CALLS or suspicion.is_usual or score < MIN_SCORE:
        return False
    since = [
        end
        for end in ends
        if (end.is_unexplained or suspicion.part in end.traits)
        and end.ended_seconds >= suspicion.first_seconds
    ]
    return moments >= MIN_COVERED_SHARE * len(moments_of(since))


def _weight(call: SuspectCall, seen: set[str]) -> float:
    weight = 1.0 if call.just_begun else WAITING_WEIGHT
    return weight * REPEAT_WEIGHT if call.identity in seen else weight
