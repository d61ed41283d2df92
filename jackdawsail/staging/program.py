"""The agent program of a site: reports and controls the engine on its host."""

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result
from twisted.internet import protocol
from twisted.internet.defer import Deferred, succeed

from jackdawsail import events
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.loops import start_loop
from jackdawsail.site.client import DecodeDocument, SiteClient
from jackdawsail.site.document import EngineClass
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess
from jackdawsail.site.view import SiteView
from jackdawsail.staging.changeover import Changeover, make_changeover
from jackdawsail.staging.engine import EngineReport
from jackdawsail.staging.engine_calls import EngineCalls, EngineCodec
from jackdawsail.staging.piece_fetcher import make_piece_fetcher
from jackdawsail.staging.sources import OriginCodec, sources_for
from jackdawsail.wire.codec import encode
from jackdawsail.wire.site_messages import EngineLoad

ENGINE_POLL_SECONDS = 0.03  # under half of an engine's pass; its state changes only between passes
REPEAT_SECONDS = 0.1  # between datagrams of an unchanged state, since a datagram may be lost
FAR_EVERY_REPEATS = 2  # entries of other regions get every second repeat only
SOURCE_CONNECT_SECONDS = 0.6
DOWN_SECONDS = 0.3  # from the first failure without an answer until an engine counts as down

ENGINE_LOST = events.define(563, 'warning', 'engine on this host does not answer')
ENGINE_RECOVERED = events.define(564, 'info', 'engine on this host answers again')


@dataclass(frozen=True, slots=True)
class AgentCodecs:
    """The codecs of the site's own formats that an agent needs."""

    decode_document: DecodeDocument
    engine: EngineCodec
    origin: OriginCodec


@dataclass(slots=True)
class AgentProgram:
    """Polls one engine, reports its state to the entries and runs its changeovers."""

    process: NodeProcess
    client: SiteClient
    calls: EngineCalls
    changeover: Changeover
    _socket: Any = None
    _sequence: int = 0
    _failing_since_seconds: float | None = None
    _down: bool = False
    _polling: bool = False
    _sent_state: tuple[Any, ...] = ()
    _sent_seconds: float = 0
    _repeats: int = 0
    _poll_loop: Any = None

    def start(self) -> None:
        """Connects to the control hosts and starts to poll the engine."""
        self.client.start()
        settings = self.process.settings
        self._socket = self.process.reactor.listenUDP(
            0, protocol.DatagramProtocol(), settings.address
        )
        self._poll_loop = start_loop(self.process.reactor, self._poll_engine, ENGINE_POLL_SECONDS)

    def stop(self) -> Deferred[None]:
        """Closes the links; the engine continues to serve."""
        self._poll_loop.stop()
        self.client.stop()
        return succeed(None)

    def reload(self, settings: NodeSettings) -> None:
        """Connects to new seeds of changed settings."""
        self.client.dial_known()

    def _poll_engine(self) -> None:
        if self._polling:
            return
        self._polling = True
        answer: Any = self.calls.read_report()
        answer.addCallback(self._on_report)
        answer.addErrback(events.log_failure)

    def _on_report(self, outcome: Result[EngineReport, str]) -> None:
        self._polling = False
        if isinstance(outcome, Failure):
            self._on_failure(outcome.failure())
            return
        if self._down:
            events.log(ENGINE_RECOVERED, engine=self.process.settings.engine_address)
        self._failing_since_seconds = None
        self._down = False
        report = outcome.unwrap()
        engine = self._engine_class()
        if engine is not None:
            self.changeover.handle_report(report, engine)
        self._send_if_due(report)

    def _on_failure(self, reason: str) -> None:
        now_seconds = self.process.reactor.seconds()
        if self._failing_since_seconds is None:
            self._failing_since_seconds = now_seconds
        if now_seconds - self._failing_since_seconds < DOWN_SECONDS:
            return
        if not self._down:
            self._down = True
            address = self.process.settings.engine_address
            events.log(ENGINE_LOST, engine=address, reason=reason)
            self.changeover.engine_lost()
        # Weight version 0: entries send no requests here until the engine answers again.
        self._send_if_due(EngineReport((), 0, False, 0, 0, 0, 0, 1.0, 0))

    def _engine_class(self) -> EngineClass | None:
        table = self.client.view.table
        name = self.process.settings.engine_service
        services = table.document.services if table else ()
        return next((service.engine for service in services if service.name == name), None)

    def _send_if_due(self, report: EngineReport) -> None:
        """Sends a changed state at once, and an unchanged one every ``REPEAT_SECONDS``."""
        state = (
            report.version_of(self.changeover.model),
            self.changeover.switching,
            report.waiting,
            report.running,
        )
        now_seconds = self.process.reactor.seconds()
        changed = state != self._sent_state
        if not changed and now_seconds - self._sent_seconds < REPEAT_SECONDS:
            return
        self._sent_state = state
        self._sent_seconds = now_seconds
        self._repeats = 0 if changed else self._repeats + 1
        self._send_to_entries(report, include_far=self._repeats % FAR_EVERY_REPEATS == 0)

    def _send_to_entries(self, report: EngineReport, *, include_far: bool) -> None:
        """Sends the state to the entries of this region, or with ``include_far`` to all."""
        self._sequence += 1
        settings = self.process.settings
        load = EngineLoad(
            engine_address=settings.engine_address,
            incarnation=self.process.incarnation,
            sequence=self._sequence,
            weight_version=report.version_of(self.changeover.model),
            switching=self.changeover.switching,
            waiting=report.waiting,
            running=report.running,
            memory_share=round(report.memory_share, 3),
            pace=report.pace,
        )
        datagram = encode(load)
        for entry in self.client.view.entries():
            if include_far or entry.region == settings.region:
                self._socket.write(datagram, (entry.address, settings.link_port))


def make_agent_program(process: NodeProcess, codecs: AgentCodecs) -> AgentProgram:
    """Builds the agent program of one host."""
    reactor = process.reactor
    settings = process.settings
    view = SiteView()
    pool = ChannelPool(reactor, reactor, settings.address, SOURCE_CONNECT_SECONDS)
    fetcher = make_piece_fetcher(
        pool,
        codecs.origin,
        lambda key: sources_for(process.settings, view, key),
        view.piece_count,
    )
    calls = EngineCalls(pool, codecs.engine, settings.engine_address)
    changeover = make_changeover(reactor, view, calls, fetcher, settings)
    client = SiteClient(process, view, codecs.decode_document)
    return AgentProgram(process, client, calls, changeover)
