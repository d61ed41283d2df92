"""One call of a caller, from its whole request to its one final answer.

A call that may not be repeated is handed over once; only the upstream's own word
that it has not run frees it for another. When nothing has run and no upstream
can serve it, it is refused at once with a time to come back.
"""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy import call_log, metrics
from jackdawsail.proxy.attempt import SUCCESS, Attempt, AttemptEnd, ReceivedHead
from jackdawsail.proxy.calls import CallerCall, DispatchDetails, fingerprint_of
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.relaying import AnswerRelay, cannot_continue, make_relay
from jackdawsail.proxy.selection import Selection, likely_events, place_call, select_upstream
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.proxy.watch import EngineWatch
from jackdawsail.routing.late_calls import is_late
from jackdawsail.routing.placement import Choice, Refusal
from jackdawsail.site.document import CallKind, Customer, Route

LEAST_LEFT_SECONDS = 0.02  # under it no upstream can answer in time
SERVER_ERROR = 500
MISDIRECTED = 421
UNSERVED_RETURN_SECONDS = 1.0  # when to come back after upstreams have refused a call unread


@dataclass(frozen=True, slots=True)
class Deadline:
    """When the final answer of a call is due."""

    clock: Any
    at_seconds: float

    @property
    def remaining_seconds(self) -> float:
        """Returns the time that is left."""
        return self.at_seconds - self.clock.seconds()


