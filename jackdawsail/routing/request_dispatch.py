"""One request at its entry: late binding at two candidates, one hand-over.

The desk is pure. It sends small reservations; the first grant binds and the
others are cancelled. Until the hand-over the request has run nowhere and can
move freely. After it, only an agent's confirmed refusal, or a call that may be
repeated or resumed, lets the request move again.
"""

from dataclasses import dataclass, field, replace
from enum import Enum
from functools import singledispatch

from jackdawsail.routing.answers import AnswerCheck
from jackdawsail.routing.dispatch_effects import (
    BeginAnswer,
    Effects,
    FinishRequest,
    ForwardPart,
    NeedCandidates,
    RequestSpec,
    SendTo,
    make_work,
)
from jackdawsail.routing.reservations import Reservations
from jackdawsail.wire.work_messages import (
    AnswerEnd,
    AnswerFailed,
    AnswerHead,
    AnswerPart,
    CancelReserve,
    CancelWork,
    Granted,
    Outcome,
    Refused,
    WorkRefused,
)

# Longer than an agent's tick, so that it can first refuse work that has not started.
BOUND_GRACE_SECONDS = 0.25
# A candidate that has not granted by then may be frozen, or busier than it said.
ALONE_SECONDS = 0.15


class _Stage(Enum):
    waiting = 1
    running = 2
    finished = 3


@dataclass(slots=True)
class _Bound:
    """The one attempt that was handed over."""

    attempt_id: str
    candidate: str
    release: str
    check: AnswerCheck = field(default_factory=AnswerCheck)


