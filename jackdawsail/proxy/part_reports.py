"""What an entry learns from its calls about parts of prompts that may crash engines."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import CallerCall
from jackdawsail.proxy.engine_ends import EngineEnds
from jackdawsail.routing.part_blame import PartBlame
from jackdawsail.routing.part_suspicion import EARLY_EVENTS, JUST_BEGUN_EVENTS
from jackdawsail.routing.placement import Refusal
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.wire.part_messages import (
    AgedEnd,
    AgedSoundAnswer,
    PartEvidence,
    SuspectCall,
)

# A block ends only when an operator lifts it.
BLOCKED = Refusal('a part of the prompt crashes engines and is blocked', 60.0)

ENGINE_ENDED = events.define(431, 'warning', 'engine has ended with calls on it')
PARTS_BLOCKED = events.define(432, 'error', 'parts of prompts are blocked, they crash engines')
PARTS_LIFTED = events.define(433, 'info', 'blocked parts of prompts were lifted')


class AnswerProgress(Protocol):
    """An attempt, as far as its progress matters here.

    ``begun_seconds`` is when its answer began, None before that, and ``received_events`` the
    number of complete events since then.
    """

    upstream: Upstream
    begun_seconds: float | None
    received_events: int


@dataclass(slots=True)
class PartReports:
    """The evidence of an entry; ``on_evidence`` gets what the entry itself adds to it."""

    clock: Clock
    pool: ChannelPool
    blame: PartBlame = field(default_factory=PartBlame)
    on_evidence: Callable[[PartEvidence], None] = lambda evidence: None
    _ends: EngineEnds = field(init=False)

    def __post_init__(self) -> None:
        """Creates the check of engines whose calls break off."""
        self._ends = EngineEnds(self.clock, self.pool, self._engine_ended)

    def is_blocked(self, call: CallerCall) -> bool:
        """Returns whether a part of a call's prompt is blocked, so that no engine may get it."""
        return bool(self.blame.blocked_among(call.shared_parts))

    def events_received(self, call: CallerCall, attempt: AnswerProgress, count: int) -> None:
        """Counts events of an answer, which speaks for its parts once it is past its begin."""
        was_early = attempt.received_events <= EARLY_EVENTS
        attempt.received_events += count
        if was_early and attempt.received_events > EARLY_EVENTS:
            self.answer_sound(call, attempt)

    def answer_sound(self, call: CallerCall, attempt: AnswerProgress) -> None:
        """Reports an answer that went well, if an engine ended under a part of its prompt."""
        begun_seconds = attempt.begun_seconds
        suspected = self.blame.suspected_among(call.shared_parts)
        if begun_seconds is None or not suspected:
            return
        begun_age_seconds = self.clock.seconds() - begun_seconds
        sound = [
            AgedSoundAnswer(part, begun_age_seconds)
            for part in suspected
            if self.blame.record_sound(part, begun_seconds)
        ]
        if sound:
            self.on_evidence(PartEvidence(self.blame.stored_revision, sound=sound))

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
        """Blocks the parts of prompts that the evidence shows to crash engines."""
        bad_parts = self.blame.find_bad(self.clock.seconds())
        if bad_parts:
            self.on_evidence(PartEvidence(self.blame.stored_revision, blocked=bad_parts))
            self.log_blocked(bad_parts, 'ends of engines')

    def log_blocked(self, parts: Iterable[str], source: str) -> None:
        """Logs and counts parts that are blocked from now on."""
        events.log(PARTS_BLOCKED, parts=list(parts), source=source)
        metrics.BLOCKED_PARTS.set(len(self.blame.blocked))

    def log_lifted(self, parts: Iterable[str]) -> None:
        """Logs and counts parts whose block an operator has lifted."""
        events.log(PARTS_LIFTED, parts=list(parts))
        metrics.BLOCKED_PARTS.set(len(self.blame.blocked))

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
            calls=[[call.own_part, call.shared_parts, call.just_begun] for call in calls],
        )
        added = self.blame.record_end(engine, ended_seconds, calls, now_seconds)
        if added:
            ends = [AgedEnd(engine, now_seconds - ended_seconds, added)]
            self.on_evidence(PartEvidence(self.blame.stored_revision, ends))
        self.check()
