"""Weighs which part of a prompt the ends of engines speak against (pure).

A bad part ends each engine that begins an answer under it. It is therefore among the parts of
one end after the other, in different calls. The calls that had just begun are the likely
cause of an end. Engines that end together count once, and many of them not at all, since loss
of power, a restart of a data centre or a deployment ends many at the same time. A part that
many calls have is involved in any end, so it takes more of them.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from jackdawsail.wire.part_messages import SuspectCall

MIN_MOMENTS = 3
MIN_CALLS = 2  # different ones; the repeat of a call may meet a second engine's end by chance
MIN_SCORE = 2.5
SURE_MOMENTS = 5
SURE_CALLS = 3
RISKY_SCORE = 1.5
WAITING_WEIGHT = 0.5  # of a call whose answer had not just begun, against 1 for one that had
REPEAT_WEIGHT = 0.5  # of a call that was on an earlier engine when that ended
USUAL_CALLS_PER_END = 1.5
MIN_COVERED_SHARE = 0.7  # of the ends since a part was first involved
SAME_MOMENT_SECONDS = 0.15  # entries see the end of one engine within some tens of milliseconds
MASS_ENDS = 4  # so many engines at the same moment are not ended by calls
# A sound part in use shows an answer that goes well by then, after a wait for a slot.
MIN_AGE_SECONDS = 0.9  # of the first end

JUST_BEGUN_EVENTS = 3  # an answer with more events has not just begun
EARLY_EVENTS = 6  # an answer with more events is past the begin that a bad part crashes


@dataclass(slots=True)
class EngineEnd:
    """The end of one engine and the calls that may have caused it, by their own parts.

    ``parts`` are the suspected ones, ``explained`` is true once one is known to be bad.
    """

    ended_seconds: float
    calls: dict[str, SuspectCall] = field(default_factory=dict)
    parts: set[str] = field(default_factory=set)
    explained: bool = False

    def explain(self) -> None:
        """Records that the cause of the end is known, so that it speaks against no other part."""
        self.explained = True
        self.parts.clear()


@dataclass(slots=True)
class _Suspicion:
    """What speaks against one part: the calls with it on engines that ended, by time."""

    calls: list[tuple[float, SuspectCall]] = field(default_factory=list)

    @property
    def own_parts(self) -> set[str]:
        """Returns the parts that identify the calls."""
        return {call.own_part for _, call in self.calls}

    @property
    def is_usual(self) -> bool:
        """Returns whether many calls have the part, so that any end involves some of them."""
        ends = {ended_seconds for ended_seconds, _ in self.calls}
        return len(self.calls) > USUAL_CALLS_PER_END * len(ends)

    @property
    def first_seconds(self) -> float:
        """Returns the time of the first end."""
        return min(ended_seconds for ended_seconds, _ in self.calls)

    @property
    def score(self) -> float:
        """Returns the sum of the weights of its moments, each that of its strongest call."""
        seen: set[str] = set()
        score: float = 0
        for calls in self.moments():
            score += max(_weight(call, seen) for call in calls)
            seen.update(call.own_part for call in calls)
        return score

    def moments(self) -> list[list[SuspectCall]]:
        """Returns the calls, those of one moment together."""
        moments: list[list[SuspectCall]] = []
        begun_seconds: float = 0
        for ended_seconds, call in sorted(self.calls, key=_ended_seconds):
            if not moments or ended_seconds - begun_seconds >= SAME_MOMENT_SECONDS:
                moments.append([])
                begun_seconds = ended_seconds
            moments[-1].append(call)
        return moments


def find_bad_part(ends: Collection[EngineEnd], now_seconds: float) -> str:
    """Returns the part that the ends show to be bad; empty if they show none.

    Of parts with equal scores it is the one with the fewest calls. If these are equal as well,
    more ends must tell them apart.
    """
    single = _without_mass_ends(ends)
    enough = {
        part: suspicion
        for part, suspicion in _suspicions(single).items()
        if _is_enough(suspicion, single, now_seconds)
    }
    ranked = sorted((-each.score, len(each.calls), part) for part, each in enough.items())
    if not ranked:
        return ''
    part = ranked[0][-1]
    is_tied = len(ranked) > 1 and ranked[0][:2] == ranked[1][:2]
    return '' if is_tied and len(enough[part].moments()) < SURE_MOMENTS else part


def is_risky(ends: Collection[EngineEnd], call: SuspectCall) -> bool:
    """Returns whether a call may be the cause of the end that it was just part of.

    That is the case if one of its parts was involved in an earlier end, in another call.
    """
    suspicions = _suspicions(_without_mass_ends(ends))
    return any(_is_serious(suspicions[part]) for part in call.shared_parts if part in suspicions)


def _without_mass_ends(ends: Collection[EngineEnd]) -> list[EngineEnd]:
    """Returns the ends at whose moment fewer than MASS_ENDS engines ended."""
    moments: list[list[EngineEnd]] = []
    for end in sorted(ends, key=lambda each: each.ended_seconds):
        if moments and end.ended_seconds - moments[-1][0].ended_seconds < SAME_MOMENT_SECONDS:
            moments[-1].append(end)
        else:
            moments.append([end])
    few = [moment for moment in moments if len(moment) < MASS_ENDS]
    return [each for moment in few for each in moment]


def _suspicions(ends: Collection[EngineEnd]) -> dict[str, _Suspicion]:
    suspicions: dict[str, _Suspicion] = {}
    for end in ends:
        for call in end.calls.values():
            for part in end.parts.intersection(call.shared_parts):
                suspicion = suspicions.setdefault(part, _Suspicion())
                suspicion.calls.append((end.ended_seconds, call))
    return suspicions


def _is_serious(suspicion: _Suspicion) -> bool:
    has_other_call = len(suspicion.own_parts) >= MIN_CALLS
    return has_other_call and not suspicion.is_usual and suspicion.score >= RISKY_SCORE


def _is_enough(suspicion: _Suspicion, ends: Collection[EngineEnd], now_seconds: float) -> bool:
    moments = len(suspicion.moments())
    if moments < MIN_MOMENTS or now_seconds - suspicion.first_seconds < MIN_AGE_SECONDS:
        return False
    calls = len(suspicion.own_parts)
    if moments >= SURE_MOMENTS and calls >= SURE_CALLS:
        return True
    if calls < MIN_CALLS or suspicion.score < MIN_SCORE or suspicion.is_usual:
        return False
    return moments >= MIN_COVERED_SHARE * _count_moments(ends, suspicion.first_seconds)


def _count_moments(ends: Collection[EngineEnd], first_seconds: float) -> int:
    """Counts the moments of unexplained ends since a time."""
    calls = [
        (end.ended_seconds, call)
        for end in ends
        for call in end.calls.values()
        if not end.explained and end.ended_seconds >= first_seconds
    ]
    return len(_Suspicion(calls).moments())


def _weight(call: SuspectCall, seen: set[str]) -> float:
    weight = 1.0 if call.just_begun else WAITING_WEIGHT
    return weight * REPEAT_WEIGHT if call.own_part in seen else weight


def _ended_seconds(ended: tuple[float, SuspectCall]) -> float:
    return ended[0]
