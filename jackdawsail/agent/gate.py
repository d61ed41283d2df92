"""The interface through which the release switcher stops and starts an agent's work."""

from typing import Protocol

from twisted.internet.defer import Deferred


class WorkGate(Protocol):
    """Controls whether work is dispatched to the upstream."""

    def close(self, reason: str) -> 'Deferred[None]':
        """Stops dispatching; fires when the running work has ended."""

    def open(self, release: str) -> None:
        """Starts dispatching for a release that the upstream confirmed, from the cold limit up."""
