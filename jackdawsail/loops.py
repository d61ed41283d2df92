"""Periodic actions of a process, timed by its clock."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall

from jackdawsail import events


def make_loop(clock: Any, action: Callable[[], Any]) -> LoopingCall:
    """Returns a loop that calls an action once it is started.

    An error in the action is logged, and the next call is made. If the action returns a
    Deferred, the next call waits until it has fired.
    """

    def act() -> Any:
        return maybeDeferred(action).addErrback(events.log_failure)

    loop = LoopingCall(act)
    loop.clock = clock
    return loop


def start_loop(clock: Any, action: Callable[[], Any], every_seconds: float) -> LoopingCall:
    """Calls an action at an interval, the first time after one interval."""
    loop = make_loop(clock, action)
    loop.start(every_seconds, now=False)
    return loop
