"""The entry program of a site that is run by a site document."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success
from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.group import calls
from jackdawsail.group.calls import CallBorder
from jackdawsail.http1.dial import ChannelPool
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import Exchange, ServerFactory, ServerOptions
from jackdawsail.proxy.parts import ProxyParts, TrafficBorder
from jackdawsail.proxy.task import CallTask
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.site.client import DecodeDocument, SiteClient
from jackdawsail.site.document import CallerLimits
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess, listen_http
from jackdawsail.site.routes import RouteTable, pick_service
from jackdawsail.site.view import SiteView
from jackdawsail.staging.relay import PieceRelay, make_piece_relay
from jackdawsail.staging.sources import OriginBorder
from jackdawsail.wire.codec import decode
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import EngineLoad, EntryStatus

TEND_SECONDS = 0.5  # idle channels are closed well within the time that upstreams keep them
LEAVE_SECONDS = 4.5  # callers hold an address for two to six seconds; most have left by then
IDLE_CLOSE_SECONDS = 1.0  # after the stop, how long a kept connection may still bring a call
STOP_RESERVE_SECONDS = 0.4  # of the time to stop, left for the process to end

CALL_DENIED = events.define(426, 'warning', 'call denied: no route or no such key')
STOP_STEP = events.define(427, 'info', 'entry stops: state of its connections')


@dataclass(frozen=True, slots=True)
class EntryBorders:
    """Everything that an entry reads and writes in the site's own formats."""

    traffic: TrafficBorder
    calls: CallBorder
    decode_document: DecodeDocument
    origin: OriginBorder


