"""The pieces of a weight version that a relay holds, and the fetches that requests share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.staging.engine import PieceList

LIST = -1  # in place of the index of a piece


@dataclass(slots=True)
class HeldVersion:
    """The list and the pieces of one version, and the waiters of fetches in progress.

    ``bodies`` is keyed by the index of a piece, ``waiters`` also by ``LIST``. ``is_filled``
    is set once all pieces that the relay prefetches are held.
    """

    pieces: PieceList | None = None
    bodies: dict[int, bytes] = field(default_factory=dict)
    waiters: dict[int, list[Deferred[Any]]] = field(default_factory=dict)
    is_filled: bool = False
    is_incomplete_logged: bool = False

    async def share(self, item: int, fetch: Callable[[], Awaitable[Result[Any, str]]]) -> Any:
        """Returns what a fetch gives, or None if it fails; joins one that is in progress."""
        if item in self.waiters:
            joined: Deferred[Any] = Deferred()
            self.waiters[item].append(joined)
            return await joined
        self.waiters[item] = []
        found = None
        try:
            outcome = await fetch()
            found = outcome.unwrap() if isinstance(outcome, Success) else None
        finally:
            for waiter in self.waiters.pop(item):
                waiter.callback(found)
        return found
