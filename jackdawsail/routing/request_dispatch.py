"""Dispatch of one request at its entry: reserves at two candidates, sends to one.

This is a state machine without I/O. It sends small reservations to the candidates, binds
the request to the first grant and cancels the other reservations. Until the work is sent
the request has run nowhere and can go to any other candidate. Afterwards it may go to
another one only if the agent confirms that it did not run, or if the call may be
repeated or resumed.
"""

from dataclasses import dataclass, field, replace
from enum import Enum
from functools import singledispatch

from jackdawsail.http1.messages import FINAL_STATUSES, SUCCESS_STATUSES
from jackdawsail.routing.answers import AnswerVerifier
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

# Longer than an agent's tick, so that the agent can first refuse work that has not started.
DISPATCHED_GRACE_SECONDS = 0.25
# A candidate that has not granted by then may be frozen, or busier than reported.
SECOND_CANDIDATE_SECONDS = 0.15


class _Stage(Enum):
    waiting = 1
    running = 2
    finished = 3


@dataclass(slots=True)
class _BoundAttempt:
    """The attempt whose work was sent to a candidate."""

    attempt_id: str
    candidate: str
    release: str
    verifier: AnswerVerifier = field(default_factory=AnswerVerifier)


class RequestDispatch:
    """State machine of one request; the I/O layer performs the effects in their order."""

    def __init__(self, spec: RequestSpec, started_seconds: float = 0) -> None:
        self.spec = spec
        self.started_seconds = started_seconds
        self._stage = _Stage.waiting
        self._reservations = Reservations(spec.request_id)
        self._bound: _BoundAttempt | None = None
        self._answer_begun = False
        self._may_have_run = False
        self._single_since_seconds: float | None = None
        self._forwarded_tokens = 0
        self._last_reason = 'no-upstream'
        self._retry_after_seconds: float = 0

    @property
    def finished(self) -> bool:
        """Returns whether the request has ended."""
        return self._stage is _Stage.finished

    def start(self) -> Effects:
        """Returns the effect that asks for the first candidates."""
        return [NeedCandidates(frozenset(), is_retry=False)]

    def offer_candidates(self, candidates: list[str], now_seconds: float) -> Effects:
        """Reserves at the chosen candidates; finishes the request if no reservation is open."""
        if self._stage is not _Stage.waiting:
            return []
        effects = self._reservations.reserve_at(self.spec, candidates, now_seconds)
        self._single_since_seconds = now_seconds if self._reservations.has_single_open else None
        if self._reservations.any_open:
            return effects
        return self._give_up()

    def handle_grant(self, grant: Granted, now_seconds: float) -> Effects:
        """Sends the work to the first candidate that grants, and cancels other reservations.

        A grant of another release than the request is pinned to counts as a refusal.
        """
        candidate = self._reservations.close(grant.attempt_id)
        if not candidate or self._stage is not _Stage.waiting:
            return []
        if self.spec.release not in {'', grant.release}:
            cancel = SendTo(candidate, CancelReserve(grant.attempt_id))
            return [cancel, *self._after_refusal('other-release', 0, now_seconds)]
        effects = self._reservations.cancel_all()
        self._stage = _Stage.running
        self._bound = _BoundAttempt(grant.attempt_id, candidate, grant.release)
        work = make_work(self.spec, grant, self._forwarded_tokens)
        return [*effects, SendTo(candidate, work)]

    def handle_refusal(self, refusal: Refused, now_seconds: float) -> Effects:
        """Asks for other candidates once all open reservations are refused."""
        if not self._reservations.close(refusal.attempt_id):
            return []
        return self._after_refusal(refusal.reason, refusal.retry_after_seconds, now_seconds)

    def attempt_not_run(self, attempt_id: str, reason: str, now_seconds: float) -> Effects:
        """Handles an agent's confirmation that the attempt did not run: it may run elsewhere."""
        if self._bound_attempt(attempt_id) is None:
            return []
        self._bound = None
        self._stage = _Stage.waiting
        return self._after_refusal(reason, 0, now_seconds)

    def candidate_lost(self, candidate: str, now_seconds: float) -> Effects:
        """Handles the end of a candidate's link."""
        had_open = self._reservations.close_at(candidate)
        bound = self._bound
        if self._stage is _Stage.running and bound is not None and bound.candidate == candidate:
            return self.attempt_broken(bound.attempt_id, 'agent-lost', now_seconds)
        if had_open and self._stage is _Stage.waiting:
            return self._after_refusal('agent-lost', 0, now_seconds)
        return []

    def handle_head(self, head: AnswerHead, now_seconds: float) -> Effects:
        """Forwards the head of the first attempt; that of a resumed answer is dropped.

        A status that is no final one breaks the attempt, as does a failure in place of the rest
        of an answer that has begun: its body would be taken for that rest.
        """
        bound = self._bound_attempt(head.attempt_id)
        if bound is None:
            return []
        allowed = SUCCESS_STATUSES if self._answer_begun else FINAL_STATUSES
        if head.status not in allowed:
            cancel = SendTo(bound.candidate, CancelWork(bound.attempt_id))
            reason = f'unexpected-status-{head.status}'
            return [cancel, *self.attempt_broken(bound.attempt_id, reason, now_seconds)]
        if self._answer_begun:
            return []
        self._answer_begun = True
        return [BeginAnswer(head)]

    def handle_part(self, part: AnswerPart, now_seconds: float) -> Effects:
        """Forwards the next part; a gap between parts breaks the attempt."""
        bound = self._bound_attempt(part.attempt_id)
        if bound is None:
            return []
        if bound.verifier.accept(part):
            self._forwarded_tokens += part.tokens
            return [ForwardPart(part.body, part.tokens)]
        if bound.verifier.failure:
            cancel = SendTo(bound.candidate, CancelWork(bound.attempt_id))
            return [
                cancel,
                *self.attempt_broken(bound.attempt_id, bound.verifier.failure, now_seconds),
            ]
        return []

    def handle_end(self, end: AnswerEnd, now_seconds: float) -> Effects:
        """Finishes the request if the answer is complete."""
        bound = self._bound_attempt(end.attempt_id)
        if bound is None:
            return []
        if not bound.verifier.is_complete(end):
            return self.attempt_broken(end.attempt_id, 'answer-not-whole', now_seconds)
        self._stage = _Stage.finished
        return [FinishRequest(Outcome.done, tokens=self._forwarded_tokens)]

    def attempt_broken(self, attempt_id: str, reason: str, now_seconds: float) -> Effects:
        """Handles an attempt that may have run: retries only if it can be repeated or resumed."""
        bound = self._bound_attempt(attempt_id)
        if bound is None:
            return []
        self._last_reason = reason
        self._may_have_run = True
        self._bound = None
        if self.spec.resumable or (self.spec.repeatable and not self._answer_begun):
            self._stage = _Stage.waiting
            if self._answer_begun:
                self.spec = replace(self.spec, release=bound.release)
            return self._retry(now_seconds)
        return self._give_up()

    def tick(self, now_seconds: float) -> Effects:
        """Asks for a second candidate when a single one is slow to grant; ends late requests.

        A request is late when its deadline has passed before its answer began; once its work
        was sent, DISPATCHED_GRACE_SECONDS are added. A claimed call whose work was sent
        continues, so that its real outcome is settled.
        """
        if self._needs_second_candidate(now_seconds):
            self._single_since_seconds = None
            return [NeedCandidates(frozenset(self._reservations.tried), is_retry=False)]
        grace_seconds = DISPATCHED_GRACE_SECONDS if self._bound else 0
        late = now_seconds >= self.spec.deadline_seconds + grace_seconds
        if self._answer_begun or not late:
            return []
        if self.spec.claim_number and self._bound is not None:
            return []
        return self.abandon('deadline')

    def abandon(self, reason: str) -> Effects:
        """Ends a request whose caller has left or cancelled, or whose deadline has passed."""
        if self._stage is _Stage.finished:
            return []
        self._last_reason = reason
        bound = self._bound
        if bound is None:
            return self._give_up()
        self._may_have_run = True
        return [SendTo(bound.candidate, CancelWork(bound.attempt_id)), *self._give_up()]

    def _needs_second_candidate(self, now_seconds: float) -> bool:
        since_seconds = self._single_since_seconds
        if self._stage is not _Stage.waiting or since_seconds is None:
            return False
        return now_seconds - since_seconds > SECOND_CANDIDATE_SECONDS

    def _bound_attempt(self, attempt_id: str) -> _BoundAttempt | None:
        bound = self._bound
        if self._stage is not _Stage.running or bound is None:
            return None
        return bound if bound.attempt_id == attempt_id else None

    def _after_refusal(self, reason: str, retry_seconds: float, now_seconds: float) -> Effects:
        self._last_reason = reason
        self._retry_after_seconds = max(self._retry_after_seconds, retry_seconds)
        if self._reservations.any_open:
            return []
        return self._retry(now_seconds)

    def _retry(self, now_seconds: float) -> Effects:
        late = now_seconds >= self.spec.deadline_seconds and not self._answer_begun
        if late or self._reservations.attempts_exhausted:
            return self._give_up()
        return [NeedCandidates(frozenset(self._reservations.tried), is_retry=True)]

    def _give_up(self) -> Effects:
        effects = self._reservations.cancel_all()
        self._stage = _Stage.finished
        outcome = Outcome.unknown if self._may_have_run else Outcome.not_run
        finish = FinishRequest(
            outcome, self._last_reason, self._retry_after_seconds, self._forwarded_tokens
        )
        return [*effects, finish]


@singledispatch
def deliver(received: object, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    """Calls the method of the request's state machine that handles a candidate's message."""
    raise AssertionError(f'unexpected message from a candidate: {type(received).__name__}')


@deliver.register
def _granted(received: Granted, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    return dispatch.handle_grant(received, now_seconds)


@deliver.register
def _refused(received: Refused, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    return dispatch.handle_refusal(received, now_seconds)


@deliver.register
def _work_refused(received: WorkRefused, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    return dispatch.attempt_not_run(received.attempt_id, received.reason, now_seconds)


@deliver.register
def _head(received: AnswerHead, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    return dispatch.handle_head(received, now_seconds)


@deliver.register
def _part(received: AnswerPart, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    return dispatch.handle_part(received, now_seconds)


@deliver.register
def _end(received: AnswerEnd, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    return dispatch.handle_end(received, now_seconds)


@deliver.register
def _failed(received: AnswerFailed, dispatch: RequestDispatch, now_seconds: float) -> Effects:
    if received.outcome is Outcome.not_run:
        return dispatch.attempt_not_run(received.attempt_id, received.reason, now_seconds)
    return dispatch.attempt_broken(received.attempt_id, received.reason, now_seconds)
