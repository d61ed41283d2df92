"""One call of a caller, from its complete request to its single final answer.

A call that may not be repeated goes to another upstream only if it was not sent to the
first one, as there was no connection, or if that one confirms that it did not run. When
nothing has run and no upstream can serve the call, it is refused at once with a time to
retry after.
"""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail.error_handling import ending_on_error
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.proxy import call_log, metrics
from jackdawsail.proxy.answer_records import record_complete, record_first_event
from jackdawsail.proxy.attempt import SUCCESS, Attempt, AttemptEnd, ReceivedHead
from jackdawsail.proxy.calls import CallerCall, CallIdentity, fingerprint_of
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.dispatching import (
    next_attempt,
    record_sent,
    start_attempt,
)
from jackdawsail.proxy.handover import (
    Handover,
    complete_handover,
    give_up_handover,
    take_retry,
)
from jackdawsail.proxy.outgoing import Deadline
from jackdawsail.proxy.relaying import (
    AnswerRelay,
    cannot_continue,
    has_begun,
    is_cut_off,
    make_relay,
    may_continue,
    unfinished_bytes,
)
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.proxy.trait_reports import BLOCKED
from jackdawsail.proxy.watch import EngineWatch
from jackdawsail.routing.placement import Refusal
from jackdawsail.site.document import CallKind, Customer, Route
from jackdawsail.site.routes import Admission

SERVER_ERROR = 500
MISDIRECTED = 421
TIME_LIMIT = 'time limit reached'
CUT_OFF = 'inside an event'  # how a stream ended whose last event is incomplete
UNSERVED_RETRY_AFTER_SECONDS = 1.0  # for calls that have run nowhere


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """A complete failure that an upstream has answered, not forwarded yet."""

    attempt: Attempt
    relay: AnswerRelay | None
    status: int


