"""Keeps the newest weights on an entry and serves them to the agents near by.

Concurrent requests for a piece share one fetch. A relay prefetches the pieces for which
it ranks first in its region when a version is announced and, at the bootstrap of a site,
those of whatever the origin holds, so that engines added later do not depend on the
origin. It also prefetches the rest of them once a piece of the version is requested,
since a piece fetched only on request crosses the links on its way one after the other.
"""

import math
from collections import deque
from typing import Any
from urllib.parse import unquote

from twisted.internet.defer import Deferred, gatherResults

from jackdawsail import events
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.loops import start_loop
from jackdawsail.site.process import NodeProcess, listen_http, make_server
from jackdawsail.site.view import SiteView
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.fill_plan import NEWEST, FillPlan, VersionKey
from jackdawsail.staging.held_pieces import LIST, LIST_REVIEW, HeldVersion, release_waiters
from jackdawsail.staging.list_doubts import PieceEvidence
from jackdawsail.staging.piece_fetcher import PieceFetcher, make_piece_fetcher
from jackdawsail.staging.piece_order import relayed_pieces
from jackdawsail.staging.relay_answers import (
    CONFLICT,
    NOT_FOUND,
    Reply,
    decode_evidence,
    encode_list,
    make_answer,
    time_limit,
)
from jackdawsail.staging.sources import (
    RELAY_PORT_OFFSET,
    OriginCodec,
    relays_of,
    sources_for_relay,
)

# Fetches of a region's relays together that keep the origin's link busy; those in progress are
# lost if it fails.
CONCURRENT_FETCHES = 3
RETRY_SECONDS = 0.15  # between checks of whether the sources are reachable; one fetch a check
VERSIONS_KEPT = 3  # the one in force, the next one, and one that is announced meanwhile
SOURCE_CONNECT_SECONDS = 0.6  # twice that of calls: a fetch waits for a congested link

RELAY_FILLED = events.define(561, 'info', 'relay holds its pieces of a weight version')
RELAY_INCOMPLETE = events.define(
    562, 'warning', 'relay could not fetch its pieces of a weight version'
)


