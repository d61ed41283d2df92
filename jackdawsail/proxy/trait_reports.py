"""What an entry learns from its calls about traits that may crash engines."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallIdentity
from jackdawsail.proxy.engine_ends import EngineEnds
from jackdawsail.routing.answered_requests import AnsweredRequests
from jackdawsail.routing.part_suspicion import EARLY_EVENTS, JUST_BEGUN_EVENTS
from jackdawsail.routing.placement import Refusal
from jackdawsail.routing.request_suspicion import is_request
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.wire.trait_messages import (
    AgedEnd,
    AgedSoundAnswer,
    SuspectCall,
    TraitEvidence,
)

# A block ends only when an operator lifts it.
BLOCKED = Refusal('the call crashes engines and is blocked', 60.0)

ENGINE_ENDED = events.define(431, 'warning', 'engine has ended with calls on it')
TRAITS_BLOCKED = events.define(432, 'error', 'traits of calls are blocked, they crash engines')
TRAITS_LIFTED = events.define(433, 'info', 'blocked traits of calls were lifted')


class AnswerProgress(Protocol):
    """An attempt, as far as its progress matters here.

    ``head_seconds`` is when the head of an answer arrived from an upstream that ran the call,
    ``begun_seconds`` the same of a success, both None before that. ``received_events`` is the
    number of complete events since then.
    """

    upstream: Upstream
    sent_seconds: float
    head_seconds: float | None
    begun_seconds: float | None
    received_events: int


@dataclass(slots=True)
class TraitReports:
    """The evidence of an entry; ``on_evidence`` gets what the entry itself adds to it."""

    clock: Clock
    pool: ChannelPool
    blame: TraitBlame = field(default_factory=TraitBlame)
    on_evidence: Callable[[TraitEvidence], None] = lambda evidence: None
    _answered: AnsweredRequests = field(default_factory=AnsweredRequests)
    _ends: EngineEnds = field(init=False)

    def __post_init__(self) -> None:
        """Creates the check of engines whose calls break off."""
        self._ends = EngineEnds(self.clock, self.pool, self._engine_ended)

    def is_blocked(self, identity: CallIdentity) -> bool:
        """Returns whether a trait of a call is blocked, so that no engine may get it."""
        # Without a blocked trait the call's digest need not be computed.
        return bool(self.blame.blocked) and bool(self.blame.blocked_among(identity.traits))

    def events_received(self, identity: CallIdentity, attempt: AnswerProgress, count: int) -> None:
        """Counts events of an answer, which clears its traits once it is past its begin."""
        was_early = attempt.received_events <= EARLY_EVENTS
        attempt.received_events += count
        if was_early and attempt.received_events > EARLY_EVENTS:
            self.answer_sound(identity, attempt)

    def answer_sound(self, identity: CallIdentity, attempt: AnswerProgress) -> None:
        """Records an answer that went well, and reports it if an engine ended under its traits.

        A failure that an engine reports in a complete answer clears the request only, as it may
        have been given before the prompt was read.
        """
        if attempt.head_seconds is None:
            return
        self._answered.record(identity.digest)
        if not self.blame.suspected:
            return
        traits = identity.traits
        if attempt.begun_seconds is None:
            traits = tuple(filter(is_request, traits))
        begun_age_seconds = self.clock.seconds() - attempt.head_seconds
        sound = [
            AgedSoundAnswer(trait, begun_age_seconds)
            for trait in self.blame.suspected_among(traits)
            if self.blame.record_sound(trait, attempt.head_seconds)
        ]
        if sound:
            self.on_evidence(TraitEvidence(self.blame.stored_revision, sound=sound))

    def answer_broken(
        self, identity: CallIdentity, attempt: AnswerProgress, on_known: Callable[[bool], None]
    ) -> None:
        """Finds out whether a broken answer ended its engine.

        ``on_known`` is called with whether the call may be the cause, so that its repeat could
        end another engine.
        """
        if attempt.received_events > EARLY_EVENTS:
            on_known(False)
            return
        # Without an earlier end the call is repeated at once, whatever the check shows.
        is_suspected = bool(self.blame.suspected_among(identity.traits))
        if not is_suspected:
            on_known(False)
        suspect = SuspectCall(
            f'{identity.call.own_part}/{identity.digest}',
            list(identity.traits),
            attempt.begun_seconds is not None and attempt.received_events <= JUST_BEGUN_EVENTS,
            self.clock.seconds() - attempt.sent_seconds,
            identity.digest in self._answered,
        )
        self._ends.call_broken(
            attempt.upstream,
            suspect,
            lambda: on_known(self.blame.is_risky(suspect)) if is_suspected else None,
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
