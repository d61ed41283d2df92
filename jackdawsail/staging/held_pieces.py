"""The pieces of a weight version that a relay holds, and the fetches that requests share."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Result, Success
from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.staging.engine import PieceList

LIST = (-1, '')  # in place of the index and the digest of a piece
LIST_REVIEW = (-2, '')
ItemKey = tuple[int, str]


@dataclass(slots=True)
class HeldVersion:
    """The list and the pieces of one version, and the waiters of fetches in progress.

    ``bodies`` is keyed by the index of a piece, ``waiters`` by index and digest or by ``LIST``
    and ``LIST_REVIEW``: fetches of lists that differ must not wait for each other, as the
    relays rank differently for them. ``is_filled``
    is set once all pieces that the relay prefetches, ``relayed``, are held.
    """

    pieces: PieceList | None = None
    bodies: dict[int, bytes] = field(default_factory=dict)
    waiters: dict[ItemKey, list[Deferred[Any]]] = field(default_factory=dict)
    is_filled: bool = False
    is_incomplete_logged: bool = False
    relayed: list[int] = field(default_factory=list)

    def missing_relayed(self) -> int:
        """Returns how many of the pieces that the relay prefetches it lacks."""
        return sum(index not in self.bodies for index in self.relayed)

    @property
    def size_bytes(self) -> int:
        """Returns the size of the pieces."""
        return sum(len(body) for body in self.bodies.values())

    def replace_list(self, pieces: PieceList) -> None:
        """Replaces the list; keeps the pieces whose digests are the same in both."""
        if self.pieces is not None:
            unchanged = self.pieces.unchanged_in(pieces)
            self.bodies = {
                index: body for index, body in self.bodies.items() if index in unchanged
            }
        self.pieces = pieces
        self.is_filled = False

    def hold(self, index: int, body: bytes, pieces: PieceList) -> None:
        """Keeps a piece that was verified with ``pieces``, if the list still has its digest."""
        held = self.pieces or pieces
        if held.digests[index : index + 1] == pieces.digests[index : index + 1]:
            self.bodies[index] = body

    def release_waiters(self) -> None:
        """Answers with None to all who wait for a fetch; the fetches go on."""
        for item, joined in list(self.waiters.items()):
            self.waiters[item] = []
            for waiter in joined:
                waiter.callback(None)

    async def share(self, item: ItemKey, fetch: Callable[[], Awaitable[Result[Any, str]]]) -> Any:
        """Returns what a fetch gives, or None if it fails; joins one that is in progress."""
        joined: Deferred[Any] = Deferred()
        if item in self.waiters:
            self.waiters[item].append(joined)
        else:
            self.waiters[item] = [joined]
            Deferred.fromCoroutine(self._fetch_shared(item, fetch)).addErrback(events.log_failure)
        return await joined

    async def _fetch_shared(
        self, item: ItemKey, fetch: Callable[[], Awaitable[Result[Any, str]]]
    ) -> None:
        found = None
        try:
            outcome = await fetch()
            found = outcome.unwrap() if isinstance(outcome, Success) else None
        finally:
            for waiter in self.waiters.pop(item):
                waiter.callback(found)


def release_waiters(held: Iterable[HeldVersion]) -> None:
    """Answers all requests that joined a fetch of these versions, as it may hang for a while."""
    for version in list(held):
        version.release_waiters()
