"""Periodic actions of a program, timed by the program's clock."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall

from jackdawsail import events


def start_loop(clock: Any, action: Callable[[], None], every_seconds: float) -> Any:
    """Calls an action at an interval; an error in it is logged, and the next call is made."""

    def act() -> None:
        maybeDeferred(action).addErrback(events.log_failure)

    loop: Any = LoopingCall(act)
    loop.clock = clock
    loop.start(every_seconds, now=False).addErrback(events.log_failure)
    return loop