class RequestDispatch:
    """Decides for one request; the shell performs the effects in their order."""

    def __init__(self, order: RequestSpec, started_seconds: float = 0) -> None:
        self.order = order
        self.started_seconds = started_seconds
        self._stage = _Stage.waiting
        self._reservations = Reservations(order.request_id)
        self._bound: _Bound | None = None
        self._began = False
        self._maybe_run = False
        self._alone_since_seconds: float | None = None
        self._passed_tokens = 0
        self._reason = 'no-upstream'
        self._retry_after_seconds: float = 0

    @property
    def finished(self) -> bool:
        """Tells whether the final answer has been given."""
        return self._stage is _Stage.finished

    def start(self) -> Effects:
        """Asks for the first candidates."""
        return [NeedCandidates(frozenset(), is_retry=False)]

    def offer_candidates(self, candidates: list[str], now_seconds: float) -> Effects:
        """Reserves at the chosen candidates; without any the request is given up."""
        if self._stage is not _Stage.waiting:
            return []
        effects = self._reservations.ask(self.order, candidates, now_seconds)
        self._alone_since_seconds = now_seconds if self._reservations.any_alone else None
        if self._reservations.any_open:
            return effects
        return self._give_up()

    def granted(self, grant: Granted, now_seconds: float) -> Effects:
        """Binds the first grant and cancels every other reservation."""
        candidate = self._reservations.take(grant.attempt_id)
        if not candidate or self._stage is not _Stage.waiting:
            return []
        if self.order.release not in {'', grant.release}:
            cancel = SendTo(candidate, CancelReserve(grant.attempt_id))
            return [cancel, *self._after_refusal('other-release', 0, now_seconds)]
        effects = self._reservations.cancel_all()
        self._stage = _Stage.running
        self._bound = _Bound(grant.attempt_id, candidate, grant.release)
        work = make_work(self.order, grant, self._passed_tokens)
        return [*effects, SendTo(candidate, work)]

    def refused(self, refusal: Refused, now_seconds: float) -> Effects:
        """Tries elsewhere once every open reservation is refused."""
        if not self._reservations.take(refusal.attempt_id):
            return []
        return self._after_refusal(refusal.reason, refusal.retry_after_seconds, now_seconds)

    def not_run(self, attempt_id: str, reason: str, now_seconds: float) -> Effects:
        """The agent confirms that the attempt was never run: free to move."""
        if self._bound_as(attempt_id) is None:
            return []
        self._bound = None
        self._stage = _Stage.waiting
        return self._after_refusal(reason, 0, now_seconds)

    def candidate_lost(self, candidate: str, now_seconds: float) -> Effects:
        """A candidate's link has ended."""
        had_open = self._reservations.lose(candidate)
        bound = self._bound
        if self._stage is _Stage.running and bound is not None and bound.candidate == candidate:
            return self.broken(bound.attempt_id, 'agent-lost', now_seconds)
        if had_open and self._stage is _Stage.waiting:
            return self._after_refusal('agent-lost', 0, now_seconds)
        return []

    def head(self, head: AnswerHead) -> Effects:
        """Passes the first head on; a resumed answer has had its head already."""
        if self._bound_as(head.attempt_id) is None or self._began:
            return []
        self._began = True
        return [BeginAnswer(head)]

    def part(self, part: AnswerPart, now_seconds: float) -> Effects:
        """Passes the next part on."""
        bound = self._bound_as(part.attempt_id)
        if bound is None:
            return []
        if bound.check.accept(part):
            self._passed_tokens += part.tokens
            return [ForwardPart(part.body, part.tokens)]
        if bound.check.broken:
            cancel = SendTo(bound.candidate, CancelWork(bound.attempt_id))
            return [cancel, *self.broken(bound.attempt_id, bound.check.broken, now_seconds)]
        return []

    def end(self, end: AnswerEnd, now_seconds: float) -> Effects:
        """Finishes the request if the answer is whole."""
        bound = self._bound_as(end.attempt_id)
        if bound is None:
            return []
        if not bound.check.is_whole(end):
            return self.broken(end.attempt_id, 'answer-not-whole', now_seconds)
        self._stage = _Stage.finished
        return [FinishRequest(Outcome.done, tokens=self._passed_tokens)]

    def broken(self, attempt_id: str, reason: str, now_seconds: float) -> Effects:
        """The bound attempt may have run: goes on only where that is harmless."""
        bound = self._bound_as(attempt_id)
        if bound is None:
            return []
        self._reason = reason
        self._maybe_run = True
        self._bound = None
        if self.order.resumable or (self.order.repeatable and not self._began):
            self._stage = _Stage.waiting
            if self._began:
                self.order = replace(self.order, release=bound.release)
            return self._ask_again(now_seconds)
        return self._give_up()

    def tick(self, now_seconds: float) -> Effects:
        """Asks a second candidate when the only one is slow to grant; ends late requests.

        A request is late when its deadline has passed before its answer began.
        A claimed call that was handed over goes on, so that its true end is settled.
        """
        if self._is_alone(now_seconds):
            self._alone_since_seconds = None
            return [NeedCandidates(frozenset(self._reservations.tried), is_retry=False)]
        grace_seconds = BOUND_GRACE_SECONDS if self._bound else 0
        late = now_seconds >= self.order.deadline_seconds + grace_seconds
        if self._began or not late:
            return []
        if self.order.claim_number and self._bound is not None:
            return []
        return self.leave('deadline')

    def leave(self, reason: str) -> Effects:
        """The caller has left or cancelled, or waits no longer."""
        if self._stage is _Stage.finished:
            return []
        self._reason = reason
        bound = self._bound
        if bound is None:
            return self._give_up()
        self._maybe_run = True
        return [SendTo(bound.candidate, CancelWork(bound.attempt_id)), *self._give_up()]

    def _is_alone(self, now_seconds: float) -> bool:
        since_seconds = self._alone_since_seconds
        if self._stage is not _Stage.waiting or since_seconds is None:
            return False
        return now_seconds - since_seconds > ALONE_SECONDS

    def _bound_as(self, attempt_id: str) -> _Bound | None:
        bound = self._bound
        if self._stage is not _Stage.running or bound is None:
            return None
        return bound if bound.attempt_id == attempt_id else None

    def _after_refusal(self, reason: str, retry_seconds: float, now_seconds: float) -> Effects:
        self._reason = reason
        self._retry_after_seconds = max(self._retry_after_seconds, retry_seconds)
        if self._reservations.any_open:
            return []
        return self._ask_again(now_seconds)

    def _ask_again(self, now_seconds: float) -> Effects:
        late = now_seconds >= self.order.deadline_seconds and not self._began
        if late or self._reservations.exhausted:
            return self._give_up()
        return [NeedCandidates(frozenset(self._reservations.tried), is_retry=True)]

    def _give_up(self) -> Effects:
        effects = self._reservations.cancel_all()
        self._stage = _Stage.finished
        outcome = Outcome.unknown if self._maybe_run else Outcome.not_run
        finish = FinishRequest(
            outcome, self._reason, self._retry_after_seconds, self._passed_tokens
        )
        return [*effects, finish]


@singledispatch
def deliver(received: object, desk: RequestDispatch, now_seconds: float) -> Effects:
    """Gives a candidate's message to the desk that it concerns."""
    raise AssertionError(f'{type(received).__name__} is no message to a desk')


@deliver.register
def _granted(received: Granted, desk: RequestDispatch, now_seconds: float) -> Effects:
    return desk.granted(received, now_seconds)


@deliver.register
def _refused(received: Refused, desk: RequestDispatch, now_seconds: float) -> Effects:
    return desk.refused(received, now_seconds)


@deliver.register
def _work_refused(received: WorkRefused, desk: RequestDispatch, now_seconds: float) -> Effects:
    return desk.not_run(received.attempt_id, received.reason, now_seconds)


@deliver.register
def _head(received: AnswerHead, desk: RequestDispatch, now_seconds: float) -> Effects:
    return desk.head(received)


@deliver.register
def _part(received: AnswerPart, desk: RequestDispatch, now_seconds: float) -> Effects:
    return desk.part(received, now_seconds)


@deliver.register
def _end(received: AnswerEnd, desk: RequestDispatch, now_seconds: float) -> Effects:
    return desk.end(received, now_seconds)


@deliver.register
def _failed(received: AnswerFailed, desk: RequestDispatch, now_seconds: float) -> Effects:
    if received.outcome is Outcome.not_run:
        return desk.not_run(received.attempt_id, received.reason, now_seconds)
    return desk.broken(received.attempt_id, received.reason, now_seconds)
