"""What every long-running program shares: settings, logging, signals and the reactor.

A program module builds its parts and calls ``run_process``; SIGTERM or SIGINT
starts the graceful stop, a second one ends it at once.
"""

import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.web.client import Agent

from jackdawsail import events
from jackdawsail.errors import UserError
from jackdawsail.settings.loader import load_settings
from jackdawsail.settings.models import HostSettings, Settings
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import LinkSettings
from jackdawsail.wire.tls import TlsFiles, make_context

HTTP_CONNECT_SECONDS = 2.0
START_FAILED = 2

SettingsPaths = Annotated[
    list[Path],
    Parameter(name='--settings', help='Base settings file, then overlays, in order.'),
]


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """What a program is built from."""

    reactor: Any
    settings: Settings
    identity: Identity
    secret: bytes
    tls: Any = None

    @property
    def host(self) -> HostSettings:
        """The host section, which every program has."""
        host = self.settings.host
        if host is None:
            raise AssertionError('run_process refuses settings without a host section')
        return host

    @property
    def link_settings(self) -> LinkSettings:
        """What every link of this process is made with."""
        return LinkSettings(self.identity, self.secret, self.host.address, self.tls)

    def make_http_agent(self, pool: Any = None) -> Agent:
        """Makes an HTTP client that connects from this host's own address."""
        bind_address = (self.host.address, 0)
        timeout = HTTP_CONNECT_SECONDS
        return Agent(self.reactor, connectTimeout=timeout, bindAddress=bind_address, pool=pool)


StopFunction = Callable[[], Deferred[None]]
BuildFunction = Callable[[ProcessContext], StopFunction]


def make_identity(role: Role, host: HostSettings, incarnation: int) -> Identity:
    """Makes the identity of this run of a process."""
    return Identity(role, host.name, host.zone, host.region, incarnation)


def read_secret(settings: Settings) -> bytes:
    """Returns the site secret; refuses to run open anywhere but on loopback."""
    security = settings.security
    secret = security.site_secret
    if security.site_secret_file:
        secret = Path(security.site_secret_file).read_text('utf8').strip()
    host = settings.host
    if not secret and host is not None and not host.address.startswith('127.'):
        raise UserError('security.site_secret is required on any address but loopback')
    return secret.encode()


def read_tls(settings: Settings) -> Any:
    """Returns the TLS context of the links, or None without certificates."""
    security = settings.security
    if not security.certificate_file:
        return None
    files = TlsFiles(
        Path(security.certificate_file), Path(security.key_file), Path(security.authority_file)
    )
    try:
        return make_context(files)
    except Exception as error:  # noqa: BLE001 - the library raises its own kinds
        raise UserError(f'security certificates cannot be used: {error}') from None


def run_process(role: Role, paths: list[Path], build: BuildFunction) -> int:
    """Runs one program until it is told to stop; returns its exit code."""
    from secrets import randbits

    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    # Twisted's default is the wall clock, which jumps; leases need a monotonic one.
    reactor.seconds = time.monotonic
    settings = load_settings(paths)
    if settings.host is None:
        raise UserError('settings have no host section')
    events.configure_logging(f'jackdawsail-{role}', settings.host.name, settings.log_level)
    identity = make_identity(role, settings.host, randbits(52))
    secret = read_secret(settings)
    context = ProcessContext(reactor, settings, identity, secret, read_tls(settings))
    stopper = _Stopper(reactor)
    reactor.callWhenRunning(_start, context, build, stopper)
    reactor.run(installSignalHandlers=False)
    events.log(events.PROCESS_STOPPED, exit_code=stopper.exit_code)
    return stopper.exit_code


def _start(context: ProcessContext, build: BuildFunction, stopper: '_Stopper') -> None:
    try:
        stopper.stop = build(context)
    except (UserError, CannotListenError) as error:
        events.log(events.PROCESS_FAILED, reason=str(error))
        stopper.exit_code = START_FAILED
        context.reactor.stop()
        return
    except Exception:
        stopper.exit_code = 1
        context.reactor.stop()
        raise
    signal.signal(signal.SIGTERM, stopper.on_signal)
    signal.signal(signal.SIGINT, stopper.on_signal)


class _Stopper:
    """Turns the first signal into a graceful stop and the second into a fast one."""

    def __init__(self, reactor: Any) -> None:
        self.exit_code = 0
        self.stop: StopFunction | None = None
        self._reactor = reactor
        self._stopping = False

    def on_signal(self, _number: int, _frame: Any) -> None:
        self._reactor.callFromThread(self._begin)

    def _begin(self) -> None:
        if self._stopping or self.stop is None:
            self._reactor.stop()
            return
        self._stopping = True
        events.log(events.PROCESS_STOPPING)
        self.stop().addBoth(self._finish)

    def _finish(self, _outcome: Any) -> None:
        if self._reactor.running:
            self._reactor.stop()
