"""The common base of a site's programs: settings, link settings and listening ports."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from secrets import randbits
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail.budget.process_budget import ProcessBudget
from jackdawsail.budget.reporting import make_reporting_budget, process_limits
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import HttpAnswer, HttpRequest
from jackdawsail.http1.server import ServerFactory
from jackdawsail.http1.server_options import ServerOptions
from jackdawsail.loops import start_loop
from jackdawsail.metrics_registry import render_metrics
from jackdawsail.site.clock import PROCESS_STARTED_SECONDS
from jackdawsail.site.document import CallerLimits
from jackdawsail.site.node import NodeSettings
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import LinkOwner, LinkServerFactory, LinkSettings

KEEPALIVE_SECONDS = 0.5  # a silent link is probed after one heartbeat of the control hosts
# A lost link is detected and replaced within the 3 s in which routing may act on state
# from before a failure.
SILENCE_SECONDS = 1.7
CONNECT_SECONDS = 1.0
REDIAL_MAX_SECONDS = 0.4
DRAIN_SECONDS = 0.5  # for answers to requests that were received before a program has stopped
DRAIN_CHECK_SECONDS = 0.02
LISTEN_BACKLOG = 512
METRICS_PORT_OFFSET = 8  # from the first internal port
INCARNATION_BITS = 52  # exact as a float, since CBOR and JSON readers may use one


@dataclass(slots=True)
class NodeProcess:
    """The settings and the identity of a running program, and the means to end it.

    ``incarnation`` is a random number that distinguishes restarts of a process.
    ``started_seconds`` is when the process started, ``budget`` what it holds for its callers.
    """

    reactor: Any
    settings: NodeSettings
    role: Role
    incarnation: int = field(default_factory=lambda: randbits(INCARNATION_BITS))
    exit_code: int = 0
    started_seconds: float = PROCESS_STARTED_SECONDS
    budget: ProcessBudget = field(init=False)

    def __post_init__(self) -> None:
        """Makes the budget of the process from its settings."""
        bounds = self.settings.bounds
        self.budget = make_reporting_budget(
            bounds.memory_megabytes, bounds.max_descriptors, self.reactor.seconds
        )

    @property
    def link_settings(self) -> LinkSettings:
        """Returns the settings of every link of this process."""
        settings = self.settings
        identity = Identity(
            self.role, settings.address, settings.zone, settings.region, self.incarnation
        )
        # The platform provides no secret: its network admits only its own processes.
        return LinkSettings(
            identity=identity,
            secret=b'',
            bind_address=settings.address,
            keepalive_seconds=KEEPALIVE_SECONDS,
            silence_seconds=SILENCE_SECONDS,
            connect_seconds=CONNECT_SECONDS,
            redial_max_seconds=REDIAL_MAX_SECONDS,
        )

    def change_settings(self, settings: NodeSettings) -> None:
        """Applies changed settings to the budget; the program applies them to the rest."""
        self.settings = settings
        bounds = settings.bounds
        self.budget.limits = process_limits(bounds.memory_megabytes, bounds.max_descriptors)

    def end(self, exit_code: int = 0) -> None:
        """Stops the reactor, so that the process ends with this exit code."""
        self.exit_code = exit_code
        if self.reactor.running:
            self.reactor.stop()


def make_server(
    process: NodeProcess,
    handler: Callable[[Exchange], None],
    limits: CallerLimits | None = None,
) -> ServerFactory:
    """Makes a server whose connections count in the budget of the process."""
    options = ServerOptions(
        handler, process.reactor, limits or CallerLimits(), budget=process.budget
    )
    return ServerFactory(options)


def listen_http(process: NodeProcess, address: str, factory: ServerFactory) -> Any:
    """Listens for HTTP at ``host:port``; returns None for an empty address."""
    if not address:
        return None
    host, _, port = address.rpartition(':')
    return process.reactor.listenTCP(int(port), factory, LISTEN_BACKLOG, host)


def close_port(port: Any) -> None:
    """Accepts the connections that wait, which would be reset otherwise, and stops listening."""
    # Twisted accepts no more of them than it expects.
    port.numberAccepts = LISTEN_BACKLOG + 1
    port.doRead()
    port.stopListening()


def drain_http(reactor: Any, ports: Iterable[Any], callers: ServerFactory) -> Deferred[None]:
    """Closes ports; fires once all their callers have their answers, or after DRAIN_SECONDS."""
    for port in ports:
        close_port(port)
    drained: Deferred[None] = Deferred()
    end_seconds = reactor.seconds() + DRAIN_SECONDS

    def check() -> None:
        for connection in callers.idle():
            connection.close_idle()
        if not callers.open_count or reactor.seconds() >= end_seconds:
            loop.stop()
            drained.callback(None)

    loop = start_loop(reactor, check, DRAIN_CHECK_SECONDS)
    return drained


def listen_links(process: NodeProcess, owner: LinkOwner) -> Any:
    """Listens at the link port for links of other processes."""
    factory: Any = LinkServerFactory(process.link_settings, owner, process.reactor)
    settings = process.settings
    return process.reactor.listenTCP(settings.link_port, factory, LISTEN_BACKLOG, settings.address)


def listen_metrics(process: NodeProcess) -> Any:
    """Serves the metrics of the process at ``/metrics``, on a port of their own."""

    def handle(exchange: Exchange) -> None:
        exchange.answer(_metrics_answer(exchange.request))

    port = process.settings.link_port + _metrics_offset(process.role)
    address = f'{process.settings.address}:{port}'
    return listen_http(process, address, make_server(process, handle))


def _metrics_answer(request: HttpRequest) -> HttpAnswer:
    if request.target != b'/metrics':
        return HttpAnswer(404)
    return HttpAnswer(200, render_metrics(), ((b'Content-Type', b'text/plain; version=0.0.4'),))


def _metrics_offset(role: Role) -> int:
    """Returns the offset of the metrics port, by role since programs may share a host."""
    return METRICS_PORT_OFFSET + (Role.control, Role.entry, Role.agent).index(role)
