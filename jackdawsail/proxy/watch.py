"""Watches the engine of a stream and moves the stream to another one when necessary.

A stream leaves an engine that has completed no event for too long, or that is about to load
other weights while much of the stream is left, but only if another engine can take over.
A stream that has not begun at an engine whose weights are about to be overdue is recalled in
any case, so that it does not begin there; if it may not be repeated, it fails.
"""

from typing import Any, Protocol

from jackdawsail.proxy.attempt import Attempt, AttemptEnd
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.relaying import AnswerRelay, has_begun
from jackdawsail.proxy.selection import Selection
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.routing.moving import should_move
from jackdawsail.site.document import Route

# Three times the latency objective; a healthy engine has sent its first event by then.
FIRST_EVENT_TIMEOUT_SECONDS = 1.2
NEXT_EVENT_TIMEOUT_SECONDS = 0.8  # nearly three times the longest allowed pause
WATCH_INTERVAL_SECONDS = 0.2
MIN_CHECK_SECONDS = 0.001  # a shorter delay is lost in the rounding of the clock


class WatchedCall(Protocol):
    """The task of a stream, as the watch uses it."""

    context: ProxyContext
    route: Route
    sends: SendHistory
    relay: AnswerRelay | None

    def selection(self) -> Selection:
        """Returns the current inputs for the choice of an upstream."""

    def likely_events(self) -> float:
        """Returns the likely number of events of the whole answer."""

    def has_alternative(self) -> bool:
        """Returns whether another upstream could take the call now."""

    def attempt_failed(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Dispatches the call to another upstream if that is allowed, or fails it."""

    def abandon(self, attempt: Attempt, end: AttemptEnd, reason: str) -> None:
        """Cancels an attempt and dispatches the call again."""


class EngineWatch:
    """Checks the engine of one attempt at regular intervals."""

    def __init__(self, call: WatchedCall) -> None:
        self._call = call
        self._timer: Any = None

    def start(self, attempt: Attempt) -> None:
        """Watches an attempt until it ends or is abandoned."""
        self.stop()
        recall_seconds = self._seconds_until_recall(attempt)
        delay_seconds = WATCH_INTERVAL_SECONDS
        if 0 < recall_seconds < delay_seconds:
            delay_seconds = max(recall_seconds, MIN_CHECK_SECONDS)
        clock = self._call.context.clock
        self._timer = clock.callLater(delay_seconds, self._check, attempt)

    def stop(self) -> None:
        """Stops watching."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _check(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        if self._must_recall(attempt):
            attempt.cancel()
            reason = f'not begun on weights {attempt.weight_version}'
            self._call.attempt_failed(attempt, AttemptEnd.recalled, reason)
        elif not (self._call.route.may_repeat and self._leave(attempt)):
            self.start(attempt)

    def _leave(self, attempt: Attempt) -> bool:
        """Moves the call to another engine if it should leave this one; returns whether it did."""
        call = self._call
        begun = has_begun(call.relay)
        now_seconds = call.context.clock.seconds()
        # An attempt that is not read, since its caller reads too slowly, is not silent.
        silent_seconds = 0 if attempt.is_paused else now_seconds - attempt.last_progress_seconds
        if self._should_move(attempt) and self._take_alternative(moving=True):
            reason = f'engine changes over from weights {attempt.weight_version}'
            call.abandon(attempt, AttemptEnd.changing, reason)
        elif self._take_replacement(silent_seconds, begun=begun):
            attempt.upstream.call_failed(now_seconds)
            call.abandon(attempt, AttemptEnd.silent, f'silent for {silent_seconds:.2f} s')
        else:
            return False
        return True

    def _must_recall(self, attempt: Attempt) -> bool:
        """Returns whether the attempt has not begun, and may not begin at its engine any more."""
        return not attempt.received_events and self._seconds_until_recall(attempt) <= 0

    def _take_replacement(self, silent_seconds: float, *, begun: bool) -> bool:
        timeout_seconds = NEXT_EVENT_TIMEOUT_SECONDS if begun else FIRST_EVENT_TIMEOUT_SECONDS
        return silent_seconds >= timeout_seconds and self._take_alternative()

    def _should_move(self, attempt: Attempt) -> bool:
        if not attempt.upstream.is_switching(self._call.context.clock.seconds()):
            return False
        relay = self._call.relay
        forwarded_events = 0 if relay is None else relay.last_event
        recall_seconds = self._seconds_until_recall(attempt)
        return should_move(forwarded_events, self._call.likely_events(), recall_seconds)

    def _seconds_until_recall(self, attempt: Attempt) -> float:
        call = self._call
        return call.selection().seconds_until_recall(call.context, attempt.weight_version)

    def _take_alternative(self, *, moving: bool = False) -> bool:
        """Returns whether another engine can take over, and takes the repeat from the budget.

        ``moving`` also takes the move from this entry's share of moves.
        """
        call = self._call
        if not call.has_alternative():
            return False
        if moving and not call.context.take_move(call.sends.service):
            return False
        return call.sends.take_further_upstream()
