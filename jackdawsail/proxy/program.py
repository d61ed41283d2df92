"""The entry program of a site that is run by a site document."""

import random
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail.group import calls
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.server import Exchange, ServerFactory, ServerOptions
from jackdawsail.proxy.context import EntryCodecs, ProxyContext
from jackdawsail.proxy.datagrams import REFUSALS_INTERVAL_SECONDS, EntryDatagrams
from jackdawsail.proxy.gate import Gate
from jackdawsail.proxy.leaving import Leaving
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.site.client import SiteClient
from jackdawsail.site.loops import start_loop
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess, listen_http
from jackdawsail.site.view import SiteView
from jackdawsail.staging.relay import PieceRelay, make_piece_relay
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import EntryStatus

TEND_SECONDS = 0.5  # idle channels are closed well within the time that upstreams keep them


@dataclass(slots=True)
class EntryProgram:
    """Owns the listening ports, the links to control and the parts that calls share."""

    process: NodeProcess
    borders: EntryCodecs
    client: SiteClient
    parts: ProxyContext
    relay: PieceRelay
    leaving: Leaving
    datagrams: EntryDatagrams
    stopping: bool = False
    _loops: list[Any] = field(default_factory=list)

    def start(self) -> None:
        """Listens and dials the control hosts."""
        view = self.parts.view
        self.client.on_connected = self._tell_status
        view.on_change.append(self._site_changed)
        view.on_registrations.append(self._registrations_changed)
        self.client.start()
        settings = self.process.settings
        callers = settings.listening.callers
        self.leaving.port = listen_http(self.process, callers, self.leaving.callers)
        options = ServerOptions(self._answer_readiness, self.process.reactor)
        listen_http(self.process, settings.listening.readiness, ServerFactory(options))
        self.datagrams.listen(self.process.reactor)
        self.relay.start()
        self._loops = [
            start_loop(self.process.reactor, self._tend, TEND_SECONDS),
            start_loop(
                self.process.reactor, self.datagrams.tell_refused, REFUSALS_INTERVAL_SECONDS
            ),
        ]

    def stop(self) -> Deferred[None]:
        """Leaves the directory, lets callers go elsewhere and ends what runs."""
        self.stopping = True
        self._tell_all()
        return self.leaving.begin().addCallback(self._left)

    def reload(self, settings: NodeSettings) -> None:
        """Takes new seeds and bounds."""
        self.parts.settings = settings
        self.client.dial_known()

    @property
    def accepts(self) -> bool:
        """Tells whether callers should come here."""
        return self.parts.view.table is not None and not self.stopping

    def _answer_readiness(self, exchange: Exchange) -> None:
        call = self.borders.calls.decode(exchange.request)
        answer: calls.Answer = calls.NotFound()
        if isinstance(call, calls.CheckReadiness):
            answer = calls.Done() if self.accepts else calls.Unavailable('not ready')
        exchange.answer(self.borders.calls.encode(answer, exchange.request.target))

    def _site_changed(self) -> None:
        table = self.parts.view.table
        if table is not None:
            self.leaving.callers.options.limits = table.document.limits
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

    def _tend(self) -> None:
        self.parts.pool.close_expired()
        self.parts.view.book.forget_old(self.process.reactor.seconds())

    def _left(self, _outcome: None) -> None:
        for loop in self._loops:
            loop.stop()
        self.relay.stop()
        self.client.stop()


def make_entry_program(process: NodeProcess, borders: EntryCodecs) -> EntryProgram:
    """Builds the entry program of a host."""
    reactor = process.reactor
    settings = process.settings
    view = SiteView()
    parts = ProxyContext(
        clock=reactor,
        settings=settings,
        codec=borders.traffic,
        view=view,
        upstreams=UpstreamTable(settings.heartbeat_seconds, dict(settings.region_by_zone)),
        pool=ChannelPool(reactor, reactor, settings.address),
        rng=random.Random(process.incarnation),
    )
    client = SiteClient(process, view, borders.decode_document)
    relay = make_piece_relay(process, view, borders.origin)
    callers = ServerFactory(ServerOptions(Gate(parts).handle, reactor))
    leaving, datagrams = Leaving(parts, callers), EntryDatagrams(parts)
    return EntryProgram(process, borders, client, parts, relay, leaving, datagrams)
