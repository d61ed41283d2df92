"""The entry program of a site that is configured by a site document."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail.group import calls
from jackdawsail.http1.exchange import Exchange
from jackdawsail.loops import start_loop
from jackdawsail.proxy.admission import CallAdmission
from jackdawsail.proxy.codecs import EntryCodecs
from jackdawsail.proxy.context import ProxyContext, make_proxy_context
from jackdawsail.proxy.datagrams import SEND_INTERVAL_SECONDS, EntryDatagrams
from jackdawsail.proxy.draining import CallerDrain
from jackdawsail.proxy.trait_exchange import TraitExchange
from jackdawsail.site.announcements import announced_weights
from jackdawsail.site.client import SiteClient
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess, listen_http, make_server
from jackdawsail.staging.relay import PieceRelay, held_bytes, make_piece_relay
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import AgedRegistration, EntryStatus, Registrations

# Short, so that idle channels are closed well before the upstreams close them.
HOUSEKEEPING_SECONDS = 0.5


@dataclass(slots=True)
class EntryProgram:
    """Owns the listening ports, the links to the control hosts and the state that calls share."""

    process: NodeProcess
    codecs: EntryCodecs
    client: SiteClient
    context: ProxyContext
    relay: PieceRelay
    drain: CallerDrain
    datagrams: EntryDatagrams
    traits: TraitExchange
    stopping: bool = False
    _loops: list[Any] = field(default_factory=list)
    _settling: Any = None

    def start(self) -> None:
        """Opens the ports and connects to the control hosts."""
        view = self.context.view
        self.client.on_connected = self._link_opened
        self.traits.start(self.process.reactor)
        view.on_change.append(self._site_changed)
        view.on_registrations.append(self._registrations_changed)
        self.client.start()
        settings = self.process.settings
        callers = settings.listening.callers
        self.drain.port = listen_http(self.process, callers, self.drain.callers)
        readiness = make_server(self.process, self._answer_readiness)
        listen_http(self.process, settings.listening.readiness, readiness)
        self.datagrams.listen(self.process.reactor)
        self.relay.start()
        self._loops = [
            start_loop(self.process.reactor, self._clean_up, HOUSEKEEPING_SECONDS),
            start_loop(self.process.reactor, self.datagrams.send_pending, SEND_INTERVAL_SECONDS),
        ]

    def stop(self) -> Deferred[None]:
        """Leaves the directory and drains the callers; fires when everything has stopped."""
        self.stopping = True
        self._send_status_to_all()
        return self.drain.start().addCallback(self._on_drained)

    def reload(self, settings: NodeSettings) -> None:
        """Applies new seeds and limits."""
        self.context.settings = settings
        self.client.dial_known()

    @property
    def accepts(self) -> bool:
        """Returns whether callers should be sent to this entry.

        An entry that may not use its part of the limits on sums over all entries yet cannot
        serve them.
        """
        can_serve = self.context.view.table is not None and self.context.unsettled_seconds <= 0
        return can_serve and not self.stopping

    def _answer_readiness(self, exchange: Exchange) -> None:
        call = self.codecs.calls.decode(exchange.request)
        answer: calls.Answer = calls.NotFound()
        if isinstance(call, calls.CheckReadiness):
            answer = calls.Done() if self.accepts else calls.Unavailable('not ready')
        exchange.answer(self.codecs.calls.encode(answer, exchange.request.target))

    def _site_changed(self) -> None:
        table = self.context.view.table
        if table is not None:
            self.drain.callers.options.limits = table.document.limits
        self._send_status_to_all()
        self._send_status_once_settled()
        self.relay.site_changed()

    def _registrations_changed(self) -> None:
        self.context.upstreams.refresh(self.context.view.registrations)

    def _send_status_to_all(self) -> None:
        for link in self.client.links():
            self._send_status(link)

    def _send_status_once_settled(self) -> None:
        unsettled_seconds = self.context.unsettled_seconds
        is_settling = self.context.shares.is_listed and unsettled_seconds > 0
        if is_settling and self._settling is None and not self.stopping:
            self._settling = self.process.reactor.callLater(unsettled_seconds, self._on_settled)

    def _on_settled(self) -> None:
        self._settling = None
        self._send_status_to_all()
        self._send_status_once_settled()

    def _link_opened(self, link: Link) -> None:
        self._send_status(link)
        self.traits.send_snapshot(link)
        self._send_known(link)

    def _send_status(self, link: Link) -> None:
        address = self.process.settings.listening.callers
        link.send(EntryStatus(address, self.accepts))

    def _send_known(self, link: Link) -> None:
        """Sends what a control host may not learn otherwise if all of them have restarted.

        These are the upstreams that have left, whose late heartbeats would count, and the times
        of announcements that were not stored any more.
        """
        view, now_seconds = self.context.view, self.process.reactor.seconds()
        departures = [
            AgedRegistration(gone.registration, now_seconds - gone.received_seconds)
            for gone in view.registrations.gone()
        ]
        weights = announced_weights(view.weights, now_seconds)
        if departures or weights:
            link.send(Registrations(departures, weights))

    def _clean_up(self) -> None:
        self.context.pool.close_expired()
        self.context.channels.close_excess(self.context.upstreams.all())
        self.process.budget.set_pieces(held_bytes(self.relay))
        self.context.view.registrations.forget_old(self.process.reactor.seconds())

    def _on_drained(self, _outcome: None) -> None:
        for loop in self._loops:
            loop.stop()
        self.traits.stop()
        self.relay.stop()
        self.client.stop()


def make_entry_program(process: NodeProcess, codecs: EntryCodecs) -> EntryProgram:
    """Builds the entry program of a process."""
    context = make_proxy_context(process, codecs.traffic)
    client = SiteClient(process, context.view, codecs.decode_document)
    relay = make_piece_relay(process, context.view, codecs.origin)
    callers = make_server(process, CallAdmission(context).handle)
    drain, datagrams = CallerDrain(context, callers), EntryDatagrams(context)
    traits = TraitExchange(context.traits, client)
    return EntryProgram(process, codecs, client, context, relay, drain, datagrams, traits)
