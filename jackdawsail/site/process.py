"""What every program of a site shares: settings, links, listening, signals, logging.

The settings file may change while the process runs, with SIGHUP or without; it
is read again at the signal and each few seconds.
"""

import gc
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from secrets import randbits
from typing import Any, Protocol

from returns.result import Failure, Result
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.errors import UserError
from jackdawsail.http1.messages import HttpAnswer, HttpRequest
from jackdawsail.http1.server import Exchange, ServerFactory, ServerOptions
from jackdawsail.log_output import LogOutput
from jackdawsail.metrics_text import metrics_text
from jackdawsail.site.clock import use_boot_clock
from jackdawsail.site.document import CallerLimits
from jackdawsail.site.node import NodeSettings
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import LinkOwner, LinkServerFactory, LinkSettings

KEEPALIVE_SECONDS = 0.5  # a silent link is probed after one heartbeat of the controls
SILENCE_SECONDS = 1.7  # a lost link is replaced within the time in which rules are stretched
CONNECT_SECONDS = 1.0
REDIAL_MAX_SECONDS = 0.4
RELOAD_SECONDS = 2.0  # how soon a changed settings file is noticed without a signal
LISTEN_BACKLOG = 512
METRICS_PORT_OFFSET = 8  # counted from the first internal port
INCARNATION_BITS = 52  # fits a float, as CBOR and JSON readers may use one

SETTINGS_RELOADED = events.define(104, 'info', 'settings file read again')
SETTINGS_REFUSED = events.define(105, 'error', 'settings file cannot be read')


class NodeProgram(Protocol):
    """A program of a site."""

    def start(self) -> None:
        """Begins to work."""

    def stop(self) -> Deferred[None]:
        """Stops in good order; fires when the process may end."""

    def reload(self, settings: NodeSettings) -> None:
        """Takes settings that have changed."""


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """The settings file and how it is read."""

    path: Path
    decode: Callable[[str], Result[NodeSettings, str]]

    def read(self) -> NodeSettings:
        """Reads the file; raises UserError."""
        try:
            text = self.path.read_text('utf8')
        except OSError as error:
            raise UserError(f'{self.path}: {error}') from None
        outcome = self.decode(text)
        if isinstance(outcome, Failure):
            raise UserError(f'{self.path}: {outcome.failure()}')
        return outcome.unwrap()


@dataclass(slots=True)
class NodeProcess:
    """What a program is built from, and its way to end."""

    reactor: Any
    settings: NodeSettings
    role: Role
    incarnation: int = field(default_factory=lambda: randbits(INCARNATION_BITS))
    exit_code: int = 0

    @property
    def link_settings(self) -> LinkSettings:
        """Returns what every link of this process is made with."""
        settings = self.settings
        identity = Identity(
            self.role, settings.address, settings.zone, settings.region, self.incarnation
        )
        # The platform hands out no secret: its network lets only its own processes in.
        return LinkSettings(
            identity=identity,
            secret=b'',
            bind_address=settings.address,
            keepalive_seconds=KEEPALIVE_SECONDS,
            silence_seconds=SILENCE_SECONDS,
            connect_seconds=CONNECT_SECONDS,
            redial_max_seconds=REDIAL_MAX_SECONDS,
        )

    def end(self, exit_code: int = 0) -> None:
        """Ends the process."""
        self.exit_code = exit_code
        if self.reactor.running:
            self.reactor.stop()


def listen_http(process: NodeProcess, address: str, factory: ServerFactory) -> Any:
    """Listens for HTTP at ``host:port``; does nothing for an empty address."""
    if not address:
        return None
    host, _, port = address.rpartition(':')
    return process.reactor.listenTCP(int(port), factory, LISTEN_BACKLOG, host)


def listen_links(process: NodeProcess, owner: LinkOwner) -> Any:
    """Listens for links of other processes."""
    factory: Any = LinkServerFactory(process.link_settings, owner, process.reactor)
    settings = process.settings
    return process.reactor.listenTCP(settings.link_port, factory, LISTEN_BACKLOG, settings.address)


