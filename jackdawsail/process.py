"""Runs a long-running program: settings, logging, stop signals and the reactor.

The first SIGTERM or SIGINT starts a graceful stop, and the second stops at once.
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

from jackdawsail import events
from jackdawsail.budget.reporting import make_reporting_budget
from jackdawsail.credentials import make_tls_context, read_site_secret
from jackdawsail.errors import UserError
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.settings.loader import load_settings
from jackdawsail.settings.models import HostSettings, Settings
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import LinkSettings

HTTP_CONNECT_TIMEOUT_SECONDS = 2.0
START_FAILED_EXIT_CODE = 2

SettingsPaths = Annotated[
    list[Path],
    Parameter(name='--settings', help='Base settings file, then overlays, in order.'),
]


@dataclass(frozen=True, slots=True)
class ProcessContext:
    """Reactor, settings, identity and credentials that a program is built with."""

    reactor: Any
    settings: Settings
    identity: Identity
    secret: bytes
    tls: Any = None
    budget: Any = None

    @property
    def host(self) -> HostSettings:
        """The host section, which run_process has checked to be present."""
        host = self.settings.host
        if host is None:
            raise AssertionError('settings have no host section, which run_process must reject')
        return host

    @property
    def link_settings(self) -> LinkSettings:
        """Identity, secret, bind address and TLS context of all links of this process."""
        return LinkSettings(self.identity, self.secret, self.host.address, self.tls)

    def make_channel_pool(self, *, uses_tls: bool = False) -> ChannelPool:
        """Makes a pool of HTTP connections that are bound to this host's address."""
        return ChannelPool(
            self.reactor,
            self.reactor,
            self.host.address,
            HTTP_CONNECT_TIMEOUT_SECONDS,
            uses_tls=uses_tls,
        )


StopFunction = Callable[[], Deferred[None]]
BuildFunction = Callable[[ProcessContext], StopFunction]


def make_identity(role: Role, host: HostSettings, incarnation: int) -> Identity:
    """Makes the identity of this run; the incarnation distinguishes runs of a process."""
    return Identity(role, host.name, host.zone, host.region, incarnation)


def run_process(role: Role, paths: list[Path], build: BuildFunction) -> int:
    """Runs a program until it is stopped; returns its exit code.

    Raises UserError if the settings are invalid.
    """
    from secrets import randbits

    from twisted.internet import reactor as installed_reactor

    reactor: Any = installed_reactor
    # Twisted uses the wall clock by default, which can jump; leases need a monotonic clock.
    reactor.seconds = time.monotonic
    settings = load_settings(paths)
    if settings.host is None:
        raise UserError('settings have no host section')
    events.configure_logging(f'jackdawsail-{role}', settings.host.name, settings.log_level)
    identity = make_identity(role, settings.host, randbits(52))
    secret = read_site_secret(settings)
    limits = settings.limits
    budget = make_reporting_budget(limits.memory_mb, limits.max_fds, reactor.seconds)
    tls = make_tls_context(settings)
    context = ProcessContext(reactor, settings, identity, secret, tls, budget)
    signal_handler = _StopSignalHandler(reactor)
    reactor.callWhenRunning(_start, context, build, signal_handler)
    reactor.run(installSignalHandlers=False)
    events.log(events.PROCESS_STOPPED, exit_code=signal_handler.exit_code)
    return signal_handler.exit_code


def _start(
    context: ProcessContext, build: BuildFunction, signal_handler: '_StopSignalHandler'
) -> None:
    try:
        signal_handler.stop = build(context)
    except (UserError, CannotListenError) as error:
        events.log(events.PROCESS_FAILED, reason=str(error))
        signal_handler.exit_code = START_FAILED_EXIT_CODE
        context.reactor.stop()
        return
    except Exception:
        signal_handler.exit_code = 1
        context.reactor.stop()
        raise
    signal.signal(signal.SIGTERM, signal_handler.on_signal)
    signal.signal(signal.SIGINT, signal_handler.on_signal)


class _StopSignalHandler:
    """Starts a graceful stop on the first signal and stops the reactor on the second."""

    def __init__(self, reactor: Any) -> None:
        self.exit_code = 0
        self.stop: StopFunction | None = None
        self._reactor = reactor
        self._stopping = False

    def on_signal(self, _number: int, _frame: Any) -> None:
        self._reactor.callFromThread(self._stop_or_abort)

    def _stop_or_abort(self) -> None:
        if self._stopping or self.stop is None:
            self._reactor.stop()
            return
        self._stopping = True
        events.log(events.PROCESS_STOPPING)
        self.stop().addBoth(self._stop_reactor)

    def _stop_reactor(self, _outcome: Any) -> None:
        if self._reactor.running:
            self._reactor.stop()