class PieceRelay:
    """Fetches, keeps and serves the pieces on one entry."""

    def __init__(self, process: NodeProcess, view: SiteView, fetcher: PieceFetcher) -> None:
        self._process = process
        self._view = view
        self._fetcher = fetcher
        self._held: dict[VersionKey, HeldVersion] = {}
        self._fill_started: set[VersionKey] = set()
        self._plan = FillPlan(process, view)
        self._last_request_seconds = self._plan.last_request_seconds
        self._check_loop: Any = None
        watch = getattr(fetcher, 'watch', None)
        if watch is not None:
            watch.on_silent.append(lambda: release_waiters(self._held.values()))
            watch.on_return.append(self.site_changed)

    def start(self) -> None:
        """Listens for agents and other relays, and starts to prefetch."""
        settings = self._process.settings
        address = f'{settings.address}:{settings.link_port + RELAY_PORT_OFFSET}'
        listen_http(self._process, address, make_server(self._process, self.handle_request))
        self._check_loop = start_loop(self._process.reactor, self.site_changed, RETRY_SECONDS)

    def stop(self) -> None:
        """Stops prefetching; held pieces are served until the process ends."""
        self._check_loop.stop()

    def site_changed(self) -> None:
        """Starts the fills that are due: prefetches, and versions that agents request.

        Called at each change of the site and every ``RETRY_SECONDS``, so that a
        failed fill is restarted.
        """
        own_address = self._process.settings.address
        own_region = self._process.settings.region
        for model, version in self._plan.prefetches():
            if (model, version) not in self._fill_started and own_address in {
                relay.address for relay in relays_of(self._view, own_region)
            }:
                for due in self._plan.due_fills(model, version, self._held, self._fill_started):
                    self._start_fill(model, due)
        for model, version in list(self._last_request_seconds):
            if self._plan.is_wanted(model, version):
                self._start_fill(model, version)

    def _start_fill(self, model: str, version: int) -> None:
        if (model, version) not in self._fill_started:
            self._fill_started.add((model, version))
            self._run(self._fill(model, version))

    async def _fill(self, model: str, version: int) -> None:
        pieces = await self._get_list(model, version)
        if pieces is None:
            self._fill_started.discard((model, version))
            return
        held = self._held_version(pieces.model, pieces.version)
        relayed = relayed_pieces(self._process.settings, self._view, pieces.digests)
        held.relayed = relayed
        self._plan.fill_started((pieces.model, pieces.version))
        pending = deque(index for index in relayed if index not in held.bodies)
        # A single fetch shows whether the sources are reachable.
        if pending and await self._get_piece(pieces, pending.popleft()) is not None:
            relays = relays_of(self._view, self._process.settings.region)
            fetches = math.ceil(CONCURRENT_FETCHES / max(1, len(relays)))
            workers = [
                Deferred.fromCoroutine(self._fill_pending(pieces, pending)) for _ in range(fetches)
            ]
            await gatherResults(workers)
        self._record_fill((model, version), pieces, relayed)

    def _record_fill(self, key: VersionKey, pieces: PieceList, relayed: list[int]) -> None:
        held = self._held_version(pieces.model, pieces.version)
        present = sum(index in held.bodies for index in relayed)
        details = {'model': pieces.model, 'version': pieces.version, 'pieces': present}
        if present == len(relayed):
            held.is_filled = True
            self._last_request_seconds.pop(key, None)
            events.log(RELAY_FILLED, **details)
            return
        self._fill_started.discard(key)
        if not held.is_incomplete_logged:
            held.is_incomplete_logged = True
            events.log(RELAY_INCOMPLETE, **details)

    async def _fill_pending(self, pieces: PieceList, pending: deque[int]) -> None:
        key = (pieces.model, pieces.version)
        while pending:
            is_wanted = self._plan.is_filled_further(*key, self._held)
            if not is_wanted or await self._get_piece(pieces, pending.popleft()) is None:
                # The sources are unreachable or the version is no longer wanted; the
                # next check starts the rest if it is wanted.
                pending.clear()
            else:
                self._plan.piece_arrived(key)

    async def _get_list(self, model: str, version: int) -> PieceList | None:
        held = self._held_version(model, version)
        if held.pieces is None:
            found = await held.share(LIST, lambda: self._fetcher.fetch_list(model, version))
            if found is None:
                return None
            held.pieces = found
            # The origin's newest version is also held under its number.
            self._held[model, held.pieces.version] = held
        return held.pieces

    async def _get_piece(self, pieces: PieceList, index: int) -> bytes | None:
        held = self._held_version(pieces.model, pieces.version)
        if index not in held.bodies:
            item = (index, pieces.digests[index])
            body = await held.share(item, lambda: self._fetcher.fetch_piece(pieces, index))
            if body is None:
                reviewed = await self._review_list(pieces)
                return None if reviewed == pieces else await self._get_piece(reviewed, index)
            held.hold(index, body, pieces)
        return held.bodies.get(index)

    async def _review_list(
        self, pieces: PieceList, told: PieceEvidence | None = None
    ) -> PieceList:
        """Replaces a list that is contradicted, and fetches again what that changes."""
        held = self._held_version(pieces.model, pieces.version)
        found = await held.share(LIST_REVIEW, lambda: self._fetcher.review_list(pieces, told))
        if found is not None and found != held.pieces:
            held.replace_list(found)
            self._fill_started -= {(pieces.model, pieces.version), (pieces.model, NEWEST)}
        return held.pieces or pieces

    def _held_version(self, model: str, version: int) -> HeldVersion:
        key = (model, version)
        if key not in self._held:
            self._held[key] = HeldVersion()
            newest = sorted(self._held, key=lambda held_key: held_key[1])[-VERSIONS_KEPT:]
            self._held = {
                held_key: held
                for held_key, held in self._held.items()
                if held_key in newest or held_key == key
            }
            self._fill_started.intersection_update(self._held)
        return self._held[key]

    def handle_request(self, exchange: Exchange) -> None:
        """Answers a request for a piece list or a piece."""
        path, _, query = exchange.request.target.decode('latin-1').partition('?')
        segments = path.strip('/').split('/')
        if len(segments) != 4 or segments[0] != 'weights' or not segments[2].isdigit():
            exchange.answer(HttpAnswer(404))
            return
        model, version = unquote(segments[1]), int(segments[2])
        evidence = decode_evidence(query)
        self._run(self._answer_request(exchange, (model, version), segments[3], evidence))

    async def _answer_request(
        self, exchange: Exchange, key: VersionKey, item: str, evidence: PieceEvidence | None
    ) -> None:
        reply = Reply(exchange)
        with time_limit(self._process.reactor, reply):
            reply.send(await self._find_answer(key, item, evidence))

    async def _find_answer(
        self, key: VersionKey, item: str, evidence: PieceEvidence | None
    ) -> HttpAnswer:
        pieces = await self._get_list(*key)
        if pieces is not None and evidence is not None and evidence.contradicts(pieces):
            pieces = await self._review_list(pieces, evidence)
        answer = HttpAnswer(NOT_FOUND)
        if pieces is not None:
            self._record_request(pieces.model, pieces.version)
            answer = await self._answer_item(pieces, item, evidence)
        return answer

    async def _answer_item(
        self, pieces: PieceList, item: str, evidence: PieceEvidence | None
    ) -> HttpAnswer:
        """Returns the list or a piece; ``evidence`` is what the sender of the request has."""
        differs = evidence is not None and evidence.contradicts(pieces)
        if item == 'list':
            return make_answer(None if differs else encode_list(pieces))
        if not item.isdigit() or int(item) >= len(pieces.digests):
            return HttpAnswer(NOT_FOUND)
        index = int(item)
        if differs:
            body = self._held_version(pieces.model, pieces.version).bodies.get(index)
            if body is None:
                # The sender may be a source of the piece for this relay, so it does not wait.
                self._run(self._get_piece(pieces, index))
        else:
            body = await self._get_piece(pieces, index)
        now_seconds = self._process.reactor.seconds()
        if body is None and self._fetcher.doubts.holds_back(pieces, index, now_seconds):
            return HttpAnswer(CONFLICT)
        return make_answer(body)

    def _record_request(self, model: str, version: int) -> None:
        """Records a request and fetches the rest of the pieces that this relay prefetches."""
        if not self._held_version(model, version).is_filled:
            self._last_request_seconds[model, version] = self._process.reactor.seconds()
            self._start_fill(model, version)

    def _run(self, work: Any) -> None:
        Deferred.fromCoroutine(work).addErrback(events.log_failure)


def held_bytes(relay: PieceRelay) -> int:
    """Returns the size of the pieces that a relay holds."""
    return sum(held.size_bytes for held in relay._held.values())


def make_piece_relay(process: NodeProcess, view: SiteView, codec: OriginCodec) -> PieceRelay:
    """Builds the piece relay of an entry."""
    reactor = process.reactor
    pool = ChannelPool(reactor, reactor, process.settings.address, SOURCE_CONNECT_SECONDS)
    fetcher = make_piece_fetcher(
        pool,
        codec,
        lambda key: sources_for_relay(process.settings, view, key),
        view.piece_count,
    )
    return PieceRelay(process, view, fetcher)
