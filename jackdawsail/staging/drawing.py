"""Draws piece lists and pieces from the nearest source that has them, verified.

A piece whose SHA-256 is not the listed one is drawn again from the next source. The
origin's link is narrow: it is asked only by a process that no relay has answered, or
when the relays have had nothing for long.
"""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import quote

from returns.result import Failure, Result, Success

from jackdawsail import events
from jackdawsail.http1.dial import ChannelPool
from jackdawsail.http1.whole import fetch, make_request
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.sources import OriginCodec, Source

SILENT_SECONDS = 1.5  # a narrow link that three pieces share still moves within it
LIST_SILENT_SECONDS = 1.0
OK = 200
NOT_FOUND = 404
NOT_HELD = 'not held'  # what a relay answers whose own sources are away
BYPASS_SECONDS = 10.0  # several times what a relay needs after a source is back

DrawnT = TypeVar('DrawnT')
DrawFrom = Callable[[Source], Awaitable[Result[DrawnT, str]]]

DRAW_FAILED = events.define(560, 'warning', 'piece or piece list could not be drawn from a source')
SOURCE_REGAINED = events.define(572, 'info', 'source of weights answers again')


@dataclass(slots=True)
class _Without:
    """Since when relays answer that they have not got what was asked for."""

    since_seconds: float | None = None

    def lasts(self, now_seconds: float) -> float:
        """Returns how long this has lasted, and notes its begin."""
        if self.since_seconds is None:
            self.since_seconds = now_seconds
        return now_seconds - self.since_seconds


@dataclass(frozen=True, slots=True)
class Drawing:
    """Draws for one process; ``sources`` lists where from, the nearest first."""

    pool: ChannelPool
    border: OriginCodec
    sources: Callable[[str], list[Source]]
    _failing: set[str] = field(default_factory=set)
    _without: _Without = field(default_factory=_Without)

    async def draw_list(self, model: str, version: int) -> Result[PieceList, str]:
        """Draws the digests of a version (0: the newest)."""

        async def draw(source: Source) -> Result[PieceList, str]:
            return await self._list_from(source, model, version)

        return await self._from_any(model, f'list of {model} {version}', draw)

    async def draw_piece(self, pieces: PieceList, index: int) -> Result[bytes, str]:
        """Draws one piece and checks it."""

        async def draw(source: Source) -> Result[bytes, str]:
            target = self._piece_target(source, pieces, index)
            outcome = await self._get(source, target, SILENT_SECONDS)
            if isinstance(outcome, Success) and not is_sound(pieces, index, outcome.unwrap()):
                return Failure('digest differs')
            return outcome

        return await self._from_any(
            pieces.model, f'piece {index} of {pieces.model} {pieces.version}', draw
        )

    async def _from_any(
        self, model: str, what: str, draw: DrawFrom[DrawnT]
    ) -> Result[DrawnT, str]:
        """Asks one source after the other until one has what is wanted."""
        reason = 'no source is known'
        relays_answer = False
        for source in self.sources(model):
            if source.is_origin and relays_answer and not self._may_bypass():
                break
            outcome = await draw(source)
            if isinstance(outcome, Success):
                self._answers(source)
                self._without.since_seconds = None
                return outcome
            reason = outcome.failure()
            relays_answer = relays_answer or reason == NOT_HELD
            self._log(source, what, reason)
        return Failure(reason)

    def _may_bypass(self) -> bool:
        return self._without.lasts(self.pool.clock.seconds()) > BYPASS_SECONDS

    async def _list_from(self, source: Source, model: str, version: int) -> Result[PieceList, str]:
        if source.is_origin:
            target = self.border.list_target(model, version)
        else:
            target = relay_list_target(model, version)
        outcome = await self._get(source, target, LIST_SILENT_SECONDS)
        if isinstance(outcome, Failure):
            return outcome
        decoded = self.border.decode_list(outcome.unwrap())
        if isinstance(decoded, Success) and version not in {0, decoded.unwrap().version}:
            return Failure('list is of another version')
        return decoded

    async def _get(self, source: Source, target: bytes, silent_seconds: float) -> Any:
        request = make_request(b'GET', source.address, target)
        outcome = await fetch(self.pool, source.address, request, silent_seconds)
        if isinstance(outcome, Failure):
            return outcome
        answer = outcome.unwrap()
        if answer.status == NOT_FOUND:
            return Failure(NOT_HELD)
        if answer.status != OK:
            return Failure(f'status {answer.status}')
        return Success(answer.body)

    def _piece_target(self, source: Source, pieces: PieceList, index: int) -> bytes:
        if source.is_origin:
            return self.border.piece_target(pieces.model, pieces.version, index)
        return relay_piece_target(pieces.model, pieces.version, index)

    def _log(self, source: Source, what: str, reason: str) -> None:
        """Writes one line when a source begins to fail, however many draws fail after it.

        A relay that answers without a piece does not fail; it logs why it has none.
        """
        if source.address not in self._failing and reason != NOT_HELD:
            self._failing.add(source.address)
            events.log(DRAW_FAILED, source=source.address, what=what, reason=reason)

    def _answers(self, source: Source) -> None:
        if source.address in self._failing:
            self._failing.discard(source.address)
            events.log(SOURCE_REGAINED, source=source.address)


def is_sound(pieces: PieceList, index: int, body: bytes) -> bool:
    """Tells whether a piece has the listed digest."""
    return hashlib.sha256(body).hexdigest() == pieces.digests[index]


def relay_list_target(model: str, version: int) -> bytes:
    """Returns a relay's path of a piece list."""
    return f'/weights/{quote(model)}/{version}/list'.encode()


def relay_piece_target(model: str, version: int, index: int) -> bytes:
    """Returns a relay's path of a piece."""
    return f'/weights/{quote(model)}/{version}/{index}'.encode()
