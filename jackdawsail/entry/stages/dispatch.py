"""Seventh and eighth stage: reserves at the candidates, sends to the one that granted.

Owns the pure state machine of each running request and performs its effects.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

from jackdawsail.entry.metrics import LATENCY
from jackdawsail.entry.stages.choose import Chooser
from jackdawsail.loops import make_loop
from jackdawsail.routing.dispatch_effects import (
    BeginAnswer,
    Effects,
    FinishRequest,
    ForwardPart,
    NeedCandidates,
    RequestSpec,
    SendTo,
)
from jackdawsail.routing.request_dispatch import RequestDispatch, deliver
from jackdawsail.routing.retries import RetryBudget
from jackdawsail.wire.link import Link
from jackdawsail.wire.work_messages import (
    AnswerEnd,
    AnswerFailed,
    AnswerHead,
    AnswerPart,
    CancelReserve,
    Granted,
    Refused,
    Work,
    WorkRefused,
)

TICK_SECONDS = 0.05
CANDIDATE_MESSAGES = (
    Granted,
    Refused,
    WorkRefused,
    AnswerHead,
    AnswerPart,
    AnswerEnd,
    AnswerFailed,
)

LinkOf = Callable[[str], Link | None]


class AnswerSink(Protocol):
    """Receives the answer of one request; ``finish`` is the last call."""

    def begin(self, begun: BeginAnswer) -> None:
        """Receives the head of the upstream's answer."""

    def send_part(self, part: ForwardPart) -> None:
        """Receives the next part of the answer, in order."""

    def finish(self, finish: FinishRequest) -> None:
        """Receives the outcome, exactly once."""


class Dispatcher:
    """Runs all requests of this entry: passes messages and time in, performs effects."""

    def __init__(
        self, reactor: Any, chooser: Chooser, link_of: LinkOf, budget: RetryBudget
    ) -> None:
        self._reactor = reactor
        self._chooser = chooser
        self._link_of = link_of
        self._budget = budget
        self._requests: dict[str, tuple[RequestDispatch, AnswerSink]] = {}
        self._loop = make_loop(reactor, self.tick)

    @property
    def running(self) -> int:
        """Returns the number of running requests."""
        return len(self._requests)

    def start(self) -> None:
        """Starts the timer that checks deadlines."""
        self._loop.start(TICK_SECONDS)

    def stop(self) -> None:
        """Stops the timer."""
        if self._loop.running:
            self._loop.stop()

    def submit(self, spec: RequestSpec, sink: AnswerSink) -> None:
        """Starts a request; its answer goes to ``sink``."""
        dispatch = RequestDispatch(spec, self._reactor.seconds())
        self._requests[spec.request_id] = (dispatch, sink)
        self._budget.record_first_try()
        self._perform(dispatch, sink, dispatch.start())

    def cancel(self, request_id: str, reason: str, spare_claimed: bool = False) -> None:
        """Cancels a running request; with ``spare_claimed`` a claimed one keeps running."""
        running_request = self._requests.get(request_id)
        if running_request is None:
            return
        dispatch, sink = running_request
        if not (spare_claimed and dispatch.spec.claim_number):
            self._perform(dispatch, sink, dispatch.abandon(reason))

    def customer_of_request(self, request_id: str) -> str:
        """Returns the customer of a running request, or an empty string."""
        running_request = self._requests.get(request_id)
        return running_request[0].spec.customer if running_request else ''

    def handle_message(self, link: Link, message: Any) -> None:
        """Passes a candidate's message to its request.

        A grant for a request that has ended is cancelled.
        """
        request_id = message.attempt_id.rpartition('.')[0]
        running_request = self._requests.get(request_id)
        if running_request is None:
            if isinstance(message, Granted):
                link.send(CancelReserve(message.attempt_id))
            return
        dispatch, sink = running_request
        self._perform(dispatch, sink, deliver(message, dispatch, self._reactor.seconds()))

    def candidate_lost(self, name: str) -> None:
        """Reports a lost candidate to every running request."""
        now_seconds = self._reactor.seconds()
        for dispatch, sink in list(self._requests.values()):
            self._perform(dispatch, sink, dispatch.candidate_lost(name, now_seconds))

    def tick(self) -> None:
        """Passes the current time to every running request."""
        now_seconds = self._reactor.seconds()
        for dispatch, sink in list(self._requests.values()):
            self._perform(dispatch, sink, dispatch.tick(now_seconds))

    def _perform(self, dispatch: RequestDispatch, sink: AnswerSink, effects: Effects) -> None:
        for effect in effects:
            self._apply(effect, dispatch, sink)

    @singledispatchmethod
    def _apply(self, effect: Any, _dispatch: RequestDispatch, _sink: AnswerSink) -> None:
        raise AssertionError(f'{effect!r} is not an effect')

    @_apply.register
    def _apply_send(self, effect: SendTo, dispatch: RequestDispatch, _sink: AnswerSink) -> None:
        if isinstance(effect.message, Work):
            self._chooser.record_run(dispatch.spec, effect.candidate, self._reactor.seconds())
        link = self._link_of(effect.candidate)
        if link is None or not link.send(effect.message):
            self._reactor.callLater(0, self.candidate_lost, effect.candidate)

    @_apply.register
    def _apply_need_candidates(
        self, need: NeedCandidates, dispatch: RequestDispatch, sink: AnswerSink
    ) -> None:
        if need.is_retry:
            self._retry(need, dispatch, sink)
        else:
            self._choose_and_offer(dispatch, sink, need)

    @_apply.register
    def _apply_begin(
        self, begun: BeginAnswer, dispatch: RequestDispatch, sink: AnswerSink
    ) -> None:
        spec = dispatch.spec
        waited_seconds = self._reactor.seconds() - dispatch.started_seconds
        LATENCY.labels(spec.backend, spec.customer).observe(waited_seconds)
        sink.begin(begun)

    @_apply.register
    def _apply_forward(
        self, part: ForwardPart, _dispatch: RequestDispatch, sink: AnswerSink
    ) -> None:
        sink.send_part(part)

    @_apply.register
    def _apply_finish(
        self, finish: FinishRequest, dispatch: RequestDispatch, sink: AnswerSink
    ) -> None:
        self._requests.pop(dispatch.spec.request_id, None)
        sink.finish(finish)

    def _retry(self, need: NeedCandidates, dispatch: RequestDispatch, sink: AnswerSink) -> None:
        if self._budget.take_retry():
            delay_seconds = self._budget.backoff_seconds(len(need.avoid))
            self._reactor.callLater(delay_seconds, self._choose_and_offer, dispatch, sink, need)
        else:
            self._offer_now(dispatch, sink, [])

    def _choose_and_offer(
        self, dispatch: RequestDispatch, sink: AnswerSink, need: NeedCandidates
    ) -> None:
        names = self._chooser.choose(dispatch.spec, need, self._reactor.seconds())
        self._offer_now(dispatch, sink, names)

    def _offer_now(self, dispatch: RequestDispatch, sink: AnswerSink, names: list[str]) -> None:
        if not dispatch.finished:
            self._perform(
                dispatch, sink, dispatch.offer_candidates(names, self._reactor.seconds())
            )
