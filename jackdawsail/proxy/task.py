"""One call of a caller, from its whole request to its one final answer.

A call that may not be repeated is handed over once; only the upstream's own word
that it has not run frees it for another. When nothing has run and no upstream
can serve it, it is refused at once with a time to come back.
"""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail import events
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy import metrics
from jackdawsail.proxy.attempt import SUCCESS, Attempt, AttemptEnd, ReceivedHead
from jackdawsail.proxy.calls import CallerCall, Handover
from jackdawsail.proxy.parts import ProxyParts
from jackdawsail.proxy.relaying import AnswerRelay, make_relay
from jackdawsail.proxy.selection import Selection, select_upstream
from jackdawsail.routing.placement import Choice, Refusal
from jackdawsail.site.document import CallKind, Customer, Route

MOST_SENDS = 4  # of one call, counting those that upstreams refused unread
LEAST_LEFT_SECONDS = 0.02  # under it no upstream can answer in time
SILENT_FIRST_SECONDS = 1.2  # three objectives; a healthy engine has sent its first event by then
SILENT_NEXT_SECONDS = 0.8  # nearly three of the longest allowed pauses
WATCH_SECONDS = 0.2
FRESH_SHARE = 0.95  # of a route's time limit; callers with less patience left have been here
SERVER_ERROR = 500

HANDED_OVER = events.define(420, 'info', 'call handed to an upstream')
CALL_REFUSED = events.define(421, 'warning', 'call refused, it has not run')
CALL_FAILED = events.define(422, 'warning', 'call failed')
CALL_ENDED = events.define(423, 'info', 'call answered')
ATTEMPT_ENDED = events.define(424, 'warning', 'attempt at an upstream ended without an answer')
CALLER_LEFT = events.define(425, 'info', 'caller left before the answer was whole')


