"""Seventh and eighth stage: reserve at the candidates, send to the one that granted.

Owns the desks of all requests under way and performs what they decide.
"""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, Protocol

from twisted.internet.task import LoopingCall

from jackdawsail.entry.metrics import LATENCY
from jackdawsail.entry.stages.choose import Chooser
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
FROM_CANDIDATES = (
    Granted,
    Refused,
    WorkRefused,
    AnswerHead,
    AnswerPart,
    AnswerEnd,
    AnswerFailed,
)

LinkOf = Callable[[str], Link | None]


class Answering(Protocol):
    """Hears the answer of one request; ``finish`` ends it."""

    def begin(self, begun: BeginAnswer) -> None:
        """The upstream has begun to answer."""

    def pass_on(self, piece: ForwardPart) -> None:
        """A piece of the answer, in order."""

    def finish(self, finish: FinishRequest) -> None:
        """The final word, once."""


class Dispatcher:
    """Runs every request's desk."""

    def __init__(
        self, reactor: Any, chooser: Chooser, link_of: LinkOf, budget: RetryBudget
    ) -> None:
        self._reactor = reactor
        self._chooser = chooser
        self._link_of = link_of
        self._budget = budget
        self._desks: dict[str, tuple[RequestDispatch, Answering]] = {}
        self._loop = LoopingCall(self.tick)
        self._loop.clock = reactor

    @property
    def running(self) -> int:
        """Counts the requests under way."""
        return len(self._desks)

    def start(self) -> None:
        """Begins to watch deadlines."""
        self._loop.start(TICK_SECONDS)

    def stop(self) -> None:
        """Ends watching deadlines."""
        if self._loop.running:
            self._loop.stop()

    def submit(self, order: RequestSpec, answering: Answering) -> None:
        """Starts a request."""
        desk = RequestDispatch(order, self._reactor.seconds())
        self._desks[order.request_id] = (desk, answering)
        self._budget.first_try()
        self._perform(desk, answering, desk.start())

    def leave(self, request_id: str, reason: str, spare_claimed: bool = False) -> None:
        """Ends a request whose caller has left or cancelled."""
        held = self._desks.get(request_id)
        if held is None:
            return
        desk, answering = held
        if not (spare_claimed and desk.order.claim_number):
            self._perform(desk, answering, desk.leave(reason))

    def owner_of(self, request_id: str) -> str:
        """Returns the customer of a running request, empty when there is none."""
        held = self._desks.get(request_id)
        return held[0].order.customer if held else ''

    def received(self, link: Link, message: Any) -> None:
        """Gives a candidate's message to its desk."""
        request_id = message.attempt_id.rpartition('.')[0]
        held = self._desks.get(request_id)
        if held is None:
            if isinstance(message, Granted):
                link.send(CancelReserve(message.attempt_id))
            return
        desk, answering = held
        self._perform(desk, answering, deliver(message, desk, self._reactor.seconds()))

    def candidate_lost(self, name: str) -> None:
        """Tells every desk that a candidate is gone."""
        now_seconds = self._reactor.seconds()
        for desk, answering in list(self._desks.values()):
            self._perform(desk, answering, desk.candidate_lost(name, now_seconds))

    def tick(self) -> None:
        """Lets time pass at every desk."""
        now_seconds = self._reactor.seconds()
        for desk, answering in list(self._desks.values()):
            self._perform(desk, answering, desk.tick(now_seconds))

    def _perform(self, desk: RequestDispatch, answering: Answering, effects: Effects) -> None:
        for effect in effects:
            self._do(effect, desk, answering)

    @singledispatchmethod
    def _do(self, effect: Any, _desk: RequestDispatch, _answering: Answering) -> None:
        raise AssertionError(f'{effect!r} is no effect')

    @_do.register
    def _do_send(self, effect: SendTo, desk: RequestDispatch, _answering: Answering) -> None:
        if isinstance(effect.message, Work):
            order = desk.order
            self._chooser.affinity.record_run(order.backend, order.prefix_digest, effect.candidate)
        link = self._link_of(effect.candidate)
        if link is None or not link.send(effect.message):
            self._reactor.callLater(0, self.candidate_lost, effect.candidate)

    @_do.register
    def _do_offer(self, need: NeedCandidates, desk: RequestDispatch, answering: Answering) -> None:
        if need.is_retry:
            self._retry(need, desk, answering)
        else:
            self._choose_and_offer(desk, answering, need)

    @_do.register
    def _do_begin(self, begun: BeginAnswer, desk: RequestDispatch, answering: Answering) -> None:
        order = desk.order
        waited_seconds = self._reactor.seconds() - desk.started_seconds
        LATENCY.labels(order.backend, order.customer).observe(waited_seconds)
        answering.begin(begun)

    @_do.register
    def _do_pass(self, piece: ForwardPart, _desk: RequestDispatch, answering: Answering) -> None:
        answering.pass_on(piece)

    @_do.register
    def _do_finish(
        self, finish: FinishRequest, desk: RequestDispatch, answering: Answering
    ) -> None:
        self._desks.pop(desk.order.request_id, None)
        answering.finish(finish)

    def _retry(self, need: NeedCandidates, desk: RequestDispatch, answering: Answering) -> None:
        if self._budget.take():
            delay_seconds = self._budget.backoff_seconds(len(need.avoid))
            self._reactor.callLater(delay_seconds, self._choose_and_offer, desk, answering, need)
        else:
            self._offer_now(desk, answering, [])

    def _choose_and_offer(
        self, desk: RequestDispatch, answering: Answering, need: NeedCandidates
    ) -> None:
        names = self._chooser.choose(desk.order, need, self._reactor.seconds())
        self._offer_now(desk, answering, names)

    def _offer_now(self, desk: RequestDispatch, answering: Answering, names: list[str]) -> None:
        if not desk.finished:
            self._perform(desk, answering, desk.offer_candidates(names, self._reactor.seconds()))