@dataclass(slots=True)
class EntryProgram:
    """Owns the listening ports, the links to control and all running calls."""

    process: NodeProcess
    borders: EntryBorders
    client: SiteClient
    parts: ProxyParts
    relay: PieceRelay
    callers: ServerFactory
    stopping: bool = False
    _ports: list[Any] = field(default_factory=list)
    _loops: list[Any] = field(default_factory=list)
    _stopped: Deferred[None] = field(default_factory=Deferred)
    _stop_seconds: float = 0

    def start(self) -> None:
        """Listens and dials the control hosts."""
        view = self.parts.view
        self.client.greet = self._tell_status
        view.on_change.append(self._site_changed)
        view.on_registrations.append(self._registrations_changed)
        self.client.start()
        listening = self.process.settings.listening
        self._ports = [
            listen_http(self.process, listening.callers, self.callers),
            listen_http(self.process, listening.readiness, self._readiness_factory()),
        ]
        settings = self.process.settings
        listener = _LoadListener(self._take_load)
        self.process.reactor.listenUDP(settings.link_port, listener, settings.address)
        self.relay.start()
        self._loop(self._tend, TEND_SECONDS)

    def stop(self) -> Deferred[None]:
        """Leaves the directory, lets callers go elsewhere and ends what runs."""
        self.stopping = True
        self.callers.options.closing = True
        self._stop_seconds = self.process.reactor.seconds()
        self._tell_all()
        self._loop(self._stop_step, TEND_SECONDS / 5)
        return self._stopped

    def reload(self, settings: NodeSettings) -> None:
        """Takes new seeds and bounds."""
        self.parts.settings = settings
        self.client.dial_known()

    @property
    def accepts(self) -> bool:
        """Tells whether callers should come here."""
        return self.parts.view.table is not None and not self.stopping

    def handle(self, exchange: Exchange) -> None:
        """Finds the route and customer of a whole request and serves it."""
        table = self.parts.view.table
        if table is None:
            headers = self.parts.border.retry_after(1.0)
            exchange.answer(HttpAnswer(503, b'no configuration yet', headers))
            return
        call = self.parts.border.decode_call(exchange.request)
        path = exchange.request.target.decode('latin-1')
        route = table.find(call.host, path)
        if route is None:
            self._deny(exchange, 404, call.attempt, f'no route for {call.host}{path}')
            return
        customer = table.customer_of(call.key) if call.key else None
        if customer is None and table.needs_key and not route.is_public:
            self._deny(exchange, 401, call.attempt, f'no customer has the key, route {route.name}')
            return
        service = pick_service(route.shares, self.parts.rng)
        CallTask(self.parts, exchange, call, route, service, customer).start()

    def _deny(self, exchange: Exchange, status: int, attempt: str, reason: str) -> None:
        version = self.parts.view.document_version
        events.log(CALL_DENIED, request=attempt, status=status, reason=reason, document=version)
        exchange.answer(HttpAnswer(status, reason.encode('latin-1', 'replace')))

    def _readiness_factory(self) -> ServerFactory:
        def handle(exchange: Exchange) -> None:
            call = self.borders.calls.decode(exchange.request)
            answer: calls.Answer = calls.NotFound()
            if isinstance(call, calls.AskReadiness):
                answer = calls.Done() if self.accepts else calls.Unavailable('not ready')
            exchange.answer(self.borders.calls.encode(answer, exchange.request.target))

        return ServerFactory(ServerOptions(handle, self.process.reactor, CallerLimits()))

    def _site_changed(self) -> None:
        table: RouteTable | None = self.parts.view.table
        if table is not None:
            self.callers.options.limits = table.document.limits
        self._tell_all()
        self.relay.site_changed()

    def _registrations_changed(self) -> None:
        self.parts.upstreams.refresh(self.parts.view.book)

    def _tell_all(self) -> None:
        for link in self.client.links():
            self._tell_status(link)

    def _tell_status(self, link: Link) -> None:
        address = self.process.settings.listening.callers
        link.send(EntryStatus(address, self.accepts))

    def _take_load(self, load: EngineLoad) -> None:
        self.parts.upstreams.take_load(load, self.process.reactor.seconds())

    def _tend(self) -> None:
        self.parts.pool.close_stale()
        self.parts.view.book.forget_old(self.process.reactor.seconds())

    def _stop_step(self) -> None:
        """Closes what is idle, and ends once nothing runs or the time is nearly over."""
        since_seconds = self.process.reactor.seconds() - self._stop_seconds
        limit_seconds = self.process.settings.bounds.stop_seconds - STOP_RESERVE_SECONDS
        if since_seconds >= IDLE_CLOSE_SECONDS:
            for connection in self.callers.idle():
                connection.close()
        quiet = self.parts.running == 0 and self.callers.open_count == 0
        left = since_seconds >= LEAVE_SECONDS
        if (quiet and left) or since_seconds >= limit_seconds:
            events.log(STOP_STEP, running=self.parts.running, open=self.callers.open_count)
            self._end()

    def _end(self) -> None:
        for loop in self._loops:
            loop.stop()
        self._loops = []
        self.client.stop()
        if not self._stopped.called:
            self._stopped.callback(None)

    def _loop(self, action: Callable[[], None], seconds: float) -> None:
        loop: Any = LoopingCall(action)
        loop.clock = self.process.reactor
        loop.start(seconds, now=False).addErrback(events.log_failure)
        self._loops.append(loop)


class _LoadListener(protocol.DatagramProtocol):
    """Receives the agents' reports; a datagram that cannot be read is dropped."""

    noisy = False

    def __init__(self, take: Callable[[EngineLoad], None]) -> None:
        self._take = take

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Takes one report."""
        outcome = decode(datagram)
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), EngineLoad):
            self._take(outcome.unwrap())


def make_entry_program(process: NodeProcess, borders: EntryBorders) -> EntryProgram:
    """Builds the entry program of a host."""
    reactor = process.reactor
    settings = process.settings
    view = SiteView()
    pool = ChannelPool(reactor, reactor, settings.address)
    parts = ProxyParts(
        clock=reactor,
        settings=settings,
        border=borders.traffic,
        view=view,
        upstreams=UpstreamTable(settings.heartbeat_seconds, dict(settings.region_by_zone)),
        pool=pool,
        rng=random.Random(process.incarnation),
    )
    client = SiteClient(process, view, borders.decode_document)
    relay = make_piece_relay(process, view, borders.origin)
    program: Any = None

    def handle(exchange: Exchange) -> None:
        program.handle(exchange)

    callers = ServerFactory(ServerOptions(handle, reactor, CallerLimits()))
    program = EntryProgram(process, borders, client, parts, relay, callers)
    return program
