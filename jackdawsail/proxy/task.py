"""One call of a caller, from its complete request to its single final answer.

A call that may not be repeated goes to another upstream only if it was not sent to the
first one, as there was no connection, or if that one confirms that it did not run. When
nothing has run and no upstream can serve the call, it is refused at once with a time to
retry after.
"""

from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy import call_log, metrics
from jackdawsail.proxy.attempt import SUCCESS, Attempt, AttemptEnd, ReceivedHead
from jackdawsail.proxy.calls import CallerCall, CallIdentity, fingerprint_of
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.errors import ending_on_error
from jackdawsail.proxy.outgoing import (
    Deadline,
    dispatch_details,
    make_upstream_request,
    withdrawn_call,
)
from jackdawsail.proxy.relaying import (
    AnswerRelay,
    cannot_continue,
    has_begun,
    is_cut_off,
    make_relay,
    unfinished_bytes,
)
from jackdawsail.proxy.selection import Selection, likely_events, place_call, select_upstream
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.proxy.trait_reports import BLOCKED
from jackdawsail.proxy.watch import EngineWatch
from jackdawsail.routing.late_calls import is_late
from jackdawsail.routing.placement import Choice, Refusal
from jackdawsail.site.document import CallKind, Customer, Route
from jackdawsail.site.routes import Admission

SERVER_ERROR = 500
MISDIRECTED = 421
CUT_OFF = 'inside an event'  # how a stream ended whose last event is incomplete
UNSERVED_RETRY_AFTER_SECONDS = 1.0  # for calls that have run nowhere