def listen_metrics(process: NodeProcess, offset: int = METRICS_PORT_OFFSET) -> Any:
    """Serves the counters and histograms of the process."""

    def handle(exchange: Exchange) -> None:
        exchange.answer(_metrics_answer(exchange.request))

    options = ServerOptions(handle, process.reactor, CallerLimits())
    port = process.settings.link_port + offset
    return listen_http(process, f'{process.settings.address}:{port}', ServerFactory(options))


def _metrics_answer(request: HttpRequest) -> HttpAnswer:
    if request.target != b'/metrics':
        return HttpAnswer(404)
    return HttpAnswer(200, metrics_text(), ((b'Content-Type', b'text/plain; version=0.0.4'),))


def run_node(
    role: Role, source: SettingsSource, make: Callable[[NodeProcess], NodeProgram]
) -> int:
    """Runs one program until it is told to stop; returns its exit code."""
    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    use_boot_clock(reactor)
    try:
        settings = source.read()
    except UserError as error:
        print(f'jackdawsail-{role}: {error}', file=sys.stderr)  # noqa: T201
        return error.exit_code
    output = LogOutput(sys.stdout.fileno(), reactor)
    events.configure_logging(f'jackdawsail-{role}', settings.name, output=output)
    process = NodeProcess(reactor, settings, role)
    runner = _Runner(process, source, make)
    reactor.callWhenRunning(runner.start)
    reactor.run(installSignalHandlers=False)
    events.log(events.PROCESS_STOPPED, exit_code=process.exit_code)
    output.write_out()
    return process.exit_code


class _Runner:
    """Starts a program, reloads its settings and turns signals into a graceful stop."""

    def __init__(
        self,
        process: NodeProcess,
        source: SettingsSource,
        make: Callable[[NodeProcess], NodeProgram],
    ) -> None:
        self._process = process
        self._source = source
        self._make = make
        self._program: NodeProgram | None = None
        self._stopping = False

    def start(self) -> None:
        """Builds and starts the program; a fault ends the process with one line."""
        try:
            self._program = self._make(self._process)
            self._program.start()
            listen_metrics(self._process, _metrics_offset(self._process.role))
        except (UserError, CannotListenError) as error:
            events.log(events.PROCESS_FAILED, reason=str(error))
            self._process.end(2)
            return
        except Exception:
            self._process.end(1)
            raise
        self._catch_signals()
        loop: Any = LoopingCall(self.reload)
        loop.clock = self._process.reactor
        loop.start(RELOAD_SECONDS, now=False).addErrback(events.log_failure)
        # What lives from here on is small; collections need not look at the rest again.
        gc.collect()
        gc.freeze()
        events.log(events.PROCESS_READY, incarnation=self._process.incarnation)

    def reload(self) -> None:
        """Reads the settings file again; one that cannot be read changes nothing."""
        try:
            settings = self._source.read()
        except UserError as error:
            events.log(SETTINGS_REFUSED, reason=str(error))
            return
        if settings == self._process.settings or self._program is None:
            return
        events.log(SETTINGS_RELOADED, seeds=list(settings.seeds))
        self._process.settings = settings
        self._program.reload(settings)

    def _catch_signals(self) -> None:
        call = self._process.reactor.callFromThread
        signal.signal(signal.SIGTERM, lambda number, frame: call(self._stop))
        signal.signal(signal.SIGINT, lambda number, frame: call(self._stop))
        signal.signal(signal.SIGHUP, lambda number, frame: call(self.reload))

    def _stop(self) -> None:
        if self._stopping or self._program is None:
            return
        self._stopping = True
        events.log(events.PROCESS_STOPPING)
        self._program.stop().addBoth(self._stopped)

    def _stopped(self, _outcome: Any) -> None:
        self._process.end(0)


def _metrics_offset(role: Role) -> int:
    """Returns the offset of the metrics port; two programs may share a host."""
    return METRICS_PORT_OFFSET + (Role.control, Role.entry, Role.agent).index(role)