@dataclass(slots=True)
class CallTask:
    """Owns one exchange with a caller and the attempts made for it."""

    parts: ProxyParts
    exchange: Exchange
    call: CallerCall
    route: Route
    service: str
    customer: Customer | None
    deadline_seconds: float = 0
    tried: list[str] = field(default_factory=list)
    sends: int = 0
    may_have_run: bool = False
    ran_on: set[str] = field(default_factory=set)
    attempt: Attempt | None = None
    relay: AnswerRelay | None = None
    _timers: list[Any] = field(default_factory=list)

    def start(self) -> None:
        """Places the call."""
        limit_seconds = self.route.time_limit_seconds
        patience_seconds = self.call.patience_seconds or limit_seconds
        lasts_seconds = min(limit_seconds, patience_seconds)
        self.deadline_seconds = self.exchange.received_seconds + lasts_seconds
        self.exchange.on_gone = self._caller_left
        self.parts.running += 1
        clock = self.parts.clock
        self._timers = [clock.callLater(self._left_seconds(), self._out_of_time), None]
        self._place()

    def attempt_sent(self, attempt: Attempt) -> None:
        """Notes that the call may run from now on."""
        now_seconds = self.parts.clock.seconds()
        share = self.parts.retry_share(self.service)
        if self.sends == 0:
            share.note_first(now_seconds)
        metrics.HANDOVERS.labels('repeat' if self.sends else 'first').inc()
        self.sends += 1
        self.may_have_run = True
        self.ran_on.add(attempt.upstream.name)
        self._watch()

    def attempt_head(self, attempt: Attempt, head: ReceivedHead) -> None:
        """Learns what the upstream says before its body."""
        if head.meaning.not_run:
            self.ran_on.discard(attempt.upstream.name)
            self.may_have_run = bool(self.ran_on)
        elif self.relay is None or not self.relay.started:
            self.relay = make_relay(self.exchange, self.route, head)
        else:
            self.relay.go_on(head)

    def attempt_body(self, attempt: Attempt, piece: bytes) -> None:
        """Passes on what may be passed on."""
        head = attempt.head
        if self.relay is not None and head is not None and not head.meaning.not_run:
            if not self.relay.started:
                took_seconds = self.parts.clock.seconds() - self.exchange.received_seconds
                metrics.FIRST_SECONDS.observe(took_seconds)
            self.relay.take(piece)

    def attempt_whole(self, attempt: Attempt) -> None:
        """Ends the call, or tries another upstream."""
        head = attempt.head
        if head is None:
            return
        now_seconds = self.parts.clock.seconds()
        meaning = head.meaning
        failed = meaning.status >= SERVER_ERROR
        attempt.upstream.answered(now_seconds - attempt.begun_seconds, now_seconds, failed=failed)
        if meaning.not_run:
            self._not_run(attempt, meaning.status)
        elif failed and self.route.may_repeat and self._can_repeat():
            self._log_attempt(attempt, f'status {meaning.status}')
            self.relay = None
            self._place()
        elif self.relay is not None:
            self.relay.finish()
            self._end('served' if meaning.status in SUCCESS else 'upstream failure')

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Tries another upstream where that is allowed, or ends the call."""
        self._log_attempt(attempt, f'{end} {reason}')
        if end is AttemptEnd.unreached:
            self._try_another(free=True)
        elif self.route.may_repeat and self._can_repeat() and self._may_go_on():
            self._place()
        else:
            self._fail(502, 'upstream broke off')

    def _place(self) -> None:
        if self.exchange.ended:
            return
        if self._left_seconds() < LEAST_LEFT_SECONDS:
            self._out_of_time()
            return
        chosen = select_upstream(self.parts, self._selection())
        if isinstance(chosen, Refusal):
            self._refuse(chosen)
            return
        self._hand_over(chosen)

    def _selection(self) -> Selection:
        last_version = self.relay.weight_version if self.relay and self.relay.started else 0
        fresh_seconds = self.route.time_limit_seconds * FRESH_SHARE
        return Selection(
            service=self.service,
            route=self.route,
            customer=self.customer,
            call=self.call,
            tried=tuple(self.tried),
            pinned_version=last_version,
            returning=0 < self.call.patience_seconds < fresh_seconds,
        )

    def _hand_over(self, choice: Choice) -> None:
        upstream = choice.upstream
        self.tried.append(upstream.name)
        selection = self._selection()
        handover = Handover(
            upstream=upstream.name,
            left_seconds=self._left_seconds(),
            customer=self.customer.name if self.customer else '',
            last_event=self._last_event(),
            weight_version=selection.expected_version(self.parts),
            engine_rank=selection.engine_rank,
        )
        self._log_handover(choice, handover)
        attempt = Attempt(self.parts, self, upstream, self.call.attempt)
        self.attempt = attempt
        # A kept channel may be closing; a call that cannot be repeated takes no such risk.
        fresh_channel = not self.route.may_repeat
        attempt.begin(self.exchange.request, handover, fresh_channel=fresh_channel)

    def _last_event(self) -> str:
        if self.relay is not None and self.relay.last_event:
            return str(self.relay.last_event)
        return self.call.last_event

    def _not_run(self, attempt: Attempt, status: int) -> None:
        self._log_attempt(attempt, f'not run, status {status}')
        if status == 421:
            attempt.upstream.broken(self.parts.clock.seconds())
        if self.may_have_run:
            self._fail(502, 'upstream refused a repeat')
        else:
            self._try_another(free=False)

    def _try_another(self, *, free: bool) -> None:
        """Goes on after an attempt that did not run; ``free`` if it did not even arrive."""
        if self.sends < MOST_SENDS and (free or self._take_repeat()):
            self._place()
        else:
            self._refuse(Refusal('no more repeats', 1.0))

    def _can_repeat(self) -> bool:
        if len(self.ran_on) >= self.route.max_upstreams or self.sends >= MOST_SENDS:
            return False
        return self._take_repeat()

    def _may_go_on(self) -> bool:
        """Tells whether what the caller has received can be continued elsewhere."""
        return self.relay is None or not self.relay.started or self.relay.can_resume

    def _take_repeat(self) -> bool:
        share = self.parts.retry_share(self.service)
        return share.take(self.parts.entries, self.parts.clock.seconds())

    def _watch(self) -> None:
        """Looks for upstreams that have fallen silent, where another may take over."""
        if self.route.kind is CallKind.stream and self.route.may_repeat:
            self._timers[1] = self.parts.clock.callLater(WATCH_SECONDS, self._check_silence)

    def _check_silence(self) -> None:
        attempt = self.attempt
        if attempt is None or attempt.ended:
            return
        silent_seconds = self.parts.clock.seconds() - attempt.heard_seconds
        started = self.relay is not None and self.relay.started
        longest_seconds = SILENT_NEXT_SECONDS if started else SILENT_FIRST_SECONDS
        if silent_seconds < longest_seconds or not self._has_another():
            self._watch()
            return
        if not self._can_repeat():
            return
        attempt.cancel()
        attempt.upstream.broken(self.parts.clock.seconds())
        self._log_attempt(attempt, f'{AttemptEnd.silent} for {silent_seconds:.2f} s')
        self._place()

    def _has_another(self) -> bool:
        return isinstance(select_upstream(self.parts, self._selection()), Choice)

    def _refuse(self, refusal: Refusal) -> None:
        if self.may_have_run:
            self._fail(502, refusal.reason)
            return
        self._log(CALL_REFUSED, reason=refusal.reason, return_seconds=refusal.return_seconds)
        if not self.exchange.ended:
            headers = self.parts.border.retry_after(refusal.return_seconds)
            self.exchange.answer(HttpAnswer(503, refusal.reason.encode(), headers))
        self._end('refused')

    def _out_of_time(self) -> None:
        if self.may_have_run:
            self._fail(504, 'time limit reached')
        else:
            self._refuse(Refusal('time limit reached before it ran', 0.5))

    def _fail(self, status: int, reason: str) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        self._log(CALL_FAILED, reason=reason, status=status)
        if not self.exchange.ended:
            if self.exchange.started:
                self.exchange.abort()
            else:
                self.exchange.answer(HttpAnswer(status, reason.encode()))
        self._end('failed')

    def _caller_left(self) -> None:
        if self.attempt is not None:
            self.attempt.cancel()
        self._log(CALLER_LEFT)
        self._end('left')

    def _end(self, outcome: str) -> None:
        for timer in self._timers:
            if timer is not None and timer.active():
                timer.cancel()
        self._timers = []
        self.parts.running -= 1
        metrics.CALLS.labels(outcome).inc()
        if outcome in {'served', 'upstream failure'}:
            self._log(CALL_ENDED, outcome=outcome)

    def _left_seconds(self) -> float:
        return self.deadline_seconds - self.parts.clock.seconds()

    def _log(self, event: events.Event, **details: Any) -> None:
        age_seconds = self.parts.clock.seconds() - self.exchange.received_seconds
        events.log(
            event,
            request=self.call.attempt,
            route=self.route.name,
            document=self.parts.view.document_version,
            age_seconds=round(age_seconds, 4),
            **details,
        )

    def _log_attempt(self, attempt: Attempt, end: str) -> None:
        self._log(ATTEMPT_ENDED, upstream=attempt.upstream.name, end=end, sent=attempt.sent)

    def _log_handover(self, choice: Choice, handover: Handover) -> None:
        upstream = choice.upstream
        seen = upstream.seen
        now_seconds = self.parts.clock.seconds()
        report_age = None if seen is None else round(now_seconds - seen.received_seconds, 3)
        self._log(
            HANDED_OVER,
            upstream=upstream.name,
            address=upstream.registration.address,
            send=self.sends + 1,
            wait_seconds=round(choice.wait_seconds, 3),
            own_calls=upstream.calls,
            report_age_seconds=report_age,
            heartbeat_age_seconds=round(now_seconds - upstream.heard_seconds, 2),
            last_event=handover.last_event,
            weight_version=handover.weight_version,
        )
