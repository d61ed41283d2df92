"""What the release switcher asks of the work queue of an agent."""

from typing import Protocol

from twisted.internet.defer import Deferred


class WorkGate(Protocol):
    """Lets work through to the upstream, or holds it back."""

    def close(self, reason: str) -> 'Deferred[None]':
        """Hands nothing more over; fires when the running work has ended."""

    def open(self, release: str) -> None:
        """Serves under a release that the upstream has confirmed, from the cold limit up."""
