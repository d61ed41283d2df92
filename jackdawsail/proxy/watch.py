"""Watches the engine of a stream and moves the stream to another one when necessary.

A stream that has got no complete event for too long, or whose engine is about to load other
weights while much of the stream is left, is offered to another engine. It leaves its own only
once that one has sent an event.
A stream that has not begun at an engine whose weights are about to be overdue is recalled in
any case, so that it does not begin there; if it may not be repeated, it fails.
"""

import math
from typing import Any, Protocol

from jackdawsail.proxy.attempt import SUCCESS, Attempt, AttemptEnd
from jackdawsail.proxy.dispatching import find_alternative
from jackdawsail.proxy.handover import Handover, HandoverCall, give_up_handover, start_handover
from jackdawsail.proxy.outgoing import make_selection
from jackdawsail.proxy.relaying import has_begun
from jackdawsail.proxy.selection import likely_events
from jackdawsail.routing.moving import should_move
from jackdawsail.routing.placement import Choice
from jackdawsail.site.document import Route

# Three times the latency objective; a healthy engine has sent its first event by then.
FIRST_EVENT_TIMEOUT_SECONDS = 1.2
NEXT_EVENT_TIMEOUT_SECONDS = 0.8  # nearly three times the longest allowed pause
WATCH_INTERVAL_SECONDS = 0.2
MIN_CHECK_SECONDS = 0.001  # a shorter delay is lost in the rounding of the clock


class WatchedCall(HandoverCall, Protocol):
    """The task of a stream, as the watch uses it."""

    route: Route

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Dispatches the call to another upstream if that is allowed, or fails it."""


class EngineWatch:
    """Checks the engine of one attempt at regular intervals."""

    def __init__(self, call: WatchedCall) -> None:
        self._call = call
        self._timer: Any = None

    def start(self, attempt: Attempt) -> None:
        """Watches an attempt until it ends or is abandoned."""
        self.stop()
        handover = self._call.handover
        recall_seconds = self._seconds_until_recall(attempt)
        if handover is not None:
            recall_seconds = min(recall_seconds, self._seconds_until_recall(handover.attempt))
        delay_seconds = max(MIN_CHECK_SECONDS, min(recall_seconds, WATCH_INTERVAL_SECONDS))
        clock = self._call.context.clock
        self._timer = clock.callLater(delay_seconds, self._check, attempt)

    def stop(self) -> None:
        """Stops watching."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _check(self, attempt: Attempt) -> None:
        call = self._call
        if call.handover is not None:
            self._check_handover(call.handover)
        elif not attempt.ended and call.route.may_repeat:
            self._offer(attempt)
        if not attempt.ended and self._seconds_until_recall(attempt) <= 0:
            attempt.cancel()
            reason = f'not begun on weights {attempt.weight_version}'
            call.attempt_failed(attempt, AttemptEnd.recalled, reason)
        elif call.handover is not None or not attempt.ended:
            self.start(attempt)

    def _check_handover(self, handover: Handover) -> None:
        """Ends a handover to an engine that may not begin any more, or that is silent."""
        if self._seconds_until_recall(handover.attempt) <= 0:
            reason = f'not begun on weights {handover.attempt.weight_version}'
            give_up_handover(self._call, AttemptEnd.recalled, reason)
        elif handover.pauses_too_long(self._call.context.clock.seconds()):
            handover.read_both()
        elif self._is_silent_too(handover.attempt):
            give_up_handover(self._call, AttemptEnd.silent, 'no event')

    def _is_silent_too(self, other: Attempt) -> bool:
        """Returns whether a third engine should be asked, as neither of two sends anything."""
        call = self._call
        kept = call.attempt
        if kept is None or kept.ended or (kept.head and kept.head.decoded.status not in SUCCESS):
            return False
        silent_seconds = call.context.clock.seconds() - other.last_progress_seconds
        is_silent = other.sent and not other.is_paused
        if not is_silent or silent_seconds < FIRST_EVENT_TIMEOUT_SECONDS:
            return False
        return call.sends.may_run_further and find_alternative(call) is not None

    def _offer(self, attempt: Attempt) -> None:
        """Offers the call to another engine if it should leave this one."""
        call = self._call
        if call.exchange.is_full or call.sends.awaits_cause:
            return
        now_seconds = call.context.clock.seconds()
        silent_seconds = now_seconds - attempt.last_progress_seconds
        if self._should_move(attempt) and (choice := self._take_alternative(moving=True)):
            details = f'engine changes over from weights {attempt.weight_version}'
            start_handover(call, choice, AttemptEnd.changing, details)
        elif self._is_silent(silent_seconds) and (choice := self._take_alternative()):
            attempt.record_silence()
            call.context.recent.silence_seconds = now_seconds
            start_handover(call, choice, AttemptEnd.silent, f'silent for {silent_seconds:.2f} s')

    def _is_silent(self, silent_seconds: float) -> bool:
        if has_begun(self._call.relay):
            return silent_seconds >= NEXT_EVENT_TIMEOUT_SECONDS
        return silent_seconds >= FIRST_EVENT_TIMEOUT_SECONDS

    def _should_move(self, attempt: Attempt) -> bool:
        if not attempt.upstream.is_switching(self._call.context.clock.seconds()):
            return False
        relay = self._call.relay
        forwarded_events = 0 if relay is None else relay.last_event
        recall_seconds = self._seconds_to_begin(attempt)
        return should_move(forwarded_events, _likely_events(self._call), recall_seconds)

    def _seconds_until_recall(self, attempt: Attempt) -> float:
        """Returns the time until an attempt that has not begun by then is recalled."""
        return math.inf if attempt.received_events else self._seconds_to_begin(attempt)

    def _seconds_to_begin(self, attempt: Attempt) -> float:
        """Returns for how long a call may wait at an engine with the weights of an attempt."""
        call = self._call
        return make_selection(call).seconds_until_recall(call.context, attempt.weight_version)

    def _take_alternative(self, *, moving: bool = False) -> Choice | None:
        """Returns an engine that can take over, and takes the repeat from the budget.

        ``moving`` also takes the move from this entry's share of moves.
        """
        call = self._call
        choice = find_alternative(call) if call.sends.may_run_further else None
        if choice is None or (moving and not call.context.take_move(call.sends.service)):
            return None
        return choice if call.sends.take_further_upstream() else None


def _likely_events(call: WatchedCall) -> float:
    """Returns the likely number of events of the whole answer."""
    return likely_events(call.context, call.sends.service, call.call.likely_answer_tokens)
