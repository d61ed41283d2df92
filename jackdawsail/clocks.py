"""Typed protocols for the part of Twisted's reactor that keeps time, and a timeout on it.

Programs pass the reactor; tests pass ``twisted.internet.task.Clock``.
"""

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call, so that it never runs."""

    def reset(self, secondsFromNow: float) -> None:  # noqa: N803 - Twisted's name
        """Schedules the call anew, in ``secondsFromNow`` seconds."""

    def active(self) -> bool:
        """Returns whether the call is pending: neither run nor cancelled."""


class Clock(Protocol):
    """A monotonic clock in seconds that can schedule calls."""

    def seconds(self) -> float:
        """Returns the current time; its origin is undefined, so only differences are valid."""

    def callLater(  # noqa: N802 - Twisted's name
        self,
        delay: float,
        callable: Callable[..., Any],  # noqa: A002
        *args: object,
        **kw: object,
    ) -> DelayedCall:
        """Schedules a call of the function in ``delay`` seconds."""


class Timeout:
    """A timer with one callback; each start replaces the last."""

    def __init__(self, clock: Clock, on_expired: Callable[[], None]) -> None:
        self._clock = clock
        self._on_expired = on_expired
        self._timer: DelayedCall | None = None

    @property
    def is_running(self) -> bool:
        """Returns whether the timer was started and has neither expired nor been stopped."""
        return self._timer is not None and self._timer.active()

    def start(self, seconds: float) -> None:
        """Starts the timer; zero seconds mean no timeout."""
        if seconds <= 0:
            self.stop()
        elif self._timer is not None and self._timer.active():
            self._timer.reset(seconds)
        else:
            self._timer = self._clock.callLater(seconds, self._on_expired)

    def stop(self) -> None:
        """Stops the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