@dataclass(slots=True)
class CallTask:
    """Owns the exchange with a caller and the attempts of its call.

    ``first_seconds`` is the time until the first part of the answer was forwarded, 0 for an
    answer that was forwarded only once it was complete.
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
    attempt: Attempt | None = None
    relay: AnswerRelay | None = None
    first_seconds: float = 0
    _time_limit: Any = None
    _watch: Any = None
    _closed: bool = field(default=False)

    def start(self) -> None:
        """Starts the time limit and dispatches the call to an upstream."""
        self._watch = EngineWatch(self)
        self.exchange.on_disconnect = partial(_caller_disconnected, self)
        self.exchange.on_full = partial(_pause_attempt, self)
        end_call = partial(_reach_time_limit, self)
        self.context.calls[id(self)] = end_call
        metrics.RUNNING.inc()
        # The time may already be over.
        remaining_seconds = max(0, self.deadline.remaining_seconds)
        self._time_limit = self.context.clock.callLater(remaining_seconds, end_call)
        self._place()

    def attempt_sent(self, attempt: Attempt) -> None:
        """Records that the call may run from now on, and starts to watch a stream's engine."""
        self.sends.record_send(attempt.upstream.name)
        now_seconds = self.context.clock.seconds()
        attempt.weight_version = attempt.upstream.version_of(self.call.model, now_seconds)
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
            _record_first_event(self, attempt)
        new_events = self.relay.received_events - events_before
        if new_events:
            attempt.record_progress()
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
        _record_complete(self, attempt, failed=failed)
        if head.decoded.not_run:
            self._not_run(attempt, status)
        elif cannot_continue(self.relay, head):
            self.attempt_failed(attempt, AttemptEnd.broken, f'status {status}')
        elif failed and self.has_alternative() and self.sends.take_further_upstream():
            self.log.attempt_ended(attempt, f'status {status}', self.relay)
            self.relay = None
            self._place()
        else:
            self._finish(attempt, status)

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Dispatches the call to another upstream if that is allowed, or fails it."""
        self.log.attempt_ended(attempt, f'{end} {reason}', self.relay)
        if attempt.head is not None and attempt.head.decoded.not_run:
            self._not_run(attempt, attempt.head.decoded.status)
        elif end is AttemptEnd.unreached:
            self._place()
        elif end is AttemptEnd.broken:
            self.context.traits.answer_broken(self.identity, attempt, self._continue)
        else:
            self._continue(is_risky=False)

    def _continue(self, is_risky: bool) -> None:
        """Continues after a broken attempt, unless its repeat could end another engine."""
        if self._closed:
            return
        if is_risky:
            self._fail(502, 'the call may have ended the upstream')
        elif _may_continue(self) and self.sends.take_further_upstream():
            self._place()
        else:
            self._fail(502, 'upstream broke off')

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
            self._time_out()
            return
        withdrawn = withdrawn_call(self)
        if withdrawn is not None:
            self._refuse(withdrawn)
            return
        selection = replace(self.selection(), is_begun=has_begun(self.relay))
        decision = place_call(self.context, selection)
        if isinstance(decision, Refusal):
            self._refuse(decision)
            return
        self._dispatch(decision, selection)

    def selection(self) -> Selection:
        """Returns the current inputs for the choice of an upstream."""
        return Selection(
            service=self.sends.service,
            route=self.route,
            customer=self.customer,
            call=self.call,
            tried=tuple(self.sends.tried),
            pinned_version=self.relay.weight_version if has_begun(self.relay) else 0,
            is_late=self.is_late,
        )

    def _dispatch(self, choice: Choice, selection: Selection) -> None:
        upstream = choice.upstream
        self.sends.tried.append(upstream.name)
        details = dispatch_details(self, selection, upstream)
        self.log.dispatched(choice, details, self.sends.count + 1)
        make_request = partial(make_upstream_request, self, upstream)
        self.attempt = Attempt(self.context, self, upstream, self.call.attempt)
        # An idle channel may just be closing; a call that cannot be repeated avoids that risk.
        fresh_channel = not self.route.may_repeat
        self.attempt.set_paused(self.exchange.is_full)
        self.attempt.start(make_request, fresh_channel=fresh_channel)

    def _not_run(self, attempt: Attempt, status: int) -> None:
        self.log.attempt_ended(attempt, f'not run, status {status}', self.relay)
        if status == MISDIRECTED:
            attempt.upstream.call_failed(self.context.clock.seconds())
        if self.sends.may_have_run and not _may_continue(self):
            self._fail(502, 'upstream refused a repeat')
        elif self.sends.take_repeat():
            self._place()
        else:
            self._refuse(Refusal('no more repeats', UNSERVED_RETRY_AFTER_SECONDS))

    def abandon(self, attempt: Attempt, reason: str) -> None:
        """Cancels an attempt and dispatches the call again."""
        attempt.cancel()
        self.log.attempt_ended(attempt, reason, self.relay)
        self._place()

    def likely_events(self) -> float:
        """Returns the likely number of events of the whole answer."""
        return likely_events(self.context, self.sends.service, self.call.likely_answer_tokens)

    def has_alternative(self) -> bool:
        """Returns whether another upstream could take the call now.

        None can once a part of an answer was forwarded that cannot be continued.
        """
        if self.context.traits.is_blocked(self.identity) or not _may_continue(self):
            return False
        return isinstance(select_upstream(self.context, self.selection()), Choice)

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

    def _time_out(self) -> None:
        if self.sends.may_have_run:
            self._fail(504, 'time limit reached')
            return
        if self.attempt is not None:
            self.attempt.cancel()
        self._refuse(Refusal('time limit reached before it ran', UNSERVED_RETRY_AFTER_SECONDS))

    def _fail(self, status: int, reason: str) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        self.log.write(call_log.CALL_FAILED, reason=reason, status=status)
        if self.exchange.started:
            self.exchange.abort()
        elif not self.exchange.ended:
            self.exchange.answer(HttpAnswer(status, reason.encode()))
        self._close('failed')

    def end_after_error(self) -> None:
        """Answers with a failure, since an error was raised in the handling of the call."""
        if self._closed:
            return
        if self.attempt is not None:
            self.attempt.cancel()
        self._close('failed')
        self.exchange.fail()
        self.log.write(call_log.CALL_FAILED, reason='internal error', status=SERVER_ERROR)

    def _close(self, outcome: str) -> None:
        if self._closed:
            return
        self._closed = True
        self._watch.stop()
        if self._time_limit is not None and self._time_limit.active():
            self._time_limit.cancel()
        self.context.calls.pop(id(self), None)
        metrics.RUNNING.dec()
        metrics.CALLS.labels(outcome).inc()


def _reach_time_limit(task: CallTask) -> None:
    with ending_on_error(task.end_after_error):
        task._time_out()


def _caller_disconnected(task: CallTask) -> None:
    if task.attempt is not None:
        task.attempt.cancel()
    task.log.write(call_log.CALLER_DISCONNECTED)
    task._close('left')


def _pause_attempt(task: CallTask, is_full: bool) -> None:
    """Reads the upstream's answer no faster than its caller does."""
    if task.attempt is not None:
        task.attempt.set_paused(is_full)


def _may_continue(task: CallTask) -> bool:
    """Returns whether another upstream can continue what the caller has received."""
    if not task.route.may_repeat:
        return False
    return not has_begun(task.relay) or task.relay.can_resume


def _record_complete(task: CallTask, attempt: Attempt, *, failed: bool) -> None:
    now_seconds = task.context.clock.seconds()
    took_seconds = now_seconds - attempt.started_seconds
    attempt.upstream.call_answered(took_seconds, now_seconds, failed=failed)
    if not failed:
        task.context.traits.answer_sound(task.identity, attempt)


def _record_first_event(task: CallTask, attempt: Attempt) -> None:
    now_seconds = task.context.clock.seconds()
    task.first_seconds = now_seconds - task.exchange.received_seconds
    metrics.FIRST_SECONDS.observe(task.first_seconds)
    attempt.upstream.record_first_event(now_seconds - attempt.started_seconds, now_seconds)


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
        now_seconds = context.clock.seconds()
        used_seconds = context.refused_calls.seconds_since_refusal(task.fingerprint, now_seconds)
        task.is_late = is_late(used_seconds, route.target_seconds)
    return task


def _make_deadline(
    context: ProxyContext, exchange: Exchange, call: CallerCall, route: Route
) -> Deadline:
    limit_seconds = route.time_limit_seconds
    allowed_seconds = min(limit_seconds, call.patience_seconds or limit_seconds)
    return Deadline(context.clock, exchange.received_seconds + allowed_seconds)
