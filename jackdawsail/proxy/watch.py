"""Watches the engine of a stream, and lets another take over where it must.

An engine that has sent nothing for long is left only if another can take the
stream over, and so is one that is about to load other weights while the stream has
long to go. One that has not begun on weights whose time is over is left in any case,
so that the stream does not begin there.
"""

from typing import Any, Protocol

from jackdawsail.proxy.attempt import Attempt
from jackdawsail.proxy.parts import ProxyParts
from jackdawsail.proxy.relaying import AnswerRelay
from jackdawsail.proxy.selection import Selection
from jackdawsail.proxy.sends import Sends
from jackdawsail.routing.moving import should_move

SILENT_FIRST_SECONDS = 1.2  # three objectives; a healthy engine has sent its first event by then
SILENT_NEXT_SECONDS = 0.8  # nearly three of the longest allowed pauses
WATCH_SECONDS = 0.2


class WatchedCall(Protocol):
    """The task of a stream."""

    parts: ProxyParts
    sends: Sends
    relay: AnswerRelay | None

    def selection(self) -> Selection:
        """Returns what the choice of an upstream needs to know of the call now."""

    def likely_events(self) -> float:
        """Returns how many events the whole answer will likely have."""

    def has_another(self) -> bool:
        """Tells whether another upstream could take the call now."""

    def leave(self, attempt: Attempt, reason: str) -> None:
        """Gives an attempt up and places the call again."""


class EngineWatch:
    """Looks at one attempt at a time."""

    def __init__(self, call: WatchedCall) -> None:
        self._call = call
        self._timer: Any = None

    def begin(self, attempt: Attempt) -> None:
        """Watches an attempt until it ends or is left."""
        self.stop()
        self._timer = self._call.parts.clock.callLater(WATCH_SECONDS, self._look, attempt)

    def stop(self) -> None:
        """Ends the watch."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _look(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        call = self._call
        begun = call.relay is not None and call.relay.started
        silent_seconds = call.parts.clock.seconds() - attempt.heard_seconds
        if not begun and call.selection().must_leave(call.parts, attempt.weight_version):
            call.leave(attempt, f'not begun on weights {attempt.weight_version}')
        elif self._should_move(attempt) and self._may_go_elsewhere(moving=True):
            call.leave(attempt, f'engine changes over from weights {attempt.weight_version}')
        elif self._may_replace(silent_seconds, begun=begun):
            attempt.upstream.broken(call.parts.clock.seconds())
            call.leave(attempt, f'silent for {silent_seconds:.2f} s')
        else:
            self.begin(attempt)

    def _may_replace(self, silent_seconds: float, *, begun: bool) -> bool:
        longest_seconds = SILENT_NEXT_SECONDS if begun else SILENT_FIRST_SECONDS
        return silent_seconds >= longest_seconds and self._may_go_elsewhere()

    def _should_move(self, attempt: Attempt) -> bool:
        if not attempt.upstream.is_switching(self._call.parts.clock.seconds()):
            return False
        relay = self._call.relay
        forwarded_events = 0 if relay is None else relay.last_event
        return should_move(forwarded_events, self._call.likely_events())

    def _may_go_elsewhere(self, *, moving: bool = False) -> bool:
        """Tells whether another engine can take the stream over, and takes it from the budget."""
        call = self._call
        if not call.has_another():
            return False
        if moving and not call.parts.may_move(call.sends.service):
            return False
        return call.sends.may_run_again()
