"""Periodic actions of a program, timed by the program's clock."""

from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall

from jackdawsail import events


def start_loop(clock: Any, action: Callable[[], None], every_seconds: float) -> Any:
    """Calls an action at an interval; an error in it is logged and ends the loop."""
    loop: Any = LoopingCall(action)
    loop.clock = clock
    loop.start(every_seconds, now=False).addErrback(events.log_failure)
    return loop