@dataclass(slots=True)
class CallTask:
    """Owns the exchange with a caller and the attempts of its call.

    ``first_seconds`` is the time until the first part of the answer was forwarded, 0 for an
    answer that was forwarded only once it was complete. ``left`` is why the last engine was left
    that had not failed, empty if none was. ``handover`` is a try to continue at another upstream,
    ``failure`` the answer that the caller gets if a retry brings none. ``urgency`` is the class of
    its rank, which a later document does not change.
    """

    context: ProxyContext
    exchange: Exchange
    call: CallerCall
    route: Route
    customer: Customer | None
    identity: CallIdentity
    sends: SendHistory
    log: call_log.CallLog
    deadline: Deadline
    fingerprint: bytes = b''
    is_late: bool = False
    urgency: int | None = None
    attempt: Attempt | None = None
    relay: AnswerRelay | None = None
    handover: Handover | None = None
    failure: FailedAnswer | None = None
    left: str = ''
    first_seconds: float = 0
    _time_limit: Any = None
    _watch: Any = None
    _closed: bool = field(default=False)

    def start(self) -> None:
        """Starts the time limit and dispatches the call to an upstream."""
        self._watch = EngineWatch(self)
        self.exchange.on_disconnect = self._caller_disconnected
        self.exchange.on_full = self._pause
        self.context.calls[id(self)] = self._end
        metrics.RUNNING.inc()
        # The time may already be over.
        remaining_seconds = max(0, self.deadline.remaining_seconds)
        self._time_limit = self.context.clock.callLater(remaining_seconds, self._end, TIME_LIMIT)
        self._place()

    def attempt_sent(self, attempt: Attempt) -> None:
        """Records that the call may run from now on, and starts to watch a stream's engine."""
        record_sent(self, attempt)
        if self.route.kind is CallKind.stream:
            self._watch.start(attempt)

    def attempt_head(self, attempt: Attempt, head: ReceivedHead) -> None:
        """Records a confirmation that the call did not run, or prepares to forward the answer."""
        if head.decoded.not_run:
            self.sends.record_not_run(attempt.upstream.name)
        elif has_begun(self.relay):
            if head.decoded.status in SUCCESS:
                self.relay.continue_from(head)
        else:
            self.relay = make_relay(self.exchange, self.route, head)

    def attempt_body(self, attempt: Attempt, body: bytes) -> None:
        """Forwards a part of the body, unless it cannot continue what was forwarded before."""
        if self.relay is None or attempt.head is None:
            return
        if cannot_continue(self.relay, attempt.head):
            return
        started_before = self.relay.started
        events_before = self.relay.received_events
        may_go_on = self.relay.forward(body)
        if self.relay.started and not started_before:
            record_first_event(self, attempt)
        new_events = self.relay.received_events - events_before
        if new_events:
            attempt.record_progress()
        if new_events or (self.relay.started and not started_before):
            give_up_handover(self, AttemptEnd.silent, 'the first engine goes on')
        self.context.traits.events_received(self.identity, attempt, new_events)
        if not may_go_on:
            attempt.cancel()
            attempt.upstream.call_failed(self.context.clock.seconds())
            self.attempt_failed(attempt, AttemptEnd.broken, 'event is too long')

    def attempt_completed(self, attempt: Attempt) -> None:
        """Ends the call, or dispatches it again after a failure or if it did not run."""
        head = attempt.head
        if head is None:
            return
        cut_off = is_cut_off(self.relay, head)
        metrics.ANSWERS.labels(attempt.framing, CUT_OFF if cut_off else 'complete').inc()
        if cut_off:
            attempt.upstream.call_failed(self.context.clock.seconds())
            self.attempt_failed(attempt, AttemptEnd.broken, CUT_OFF)
            return
        status = head.decoded.status
        failed = status >= SERVER_ERROR
        record_complete(self, attempt, failed=failed)
        if head.decoded.not_run:
            self._not_run(attempt, status)
        elif cannot_continue(self.relay, head):
            self.attempt_failed(attempt, AttemptEnd.broken, f'status {status}')
        elif failed and take_retry(self):
            self._retry(attempt, status)
        else:
            self._finish(attempt, status)

    def adopt(self, attempt: Attempt, received: bytes) -> None:
        """Continues with the answer of another attempt, of which some was received already."""
        self.attempt = attempt
        attempt.change_owner(self)
        if attempt.head is not None:
            self.attempt_head(attempt, attempt.head)
            self.attempt_body(attempt, received)
        if attempt.ended:
            self.attempt_completed(attempt)
        elif attempt.sent:
            self._watch.start(attempt)

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Dispatches the call to another upstream if that is allowed, or fails it."""
        self.log.attempt_ended(attempt, f'{end} {reason}', self.relay)
        if end is AttemptEnd.recalled:
            self.left = str(end)
        if attempt.head is not None and attempt.head.decoded.not_run:
            self._not_run(attempt, attempt.head.decoded.status)
        elif end is AttemptEnd.unreached:
            self._place()
        elif end is AttemptEnd.broken:
            self.context.traits.answer_broken(
                self.identity, attempt, lambda is_risky: _cause_known(self, attempt, is_risky)
            )
        else:
            self._continue(is_risky=False)

    def _continue(self, is_risky: bool) -> None:
        """Continues after a broken attempt, unless its repeat could end another engine."""
        if self._closed:
            return
        if is_risky:
            self._fail(502, 'the call may have ended the upstream')
            return
        if complete_handover(self):
            return
        if may_continue(self.route, self.relay) and self.sends.take_further_upstream():
            self.sends.ask_again()
            self._place()
        else:
            self._fail(502, 'upstream broke off')

    def _retry(self, attempt: Attempt, status: int) -> None:
        """Keeps an upstream's failure for the case that the next upstream gives no answer."""
        self.log.attempt_ended(attempt, f'status {status}', self.relay)
        self.failure = FailedAnswer(attempt, self.relay, status)
        self.relay = None
        if not complete_handover(self):
            self._place()

    def _finish(self, attempt: Attempt, status: int) -> None:
        if self.relay is not None:
            self.relay.finish()
        outcome = 'served' if status in SUCCESS else 'upstream failure'
        now_seconds = self.context.clock.seconds()
        self.log.write(
            call_log.CALL_ENDED,
            outcome=outcome,
            status=status,
            sent_age_seconds=round(now_seconds - attempt.sent_seconds, 4),
            first_seconds=round(self.first_seconds, 4),
            framing=attempt.framing,
            unfinished_bytes=unfinished_bytes(self.relay, attempt.head),
        )
        self._close(outcome)

    def _place(self) -> None:
        if self._closed:
            return
        if self.deadline.is_over:
            self._time_out(TIME_LIMIT)
            return
        attempt = next_attempt(self, self)
        if isinstance(attempt, Refusal):
            self._refuse(attempt)
            return
        self.attempt = attempt
        start_attempt(self, attempt)

    def _not_run(self, attempt: Attempt, status: int) -> None:
        self.log.attempt_ended(attempt, f'not run, status {status}', self.relay)
        if status == MISDIRECTED:
            attempt.upstream.call_failed(self.context.clock.seconds())
        if complete_handover(self):
            return
        if self.sends.may_have_run and not may_continue(self.route, self.relay):
            self._fail(502, 'upstream refused a repeat')
        elif self.sends.take_repeat():
            self._place()
        else:
            self._refuse(Refusal('no more repeats', UNSERVED_RETRY_AFTER_SECONDS))

    def _refuse(self, refusal: Refusal) -> None:
        if refusal is BLOCKED:
            metrics.BLOCKED_CALLS.inc()
        if self.sends.may_have_run:
            self._fail(502, refusal.reason)
            return
        details = {
            'reason': refusal.reason,
            'return_seconds': round(refusal.retry_after_seconds, 3),
            'late': self.is_late,
        }
        self.log.write(call_log.CALL_REFUSED, **details)
        if self.fingerprint:
            self.context.refused_calls.record_local(self.fingerprint, self.context.clock.seconds())
        if not self.exchange.ended:
            headers = self.context.codec.retry_after(refusal.retry_after_seconds)
            self.exchange.answer(HttpAnswer(503, refusal.reason.encode(), headers))
        self._close('refused')

    def _caller_disconnected(self) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        self.log.write(call_log.CALLER_DISCONNECTED)
        self._close('left')

    def _end(self, reason: str) -> None:
        with ending_on_error(self.end_after_error):
            self._time_out(reason)

    def _time_out(self, reason: str) -> None:
        if self.sends.may_have_run:
            self._fail(504, reason)
            return
        if self.attempt is not None:
            self.attempt.cancel()
        self._refuse(Refusal(f'{reason} before it ran', UNSERVED_RETRY_AFTER_SECONDS))

    def _fail(self, status: int, reason: str) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        if self.failure is not None and not self.exchange.started:
            self.relay = self.failure.relay
            self._finish(self.failure.attempt, self.failure.status)
            return
        self.log.failed(reason, status, is_aborted=self.exchange.started, left=self.left)
        if self.exchange.started:
            self.exchange.abort()
        elif not self.exchange.ended:
            self.exchange.answer(HttpAnswer(status, reason.encode()))
        self._close('failed')

    def _pause(self, is_full: bool) -> None:
        """Reads the upstreams' answers no faster than the caller does."""
        handover = self.handover
        if self.attempt is not None:
            pauses_engine = handover is not None and handover.pauses_engine
            self.attempt.set_paused(is_full or pauses_engine)
        if handover is not None:
            handover.attempt.set_paused(is_full)

    def end_after_error(self) -> None:
        """Answers with a failure, since an error was raised in the handling of the call."""
        if self._closed:
            return
        if self.attempt is not None:
            self.attempt.cancel()
        self._close('failed')
        is_aborted = self.exchange.started
        self.exchange.fail()
        self.log.failed('internal error', SERVER_ERROR, is_aborted=is_aborted, left=self.left)

    def _close(self, outcome: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._watch.stop()
        if self.handover is not None:
            self.handover.attempt.cancel()
        if self._time_limit is not None and self._time_limit.active():
            self._time_limit.cancel()
        self.context.calls.pop(id(self), None)
        self.identity.drop_large_body()
        self.exchange.request = self.exchange.request.without_large_body()
        metrics.RUNNING.dec()
        metrics.CALLS.labels(outcome).inc()


def _cause_known(task: CallTask, attempt: Attempt, is_risky: bool) -> None:
    """Continues after a broken attempt, unless another upstream has the call by now."""
    if task.attempt is attempt:
        task._continue(is_risky)
    else:
        task.sends.record_risk(is_risky)


def make_call_task(
    context: ProxyContext,
    exchange: Exchange,
    call: CallerCall,
    admitted: Admission,
    service: str,
) -> CallTask:
    """Builds the task of a call; its deadline is the earlier of the caller's and the route's."""
    route, customer = admitted.route, admitted.customer
    identity = CallIdentity(call, customer.name if customer else call.key, exchange.request)
    task = CallTask(
        context,
        exchange,
        call,
        route,
        customer,
        identity,
        SendHistory(context, route, service),
        call_log.CallLog(context, exchange, identity, route),
        _make_deadline(context, exchange, call, route),
    )
    if call.model:
        task.fingerprint = fingerprint_of(call, exchange.request)
        task.is_late = context.is_late(task.fingerprint, route.target_seconds)
        task.urgency = context.ranks.urgency_of(service, route, customer)
    return task


def _make_deadline(
    context: ProxyContext, exchange: Exchange, call: CallerCall, route: Route
) -> Deadline:
    limit_seconds = route.time_limit_seconds
    allowed_seconds = min(limit_seconds, call.patience_seconds or limit_seconds)
    return Deadline(context.clock, exchange.received_seconds + allowed_seconds)
