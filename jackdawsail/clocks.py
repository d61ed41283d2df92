"""Typed protocols for the part of Twisted's reactor that keeps time.

Programs pass the reactor; tests pass ``twisted.internet.task.Clock``.
"""

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call, so that it never runs."""

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
