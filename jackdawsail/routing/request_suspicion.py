"""Decides which requests have ended engines (pure).

A bad request ends each engine that begins to run it, comes again, and is never answered. One
that was never answered is blocked by the ends of MIN_ENDS engines. A sound request that was moved
along with a bad one may be on the same engines; then one more end decides.

A request that was answered before may have turned bad, but may also be one that many callers
send, so that a copy of it is on any engine. It takes one more end, time for another answer, and
MIN_ROUNDS, so that ends of copies which were all sent before do not suffice.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from jackdawsail.routing.ended_engines import EngineEnd, in_order

_PREFIX = 'request:'  # no part of a prompt has a colon in its name

MIN_ENDS = 3
SURE_ENDS = 4
RISKY_ENDS = 2
MIN_ROUNDS = 3  # of ends whose calls were sent after the round before
# A request that many callers send shows an answer that goes well by then. Counted until it was
# sent the last time, as no engine may be left that could answer.
MIN_TRIED_SECONDS = 0.9
SETTLE_SECONDS = 0.1  # after an end, until all entries have reported their calls on the engine
RIVAL_SHARE = 0.5  # of the ends of a request that another one shares


@dataclass(slots=True)
class _RequestSuspicion:
    """The ends that count against one request, in order.

    ``rounds`` is one more than the number of times it was sent after the end before, the last time
    at ``sent_seconds``.
    """

    ends: list[EngineEnd] = field(default_factory=list)
    rounds: int = 0
    sent_seconds: float = 0
    was_answered: bool = False

    @property
    def tries(self) -> int:
        """Returns how often the request has ended an engine, if it was the cause of the ends."""
        return self.rounds if self.was_answered else len(self.ends)

    @property
    def engines(self) -> set[int]:
        """Returns which ends these are."""
        return {id(end) for end in self.ends}

    def add(self, end: EngineEnd, trait: str) -> None:
        """Adds the next end at which the request was on the engine."""
        calls = [call for call in end.calls.values() if trait in call.traits]
        self.was_answered |= any(call.was_answered for call in calls)
        sent_seconds = end.ended_seconds - min(call.sent_age_seconds for call in calls)
        if not self.ends or sent_seconds > self.ends[-1].first_seen_seconds:
            self.rounds += 1
            self.sent_seconds = sent_seconds
        self.ends.append(end)

    def is_settled(self, now_seconds: float) -> bool:
        """Returns whether an answer and the reports of all entries had time to arrive."""
        tried_seconds = self.sent_seconds - self.ends[0].ended_seconds
        if self.was_answered and tried_seconds < MIN_TRIED_SECONDS:
            return False
        is_known = now_seconds - self.ends[-1].ended_seconds >= SETTLE_SECONDS
        return is_known or len(self.ends) >= SURE_ENDS


def request_trait(digest: str) -> str:
    """Returns the trait that all repeats of a request share."""
    return _PREFIX + digest


def is_request(trait: str) -> bool:
    """Returns whether a trait is a whole request."""
    return trait.startswith(_PREFIX)


def find_bad_requests(ends: Collection[EngineEnd], now_seconds: float) -> list[str]:
    """Returns the requests that the ends show to be bad."""
    suspicions = _suspicions(ends)
    return [
        trait
        for trait, suspicion in suspicions.items()
        if _is_enough(suspicion, suspicions, now_seconds)
    ]


def is_risky_request(ends: Collection[EngineEnd], trait: str) -> bool:
    """Returns whether another engine may end if a request is repeated now."""
    suspicion = _suspicions(ends).get(trait)
    return suspicion is not None and suspicion.tries >= RISKY_ENDS


def _suspicions(ends: Collection[EngineEnd]) -> dict[str, _RequestSuspicion]:
    suspicions: dict[str, _RequestSuspicion] = {}
    for end in in_order(ends):
        for trait in filter(is_request, end.traits):
            suspicions.setdefault(trait, _RequestSuspicion()).add(end, trait)
    return suspicions


def _is_enough(
    suspicion: _RequestSuspicion, others: dict[str, _RequestSuspicion], now_seconds: float
) -> bool:
    count = len(suspicion.ends)
    if count < MIN_ENDS or not suspicion.is_settled(now_seconds):
        return False
    if suspicion.was_answered:
        return count >= SURE_ENDS and suspicion.rounds >= MIN_ROUNDS
    return count >= SURE_ENDS or not any(
        _is_rival(other, suspicion) for other in others.values() if other is not suspicion
    )


def _is_rival(other: _RequestSuspicion, suspicion: _RequestSuspicion) -> bool:
    """Returns whether another request explains the ends of one as well."""
    shared = len(other.engines & suspicion.engines)
    is_equal = len(other.ends) >= len(suspicion.ends)
    return is_equal and shared > RIVAL_SHARE * len(suspicion.ends)
