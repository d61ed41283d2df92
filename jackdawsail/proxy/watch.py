"""Watches the engine of a stream and moves the stream to another one when necessary.

A stream leaves an engine that has completed no event for too long, or that is about to load
other weights while much of the stream is left, but only if another engine can take over.
A stream that has not begun at an engine on overdue weights leaves it in any case, so
that it does not start there.
"""

from typing import Any, Protocol

from jackdawsail.proxy.attempt import Attempt
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.relaying import AnswerRelay
from jackdawsail.proxy.selection import Selection
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.routing.moving import should_move

# Three times the latency objective; a healthy engine has sent its first event by then.
FIRST_EVENT_TIMEOUT_SECONDS = 1.2
NEXT_EVENT_TIMEOUT_SECONDS = 0.8  # nearly three times the longest allowed pause
WATCH_INTERVAL_SECONDS = 0.2


class WatchedCall(Protocol):
    """The task of a stream, as the watch uses it."""

    context: ProxyContext
    sends: SendHistory
    relay: AnswerRelay | None

    def selection(self) -> Selection:
        """Returns the current inputs for the choice of an upstream."""

    def likely_events(self) -> float:
        """Returns the likely number of events of the whole answer."""

    def has_alternative(self) -> bool:
        """Returns whether another upstream could take the call now."""

    def abandon(self, attempt: Attempt, reason: str) -> None:
        """Cancels an attempt and dispatches the call again."""


class EngineWatch:
    """Checks the engine of one attempt at regular intervals."""

    def __init__(self, call: WatchedCall) -> None:
        self._call = call
        self._timer: Any = None

    def start(self, attempt: Attempt) -> None:
        """Watches an attempt until it ends or is abandoned."""
        self.stop()
        self._timer = self._call.context.clock.callLater(
            WATCH_INTERVAL_SECONDS, self._check, attempt
        )

    def stop(self) -> None:
        """Stops watching."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _check(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        call = self._call
        begun = call.relay is not None and call.relay.started
        now_seconds = call.context.clock.seconds()
        # An attempt that is not read, since its caller reads too slowly, is not silent.
        silent_seconds = 0 if attempt.is_paused else now_seconds - attempt.last_progress_seconds
        if not begun and call.selection().must_leave_engine(call.context, attempt.weight_version):
            call.abandon(attempt, f'not begun on weights {attempt.weight_version}')
        elif self._should_move(attempt) and self._take_alternative(moving=True):
            call.abandon(attempt, f'engine changes over from weights {attempt.weight_version}')
        elif self._take_replacement(silent_seconds, begun=begun):
            attempt.upstream.call_failed(now_seconds)
            call.abandon(attempt, f'silent for {silent_seconds:.2f} s')
        else:
            self.start(attempt)

    def _take_replacement(self, silent_seconds: float, *, begun: bool) -> bool:
        timeout_seconds = NEXT_EVENT_TIMEOUT_SECONDS if begun else FIRST_EVENT_TIMEOUT_SECONDS
        return silent_seconds >= timeout_seconds and self._take_alternative()

    def _should_move(self, attempt: Attempt) -> bool:
        if not attempt.upstream.is_switching(self._call.context.clock.seconds()):
            return False
        relay = self._call.relay
        forwarded_events = 0 if relay is None else relay.last_event
        return should_move(forwarded_events, self._call.likely_events())

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