@dataclass(slots=True)
class CallTask:
    """Owns one exchange with a caller and the attempts made for it."""

    parts: ProxyContext
    exchange: Exchange
    call: CallerCall
    route: Route
    customer: Customer | None
    sends: SendHistory
    log: call_log.CallLog
    deadline: Deadline
    fingerprint: bytes = b''
    is_late: bool = False
    attempt: Attempt | None = None
    relay: AnswerRelay | None = None
    first_seconds: float = 0
    _limit: Any = None
    _watch: Any = None
    _ended: bool = field(default=False)

    def start(self) -> None:
        """Places the call."""
        self._watch = EngineWatch(self)
        self.exchange.on_disconnect = self._caller_left
        self.parts.running += 1
        metrics.RUNNING.inc()
        self._limit = self.parts.clock.callLater(
            self.deadline.remaining_seconds, self._out_of_time
        )
        self._place()

    def attempt_sent(self, attempt: Attempt) -> None:
        """Notes that the call may run from now on."""
        self.sends.sent(attempt.upstream.name)
        if self.route.kind is CallKind.stream and self.route.may_repeat:
            self._watch.begin(attempt)

    def attempt_head(self, attempt: Attempt, head: ReceivedHead) -> None:
        """Learns what the upstream says before its body."""
        if head.meaning.not_run:
            self.sends.not_run(attempt.upstream.name)
        elif self.relay is not None and self.relay.started:
            if head.meaning.status in SUCCESS:
                self.relay.go_on(head)
        else:
            self.relay = make_relay(self.exchange, self.route, head)

    def attempt_body(self, attempt: Attempt, piece: bytes) -> None:
        """Passes on what may be passed on."""
        if self.relay is None or attempt.head is None or attempt.head.meaning.not_run:
            return
        if cannot_continue(self.relay, attempt.head):
            return
        begun = self.relay.started
        self.relay.take(piece)
        if self.relay.started and not begun:
            _note_first(self, attempt)

    def attempt_whole(self, attempt: Attempt) -> None:
        """Ends the call, or tries another upstream."""
        if attempt.head is None:
            return
        now_seconds = self.parts.clock.seconds()
        status = attempt.head.meaning.status
        failed = status >= SERVER_ERROR
        attempt.upstream.call_answered(
            now_seconds - attempt.begun_seconds, now_seconds, failed=failed
        )
        if attempt.head.meaning.not_run:
            self._not_run(attempt, status)
        elif cannot_continue(self.relay, attempt.head):
            self.attempt_failed(attempt, AttemptEnd.broken, f'status {status}')
        elif failed and self.has_another() and self.sends.may_run_again():
            self.log.attempt_ended(attempt, f'status {status}')
            self.relay = None
            self._place()
        else:
            self._finish(status)

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Tries another upstream where that is allowed, or ends the call."""
        self.log.attempt_ended(attempt, f'{end} {reason}')
        if end is AttemptEnd.unreached:
            self._place()
        elif self._may_go_on() and self.sends.may_run_again():
            self._place()
        else:
            self._fail(502, 'upstream broke off')

    def _finish(self, status: int) -> None:
        if self.relay is not None:
            self.relay.finish()
        outcome = 'served' if status in SUCCESS else 'upstream failure'
        first_seconds = round(self.first_seconds, 4)
        self.log.write(
            call_log.CALL_ENDED, outcome=outcome, status=status, first_seconds=first_seconds
        )
        self._end(outcome)

    def _place(self) -> None:
        if self._ended:
            return
        if self.deadline.remaining_seconds < LEAST_LEFT_SECONDS:
            self._out_of_time()
            return
        selection = self.selection()
        chosen = place_call(self.parts, selection)
        if isinstance(chosen, Refusal):
            self._refuse(chosen)
            return
        self._hand_over(chosen, selection)

    def selection(self) -> Selection:
        """Returns what the choice of an upstream needs to know of the call now."""
        started = self.relay is not None and self.relay.started
        return Selection(
            service=self.sends.service,
            route=self.route,
            customer=self.customer,
            call=self.call,
            tried=tuple(self.sends.tried),
            pinned_version=self.relay.weight_version if started and self.relay else 0,
            is_late=self.is_late,
        )

    def _hand_over(self, choice: Choice, selection: Selection) -> None:
        self.sends.tried.append(choice.upstream.name)
        passed_on = self.relay.last_event if self.relay else 0
        handover = DispatchDetails(
            upstream=choice.upstream.name,
            left_seconds=self.deadline.remaining_seconds,
            customer=self.customer.name if self.customer else '',
            last_event=str(passed_on) if passed_on else self.call.last_event,
            weight_version=selection.expected_version(self.parts),
            engine_rank=selection.engine_rank,
        )
        self.log.handed_over(choice, handover, self.sends.count + 1)
        self.attempt = Attempt(self.parts, self, choice.upstream, self.call.attempt)
        now_seconds = self.parts.clock.seconds()
        self.attempt.weight_version = choice.upstream.version_of(self.call.model, now_seconds)
        # A kept channel may be closing; a call that cannot be repeated takes no such risk.
        fresh_channel = not self.route.may_repeat
        self.attempt.begin(self.exchange.request, handover, fresh_channel=fresh_channel)

    def _not_run(self, attempt: Attempt, status: int) -> None:
        self.log.attempt_ended(attempt, f'not run, status {status}')
        if status == MISDIRECTED:
            attempt.upstream.call_failed(self.parts.clock.seconds())
        if self.sends.may_have_run and not self._may_go_on():
            self._fail(502, 'upstream refused a repeat')
        elif self.sends.take_repeat():
            self._place()
        else:
            self._refuse(Refusal('no more repeats', UNSERVED_RETURN_SECONDS))

    def _may_go_on(self) -> bool:
        """Tells whether what the caller has received can be continued elsewhere."""
        if not self.route.may_repeat:
            return False
        return self.relay is None or not self.relay.started or self.relay.can_resume

    def leave(self, attempt: Attempt, reason: str) -> None:
        """Gives an attempt up and places the call again."""
        attempt.cancel()
        self.log.attempt_ended(attempt, reason)
        self._place()

    def likely_events(self) -> float:
        """Returns how many events the whole answer will likely have."""
        return likely_events(self.parts, self.sends.service, self.call.likely_answer_tokens)

    def has_another(self) -> bool:
        """Tells whether another upstream could take the call now."""
        return isinstance(select_upstream(self.parts, self.selection()), Choice)

    def _refuse(self, refusal: Refusal) -> None:
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
            self.parts.refused_calls.record_local(self.fingerprint, self.parts.clock.seconds())
        if not self.exchange.ended:
            headers = self.parts.codec.retry_after(refusal.retry_after_seconds)
            self.exchange.answer(HttpAnswer(503, refusal.reason.encode(), headers))
        self._end('refused')

    def _out_of_time(self) -> None:
        if self.sends.may_have_run:
            self._fail(504, 'time limit reached')
            return
        if self.attempt is not None:
            self.attempt.cancel()
        self._refuse(Refusal('time limit reached before it ran', UNSERVED_RETURN_SECONDS))

    def _fail(self, status: int, reason: str) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        self.log.write(call_log.CALL_FAILED, reason=reason, status=status)
        if self.exchange.started:
            self.exchange.abort()
        elif not self.exchange.ended:
            self.exchange.answer(HttpAnswer(status, reason.encode()))
        self._end('failed')

    def _caller_left(self) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        self.log.write(call_log.CALLER_LEFT)
        self._end('left')

    def _end(self, outcome: str) -> None:
        if self._ended:
            return
        self._ended = True
        self._watch.stop()
        if self._limit is not None and self._limit.active():
            self._limit.cancel()
        self.parts.running -= 1
        metrics.RUNNING.dec()
        metrics.CALLS.labels(outcome).inc()


def _note_first(task: CallTask, attempt: Attempt) -> None:
    now_seconds = task.parts.clock.seconds()
    task.first_seconds = now_seconds - task.exchange.received_seconds
    metrics.FIRST_SECONDS.observe(task.first_seconds)
    attempt.upstream.first_event(now_seconds - attempt.begun_seconds, now_seconds)


def make_call_task(
    parts: ProxyContext,
    exchange: Exchange,
    call: CallerCall,
    route: Route,
    service: str,
    customer: Customer | None,
) -> CallTask:
    """Makes the task of a call; it lasts as long as its caller and its route allow."""
    limit_seconds = route.time_limit_seconds
    lasts_seconds = min(limit_seconds, call.patience_seconds or limit_seconds)
    deadline = Deadline(parts.clock, exchange.received_seconds + lasts_seconds)
    sends = SendHistory(parts, route, service)
    log = call_log.CallLog(parts, exchange, call, route)
    task = CallTask(parts, exchange, call, route, customer, sends, log, deadline)
    if call.model:
        task.fingerprint = fingerprint_of(call, exchange.request)
        now_seconds = parts.clock.seconds()
        used_seconds = parts.refused_calls.seconds_since_refusal(task.fingerprint, now_seconds)
        task.is_late = is_late(used_seconds, route.target_seconds)
    return task
