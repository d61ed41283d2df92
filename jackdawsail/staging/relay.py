"""Keeps the newest weights on an entry and hands them to the agents near by.

A piece is drawn once, however many ask for it at the same time. The relay that is
first in its region draws all of a version ahead of the agents, when the version
is named and, at the first start of a site, what the origin holds: engines that
are added later then do not depend on the origin. Any relay that is asked for a
piece draws the rest of that version ahead as well, since a piece that is drawn
only once an agent asks for it crosses each link on the way one after the other.
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
from jackdawsail.site.loops import start_loop
from jackdawsail.site.process import NodeProcess, listen_http
from jackdawsail.site.view import SiteView
from jackdawsail.staging.drawing import Drawing
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.sources import (
    RELAY_PORT_OFFSET,
    OriginCodec,
    rank_relays,
    sources_for,
)

DRAWS_AT_ONCE = 3  # keep the origin's link busy; what is under way is lost when it goes away
ASKED_SECONDS = 0.6  # agents that still want a version ask for its next piece well within it
AHEAD_SECONDS = 60.0  # after a version was named; later it is drawn when an agent asks for it
RETRY_SECONDS = 0.15  # between looks at whether the sources are back; one draw a look
VERSIONS_KEPT = 2  # the one in force and the one that is coming
SOURCE_CONNECT_SECONDS = 0.6  # twice that of calls: a draw waits for a squeezed link
NEWEST = 0  # the version that the origin holds, whatever its number
Key = tuple[str, int]

RELAY_FILLED = events.define(561, 'info', 'relay holds all pieces of a version')
RELAY_INCOMPLETE = events.define(562, 'warning', 'relay could not draw all pieces of a version')


@dataclass(slots=True)
class HeldVersion:
    """The list and pieces of one version, and the draws that are under way."""

    pieces: PieceList | None = None
    bodies: dict[int, bytes] = field(default_factory=dict)
    waiting: dict[int, list[Deferred[Any]]] = field(default_factory=dict)
    incomplete: bool = False


class PieceRelay:
    """Owns the pieces on one entry."""

    def __init__(self, process: NodeProcess, view: SiteView, drawing: Drawing) -> None:
        self._process = process
        self._view = view
        self._drawing = drawing
        self._held: dict[Key, HeldVersion] = {}
        self._filled: set[Key] = set()
        self._asked_seconds: dict[Key, float] = {}
        self._looking: Any = None

    def start(self) -> None:
        """Listens for agents and other relays, and begins to draw ahead."""
        settings = self._process.settings
        address = f'{settings.address}:{settings.link_port + RELAY_PORT_OFFSET}'
        options = ServerOptions(self._handle, self._process.reactor)
        listen_http(self._process, address, ServerFactory(options))
        self._looking = start_loop(self._process.reactor, self.site_changed, RETRY_SECONDS)

    def stop(self) -> None:
        """Draws nothing more; what is held is handed on until the process ends."""
        self._looking.stop()

    def site_changed(self) -> None:
        """Draws ahead what is due if this relay is the first of its region.

        Called at each change and now and then, so that a draw that has failed is
        begun again.
        """
        for model, version in self._due():
            if self._is_first(model):
                self._begin_fill(model, version)
        for model, version in list(self._asked_seconds):
            if self._is_wanted(model, version):
                self._begin_fill(model, version)

    def _due(self) -> list[Key]:
        """Lists what the first relay of a region draws before any agent asks for it."""
        named = self._view.weights
        now_seconds = self._process.reactor.seconds()
        due = [
            (model, targets[-1].version)
            for model, targets in named.items()
            if now_seconds - targets[-1].named_seconds < AHEAD_SECONDS
        ]
        if self._process.settings.may_bootstrap:
            due.extend((model, NEWEST) for model in self._view.models() if model not in named)
        return due

    def _is_wanted(self, model: str, version: int) -> bool:
        """Tells whether a version is the newest, or an agent still asks for it."""
        newest = self._view.newest_weights(model)
        if newest is None or version >= newest.version:
            return True
        asked_seconds = self._asked_seconds.get((model, version))
        now_seconds = self._process.reactor.seconds()
        return asked_seconds is not None and now_seconds - asked_seconds < ASKED_SECONDS

    def _begin_fill(self, model: str, version: int) -> None:
        if (model, version) not in self._filled:
            self._filled.add((model, version))
            self._run(self._fill(model, version))

    def _is_first(self, model: str) -> bool:
        settings = self._process.settings
        ranked = rank_relays(self._view.entries(), settings.region, model)
        return bool(ranked) and ranked[0].address == settings.address

    async def _fill(self, model: str, version: int) -> None:
        pieces = await self._list(model, version)
        if pieces is None:
            self._filled.discard((model, version))
            return
        held = self._version(pieces.model, pieces.version)
        left = deque(index for index in range(len(pieces.digests)) if index not in held.bodies)
        # One draw tells whether the sources are there.
        if left and await self._piece(pieces, left.popleft()) is not None:
            workers = [
                self._as_deferred(self._fill_some(pieces, left)) for _ in range(DRAWS_AT_ONCE)
            ]
            await gatherResults(workers)
        self._note_filled(model, version, pieces)

    def _note_filled(self, model: str, version: int, pieces: PieceList) -> None:
        held = self._version(pieces.model, pieces.version)
        details = {'model': model, 'version': pieces.version, 'pieces': len(held.bodies)}
        if len(held.bodies) == len(pieces.digests):
            self._asked_seconds.pop((model, version), None)
            events.log(RELAY_FILLED, **details)
            return
        self._filled.discard((model, version))
        if not held.incomplete:
            held.incomplete = True
            events.log(RELAY_INCOMPLETE, **details)

    async def _fill_some(self, pieces: PieceList, left: deque[int]) -> None:
        while left:
            wanted = self._is_wanted(pieces.model, pieces.version)
            if not wanted or await self._piece(pieces, left.popleft()) is None:
                # The sources are away; the rest is drawn at the next look if it is wanted.
                left.clear()

    async def _list(self, model: str, version: int) -> PieceList | None:
        held = self._version(model, version)
        if held.pieces is None:
            outcome = await self._drawing.draw_list(model, version)
            if isinstance(outcome, Failure):
                return None
            held.pieces = outcome.unwrap()
            # The newest one of the origin is also held under its number.
            self._held[model, held.pieces.version] = held
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
            self._filled.intersection_update(self._held)
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
        if pieces is not None:
            self._ask(model, pieces.version)
        body: bytes | None = None
        if pieces is not None and wanted == 'list':
            body = _encode_list(pieces)
        elif pieces is not None and wanted.isdigit() and int(wanted) < len(pieces.digests):
            body = await self._piece(pieces, int(wanted))
        if not exchange.ended:
            exchange.answer(HttpAnswer(404) if body is None else HttpAnswer(200, body))

    def _ask(self, model: str, version: int) -> None:
        """Draws the rest of a version that an agent has begun to draw."""
        held = self._version(model, version)
        if held.pieces is not None and len(held.bodies) < len(held.pieces.digests):
            self._asked_seconds[model, version] = self._process.reactor.seconds()
            self._begin_fill(model, version)

    def _run(self, work: Any) -> None:
        self._as_deferred(work).addErrback(events.log_failure)

    def _as_deferred(self, work: Any) -> Deferred[Any]:
        return Deferred.fromCoroutine(work)


def _encode_list(pieces: PieceList) -> bytes:
    content = {'model': pieces.model, 'version': pieces.version, 'digests': list(pieces.digests)}
    return json.dumps(content).encode()


def make_piece_relay(process: NodeProcess, view: SiteView, border: OriginCodec) -> PieceRelay:
    """Builds the relay of an entry."""
    reactor = process.reactor
    pool = ChannelPool(reactor, reactor, process.settings.address, SOURCE_CONNECT_SECONDS)
    drawing = Drawing(pool, border, lambda model: sources_for(process.settings, view, model))
    return PieceRelay(process, view, drawing)
