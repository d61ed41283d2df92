"""Starts, signals, stops and monitors one process of a fleet."""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from bench.harness.deathsignal import end_with_parent
from bench.harness.template import Template
from bench.harness.waiting import wait_until

READY_EVENT_NUMBER = 100
READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0
KILL_TIMEOUT_SECONDS = 5.0
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
LOG_TAIL_LINES = 30
REAP_POLL_SECONDS = 0.02
REPOSITORY_ROOT = Path(__file__).resolve().parents[2]


@dataclass(frozen=True)
class Usage:
    """Processor time used so far and current resident memory of a process."""

    processor_seconds: float
    resident_bytes: int


class StartedProcess(Protocol):
    """The part of ``subprocess.Popen`` that ``Child`` uses."""

    pid: int

    def poll(self) -> int | None:
        """Returns the exit code, or None while the process runs."""


class ProcessStarter(Protocol):
    """Starts programs whose output is appended to a log file."""

    def start(self, module: str, arguments: list[str], log_path: Path) -> StartedProcess:
        """Starts ``python -m module``."""


class InterpreterStarter:
    """Starts each program in a new interpreter."""

    def start(self, module: str, arguments: list[str], log_path: Path) -> StartedProcess:
        with log_path.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, '-m', module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=make_environment(),
                start_new_session=True,
                preexec_fn=end_with_parent,
            )


class TemplateStarter:
    """Forks each program from a template process with the libraries already imported."""

    def __init__(self) -> None:
        self._template = Template(make_environment())

    def start(self, module: str, arguments: list[str], log_path: Path) -> StartedProcess:
        pid = self._template.start(module, arguments, str(log_path))
        return _ForkedProcess(pid, self._template)

    def close(self) -> None:
        """Kills the template and the processes that it has started."""
        self._template.close()


@dataclass(frozen=True)
class _ForkedProcess:
    pid: int
    template: Template

    def poll(self) -> int | None:
        return self.template.poll(self.pid)


def make_environment() -> dict[str, str]:
    """Returns the environment for every process of the bench, with PYTHONPATH set."""
    return {**os.environ, 'PYTHONPATH': str(REPOSITORY_ROOT)}


class Child:
    """A process that logs to a file, and logs event 100 once it is ready."""

    def __init__(
        self, name: str, module: str, arguments: list[str], log_path: Path, starter: ProcessStarter
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.exit_code: int | None = None
        self.ready_seconds: float = 0
        self._module = module
        self._arguments = arguments
        self._starter = starter
        self._process: StartedProcess | None = None
        self._log_start = 0
        self._terminated = False
        self._started_seconds: float = 0

    @property
    def pid(self) -> int:
        """The process id; 0 before the first start."""
        return 0 if self._process is None else self._process.pid

    def start(self) -> None:
        """Starts the process without waiting until it is ready."""
        self._terminated = False
        self.log_path.touch()
        self._log_start = self.log_path.stat().st_size
        self._started_seconds = time.monotonic()
        self.exit_code = None
        self._process = self._starter.start(self._module, self._arguments, self.log_path)

    def wait_ready(self) -> dict[str, Any]:
        """Waits for the ready event and returns its fields.

        Raises ``AssertionError`` with the end of the log if the process ends first.
        """
        ready: dict[str, Any] = wait_until(
            self._find_ready,
            READY_TIMEOUT_SECONDS,
            f'{self.name} ready (log {self.log_path})',
            0.02,
        )
        self.ready_seconds = time.monotonic() - self._started_seconds
        return ready

    def events(self, number: int) -> list[dict[str, Any]]:
        """Returns the log events with this number, since the last start."""
        found = [json.loads(line) for line in self._lines() if line.startswith('{')]
        return [event for event in found if event.get('number') == number]

    def log_tail(self) -> str:
        """Returns the last lines of the log."""
        return '\n'.join(self._lines()[-LOG_TAIL_LINES:])

    def is_running(self) -> bool:
        """Returns whether the process is still running."""
        if self._process is not None and self.exit_code is None:
            self.exit_code = self._process.poll()
        return self._process is not None and self.exit_code is None

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the process is still running."""
        if self.is_running():
            os.kill(self.pid, signal_number)

    def kill(self) -> None:
        """Kills the process with SIGKILL, as a crash would, and reaps it."""
        self.send(signal.SIGKILL)
        self._reap(KILL_TIMEOUT_SECONDS)

    def stop(self, timeout_seconds: float = STOP_TIMEOUT_SECONDS) -> int | None:
        """Stops the process with SIGTERM, or SIGKILL at the timeout; returns the exit code."""
        if not self._terminated:
            self.terminate()
        return self._reap(timeout_seconds)

    def terminate(self) -> None:
        """Sends SIGTERM without waiting; a second one would end the process at once."""
        self._terminated = True
        self.send(signal.SIGTERM)

    def wait_ended(self, timeout_seconds: float) -> int | None:
        """Waits without sending a signal; returns None if the process still runs at the timeout."""
        deadline = time.monotonic() + timeout_seconds
        while self.is_running() and time.monotonic() < deadline:
            time.sleep(REAP_POLL_SECONDS)
        return self.exit_code

    def usage(self) -> Usage:
        """Reads the usage of the process from ``/proc``."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().rpartition(')')[2].split()
        processor_ticks = int(fields[11]) + int(fields[12])
        resident_pages = int(fields[21])
        page_bytes = os.sysconf('SC_PAGE_SIZE')
        return Usage(processor_ticks / CLOCK_TICKS_PER_SECOND, resident_pages * page_bytes)

    def _reap(self, timeout_seconds: float) -> int | None:
        deadline = time.monotonic() + timeout_seconds
        while self.is_running():
            if time.monotonic() > deadline:
                self.send(signal.SIGKILL)
            time.sleep(REAP_POLL_SECONDS)
        return self.exit_code

    def _lines(self) -> list[str]:
        with self.log_path.open('rb') as log:
            log.seek(self._log_start)
            return log.read().decode('utf8', 'replace').splitlines()

    def _find_ready(self) -> dict[str, Any] | None:
        for line in self._lines():
            if line.startswith('{') and f'"number": {READY_EVENT_NUMBER}' in line:
                return json.loads(line)  # type: ignore[no-any-return]
        if not self.is_running():
            raise AssertionError(f'{self.name} exited before it was ready:\n{self.log_tail()}')
        return None
