"""The part of Twisted's reactor that the code depends on, as typed protocols.

Tests pass ``twisted.internet.task.Clock``; programs pass the reactor.
"""

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A call that waits for its time."""

    def cancel(self) -> None:
        """Gives the call up."""

    def active(self) -> bool:
        """Tells whether the call is still to come."""


class Clock(Protocol):
    """Monotonic time in seconds, and calls at a later time."""

    def seconds(self) -> float:
        """Returns the time now; only differences mean anything."""

    def callLater(  # noqa: N802 - Twisted's name
        self,
        delay: float,
        callable: Callable[..., Any],  # noqa: A002
        *args: object,
        **kw: object,
    ) -> DelayedCall:
        """Calls the function after ``delay`` seconds."""
