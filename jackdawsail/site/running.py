"""Runs one program of a site: settings file, logging, signals, start and stop.

The settings file may change while the process runs. It is read again on SIGHUP and
every ``RELOAD_SECONDS``.
"""

import gc
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from returns.result import Failure, Result
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from jackdawsail import events
from jackdawsail.errors import UserError
from jackdawsail.log_output import LogOutput
from jackdawsail.loops import start_loop
from jackdawsail.site.clock import use_boot_clock
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess, listen_metrics
from jackdawsail.wire.identity import Role

RELOAD_SECONDS = 2.0  # until a changed settings file is detected without a signal
START_FAILED = 2  # exit code

SETTINGS_RELOADED = events.define(104, 'info', 'changed settings file reloaded')
SETTINGS_REFUSED = events.define(
    105, 'error', 'settings file cannot be read; keeping the current settings'
)


class NodeProgram(Protocol):
    """The interface of a site's programs."""

    def start(self) -> None:
        """Starts listening and connecting."""

    def stop(self) -> Deferred[None]:
        """Stops gracefully; the Deferred fires when the process may end."""

    def reload(self, settings: NodeSettings) -> None:
        """Applies changed settings."""


@dataclass(frozen=True, slots=True)
class SettingsSource:
    """The settings file and the function that decodes it."""

    path: Path
    decode: Callable[[str], Result[NodeSettings, str]]

    def read(self) -> NodeSettings:
        """Reads the settings; raises UserError if the file cannot be read or decoded."""
        try:
            text = self.path.read_text('utf8')
        except OSError as error:
            raise UserError(f'{self.path}: {error}') from None
        outcome = self.decode(text)
        if isinstance(outcome, Failure):
            raise UserError(f'{self.path}: {outcome.failure()}')
        return outcome.unwrap()


def run_node(
    role: Role, source: SettingsSource, make_program: Callable[[NodeProcess], NodeProgram]
) -> int:
    """Runs one program until a signal stops it; returns its exit code."""
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
    runner = _Runner(process, source, make_program)
    reactor.callWhenRunning(runner.start)
    reactor.run(installSignalHandlers=False)
    events.log(events.PROCESS_STOPPED, exit_code=process.exit_code)
    output.write_nonblocking()
    return process.exit_code


class _Runner:
    """Starts a program, reloads its settings and turns signals into a graceful stop."""

    def __init__(
        self,
        process: NodeProcess,
        source: SettingsSource,
        make_program: Callable[[NodeProcess], NodeProgram],
    ) -> None:
        self._process = process
        self._source = source
        self._make_program = make_program
        self._program: NodeProgram | None = None
        self._stopping = False

    def start(self) -> None:
        """Builds and starts the program; on a known error logs it and ends the process."""
        try:
            self._program = self._make_program(self._process)
            self._program.start()
            listen_metrics(self._process)
        except (UserError, CannotListenError) as error:
            events.log(events.PROCESS_FAILED, reason=str(error))
            self._process.end(START_FAILED)
            return
        except Exception:
            self._process.end(1)
            raise
        self._catch_signals()
        start_loop(self._process.reactor, self.reload, RELOAD_SECONDS)
        # Excludes all objects of the start from later collections; few are allocated afterwards.
        # A collection before would take 4 % of the start and free little.
        gc.freeze()
        gc.enable()
        events.log(events.PROCESS_READY, incarnation=self._process.incarnation)

    def reload(self) -> None:
        """Reads the settings file again; keeps the current settings if it cannot be read."""
        try:
            settings = self._source.read()
        except UserError as error:
            events.log(SETTINGS_REFUSED, reason=str(error))
            return
        if settings == self._process.settings or self._program is None:
            return
        events.log(SETTINGS_RELOADED, seeds=list(settings.seeds))
        self._process.change_settings(settings)
        self._program.reload(settings)

    def _catch_signals(self) -> None:
        call_from_thread = self._process.reactor.callFromThread
        signal.signal(signal.SIGTERM, lambda number, frame: call_from_thread(self._stop))
        signal.signal(signal.SIGINT, lambda number, frame: call_from_thread(self._stop))
        signal.signal(signal.SIGHUP, lambda number, frame: call_from_thread(self.reload))

    def _stop(self) -> None:
        if self._stopping or self._program is None:
            return
        self._stopping = True
        events.log(events.PROCESS_STOPPING)
        self._program.stop().addBoth(self._program_stopped)

    def _program_stopped(self, _outcome: Any) -> None:
        self._process.end(0)
