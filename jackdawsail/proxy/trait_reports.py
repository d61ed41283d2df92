"""What an entry learns from its calls about traits of calls that may crash engines."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.engine_ends import EngineEnds
from jackdawsail.routing.placement import Refusal
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.routing.trait_suspicion import EARLY_EVENTS, JUST_BEGUN_EVENTS
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.wire.trait_messages import (
    AgedEnd,
    AgedSoundAnswer,
    SuspectCall,
    TraitEvidence,
)

# A block ends only when an operator lifts it.
BLOCKED = Refusal('a trait of the call crashes engines and is blocked', 60.0)

ENGINE_ENDED = events.define(431, 'warning', 'engine has ended with calls on it')
TRAITS_BLOCKED = events.define(432, 'error', 'traits of calls are blocked, they crash engines')
TRAITS_LIFTED = events.define(433, 'info', 'blocked traits of calls were lifted')


class AnswerProgress(Protocol):
    """An attempt, as far as its progress matters here.

    ``begun_seconds`` is when its answer began, None before that, and ``received_events`` the
    number of complete events since then.
    """

    upstream: Upstream
    begun_seconds: float | None
    received_events: int


@dataclass(slots=True)
class TraitReports:
    """The evidence of an entry; ``on_evidence`` gets what the entry itself adds to it."""

    clock: Clock
    pool: ChannelPool
    blame: TraitBlame = field(default_factory=TraitBlame)
    on_evidence: Callable[[TraitEvidence], None] = lambda evidence: None
    _ends: EngineEnds = field(init=False)

    def __post_init__(self) -> None:
        """Creates the check of engines whose calls break off."""
        self._ends = EngineEnds(self.clock, self.pool, self._engine_ended)

    def is_blocked(self, call: CallerCall) -> bool:
        """Returns whether a trait of a call is blocked, so that no engine may get it."""
        return bool(self.blame.blocked_among(call.shared_parts))

    def events_received(self, call: CallerCall, attempt: AnswerProgress, count: int) -> None:
        """Counts events of an answer, which speaks for its traits once it is past its begin."""
        was_early = attempt.received_events <= EARLY_EVENTS
        attempt.received_events += count
        if was_early and attempt.received_events > EARLY_EVENTS:
            self.answer_sound(call, attempt)

    def answer_sound(self, call: CallerCall, attempt: AnswerProgress) -> None:
        """Reports an answer that went well, if an engine ended under a trait of the call."""
        begun_seconds = attempt.begun_seconds
        suspected = self.blame.suspected_among(call.shared_parts)
        if begun_seconds is None or not suspected:
            return
        begun_age_seconds = self.clock.seconds() - begun_seconds
        sound = [
            AgedSoundAnswer(trait, begun_age_seconds)
            for trait in suspected
            if self.blame.record_sound(trait, begun_seconds)
        ]
        if sound:
            self.on_evidence(TraitEvidence(self.blame.stored_revision, sound=sound))

    def answer_broken(
        self, call: CallerCall, attempt: AnswerProgress, on_known: Callable[[bool], None]
    ) -> None:
        """Finds out whether a broken answer ended its engine.

        ``on_known`` is called with whether the call may be the cause, so that its repeat could
        end another engine.
        """
        if not call.shared_parts or attempt.received_events > EARLY_EVENTS:
            on_known(False)
            return
        just_begun = (
            attempt.begun_seconds is not None and attempt.received_events <= JUST_BEGUN_EVENTS
        )
        suspect = SuspectCall(call.own_part, list(call.shared_parts), just_begun)
        self._ends.call_broken(
            attempt.upstream, suspect, lambda: on_known(self.blame.is_risky(suspect))
        )

    def check(self) -> None:
        """Blocks the traits of calls that the evidence shows to crash engines."""
        bad_traits = self.blame.find_bad(self.clock.seconds())
        if bad_traits:
            self.on_evidence(TraitEvidence(self.blame.stored_revision, blocked=bad_traits))
            self.log_blocked(bad_traits, 'ends of engines')

    def log_blocked(self, traits: Iterable[str], source: str) -> None:
        """Logs and counts traits that are blocked from now on."""
        events.log(TRAITS_BLOCKED, traits=list(traits), source=source)
        metrics.BLOCKED_TRAITS.set(len(self.blame.blocked))

    def log_lifted(self, traits: Iterable[str]) -> None:
        """Logs and counts traits whose block an operator has lifted."""
        events.log(TRAITS_LIFTED, traits=list(traits))
        metrics.BLOCKED_TRAITS.set(len(self.blame.blocked))

    def _engine_ended(
        self, upstream: Upstream, ended_seconds: float, calls: list[SuspectCall]
    ) -> None:
        now_seconds = self.clock.seconds()
        engine = upstream.incarnation
        metrics.SUSPECT_CALLS.inc(len(calls))
        events.log(
            ENGINE_ENDED,
            engine=engine,
            address=upstream.registration.address,
            calls=[[call.identity, call.traits, call.just_begun] for call in calls],
        )
        added = self.blame.record_end(engine, ended_seconds, calls, now_seconds)
        if added:
            ends = [AgedEnd(engine, now_seconds - ended_seconds, added)]
            self.on_evidence(TraitEvidence(self.blame.stored_revision, ends))
        self.check()
