"""Keeps the newest weights on an entry and hands them to the agents near by.

A piece is drawn once, however many ask for it at the same time. When a new
version is named, the relay that is first in its region draws all of it at once.
"""

import json
from collections import deque
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

from returns.result import Failure, Success
from twisted.internet.defer import Deferred, gatherResults

from jackdawsail import events
from jackdawsail.http1.dial import ChannelPool
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import Exchange, ServerFactory, ServerOptions
from jackdawsail.site.process import NodeProcess, listen_http
from jackdawsail.site.view import SiteView
from jackdawsail.staging.drawing import Drawing
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.sources import (
    RELAY_PORT_OFFSET,
    OriginBorder,
    rank_relays,
    sources_for,
)

DRAWS_AT_ONCE = 4  # keeps the link between regions busy over its round trip
VERSIONS_KEPT = 2  # the one in force and the one that is coming
SOURCE_CONNECT_SECONDS = 0.6  # twice that of calls: a draw waits for a squeezed link
Key = tuple[str, int]

RELAY_FILLED = events.define(561, 'info', 'relay holds all pieces of a version')
RELAY_INCOMPLETE = events.define(562, 'warning', 'relay could not draw all pieces of a version')


@dataclass(slots=True)
class HeldVersion:
    """The list and pieces of one version, and the draws that are under way."""

    pieces: PieceList | None = None
    bodies: dict[int, bytes] = field(default_factory=dict)
    waiting: dict[int, list[Deferred[Any]]] = field(default_factory=dict)


class PieceRelay:
    """Owns the pieces on one entry."""

    def __init__(self, process: NodeProcess, view: SiteView, drawing: Drawing) -> None:
        self._process = process
        self._view = view
        self._drawing = drawing
        self._held: dict[Key, HeldVersion] = {}
        self._filled: set[Key] = set()

    def start(self) -> None:
        """Listens for agents and other relays."""
        settings = self._process.settings
        address = f'{settings.address}:{settings.link_port + RELAY_PORT_OFFSET}'
        options = ServerOptions(self._handle, self._process.reactor)
        listen_http(self._process, address, ServerFactory(options))

    def site_changed(self) -> None:
        """Draws newly named weights if this relay is the first of its region.

        Called at each change and now and then, so that a draw that has failed is
        begun again.
        """
        for model, named in self._view.weights.items():
            newest = named[-1].version
            if (model, newest) not in self._filled and self._is_first(model):
                self._filled.add((model, newest))
                self._run(self._fill(model, newest))

    def _is_first(self, model: str) -> bool:
        settings = self._process.settings
        ranked = rank_relays(self._view.entries(), settings.region, model)
        return bool(ranked) and ranked[0].address == settings.address

    async def _fill(self, model: str, version: int) -> None:
        pieces = await self._list(model, version)
        if pieces is None:
            self._filled.discard((model, version))
            return
        left = deque(range(len(pieces.digests)))
        workers = [self._as_deferred(self._fill_some(pieces, left)) for _ in range(DRAWS_AT_ONCE)]
        await gatherResults(workers)
        held = len(self._version(pieces.model, pieces.version).bodies)
        whole = held == len(pieces.digests)
        event = RELAY_FILLED if whole else RELAY_INCOMPLETE
        events.log(event, model=model, version=version, pieces=held)
        if not whole:
            self._filled.discard((model, version))

    async def _fill_some(self, pieces: PieceList, left: deque[int]) -> None:
        while left:
            if await self._piece(pieces, left.popleft()) is None:
                # The sources are away; the rest is drawn at the next look.
                left.clear()

    async def _list(self, model: str, version: int) -> PieceList | None:
        held = self._version(model, version)
        if held.pieces is None:
            outcome = await self._drawing.draw_list(model, version)
            if isinstance(outcome, Failure):
                return None
            held.pieces = outcome.unwrap()
        return held.pieces

    async def _piece(self, pieces: PieceList, index: int) -> bytes | None:
        held = self._version(pieces.model, pieces.version)
        if index in held.bodies:
            return held.bodies[index]
        if index in held.waiting:
            shared: Deferred[Any] = Deferred()
            held.waiting[index].append(shared)
            return await shared
        held.waiting[index] = []
        outcome = await self._drawing.draw_piece(pieces, index)
        body = outcome.unwrap() if isinstance(outcome, Success) else None
        if body is not None:
            held.bodies[index] = body
        for waiter in held.waiting.pop(index):
            waiter.callback(body)
        return body

    def _version(self, model: str, version: int) -> HeldVersion:
        key = (model, version)
        if key not in self._held:
            self._held[key] = HeldVersion()
            kept = sorted(self._held, key=lambda one: one[1])[-VERSIONS_KEPT:]
            self._held = {
                one: held for one, held in self._held.items() if one in kept or one == key
            }
        return self._held[key]

    def _handle(self, exchange: Exchange) -> None:
        parts = exchange.request.target.decode('latin-1').strip('/').split('/')
        if len(parts) != 4 or parts[0] != 'weights' or not parts[2].isdigit():
            exchange.answer(HttpAnswer(404))
            return
        model, version = unquote(parts[1]), int(parts[2])
        self._run(self._serve(exchange, model, version, parts[3]))

    async def _serve(self, exchange: Exchange, model: str, version: int, wanted: str) -> None:
        pieces = await self._list(model, version)
        body: bytes | None = None
        if pieces is not None and wanted == 'list':
            body = _encode_list(pieces)
        elif pieces is not None and wanted.isdigit() and int(wanted) < len(pieces.digests):
            body = await self._piece(pieces, int(wanted))
        if not exchange.ended:
            exchange.answer(HttpAnswer(404) if body is None else HttpAnswer(200, body))

    def _run(self, work: Any) -> None:
        self._as_deferred(work).addErrback(events.log_failure)

    def _as_deferred(self, work: Any) -> Deferred[Any]:
        return Deferred.fromCoroutine(work)


def _encode_list(pieces: PieceList) -> bytes:
    content = {'model': pieces.model, 'version': pieces.version, 'digests': list(pieces.digests)}
    return json.dumps(content).encode()


def make_piece_relay(process: NodeProcess, view: SiteView, border: OriginBorder) -> PieceRelay:
    """Builds the relay of an entry."""
    reactor = process.reactor
    pool = ChannelPool(reactor, reactor, process.settings.address, SOURCE_CONNECT_SECONDS)
    drawing = Drawing(pool, border, lambda model: sources_for(process.settings, view, model))
    return PieceRelay(process, view, drawing)
