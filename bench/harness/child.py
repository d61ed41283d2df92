"""One process of a fleet: started, watched, frozen, killed and stopped by its pid."""

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

READY_NUMBER = 100
READY_SECONDS = 20.0
STOP_SECONDS = 15.0
KILL_SECONDS = 5.0
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
LOG_TAIL_LINES = 30
REAP_POLL_SECONDS = 0.02
REPOSITORY_ROOT = Path(__file__).resolve().parents[2]


@dataclass(frozen=True)
class Usage:
    """Processor seconds and resident bytes of a process so far."""

    processor_seconds: float
    resident_bytes: int


class Started(Protocol):
    """A process as far as a child needs it."""

    pid: int

    def poll(self) -> int | None:
        """Returns the exit code once the process has ended."""


class Starter(Protocol):
    """Starts a program with its output in a file."""

    def start(self, module: str, arguments: list[str], log_path: Path) -> Started:
        """Starts ``python -m module``."""


class FreshStarter:
    """Starts each program in an interpreter of its own."""

    def start(self, module: str, arguments: list[str], log_path: Path) -> Started:
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
    """Forks each program from a template that has the libraries loaded."""

    def __init__(self) -> None:
        self._template = Template(make_environment())

    def start(self, module: str, arguments: list[str], log_path: Path) -> Started:
        pid = self._template.start(module, arguments, str(log_path))
        return _Forked(pid, self._template)

    def close(self) -> None:
        """Ends the template and what it has started."""
        self._template.close()


@dataclass(frozen=True)
class _Forked:
    pid: int
    template: Template

    def poll(self) -> int | None:
        return self.template.poll(self.pid)


def make_environment() -> dict[str, str]:
    """Returns the environment of every process of the bench."""
    return {**os.environ, 'PYTHONPATH': str(REPOSITORY_ROOT)}


class Child:
    """A process whose log goes to a file and which logs when it is ready."""

    def __init__(
        self, name: str, module: str, arguments: list[str], log_path: Path, starter: Starter
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.exit_code: int | None = None
        self.ready_seconds: float = 0
        self._module = module
        self._arguments = arguments
        self._starter = starter
        self._process: Started | None = None
        self._log_start = 0
        self._terminated = False
        self._started_seconds: float = 0

    @property
    def pid(self) -> int:
        """The process id; zero when it does not run."""
        return 0 if self._process is None else self._process.pid

    def start(self) -> None:
        """Starts the process without waiting for it."""
        self._terminated = False
        self.log_path.touch()
        self._log_start = self.log_path.stat().st_size
        self._started_seconds = time.monotonic()
        self.exit_code = None
        self._process = self._starter.start(self._module, self._arguments, self.log_path)

    def wait_ready(self) -> dict[str, Any]:
        """Waits for the ready event and returns its fields."""
        ready: dict[str, Any] = wait_until(
            self._find_ready, READY_SECONDS, f'{self.name} ready (log {self.log_path})', 0.02
        )
        self.ready_seconds = time.monotonic() - self._started_seconds
        return ready

    def events(self, number: int) -> list[dict[str, Any]]:
        """Returns the events of a number that this run has logged."""
        found = [json.loads(line) for line in self._lines() if line.startswith('{')]
        return [event for event in found if event.get('number') == number]

    def log_tail(self) -> str:
        """Returns the last lines of the log."""
        return '\n'.join(self._lines()[-LOG_TAIL_LINES:])

    def is_running(self) -> bool:
        """Tells whether the process runs."""
        if self._process is not None and self.exit_code is None:
            self.exit_code = self._process.poll()
        return self._process is not None and self.exit_code is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self.is_running():
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Ends the process at once, as a crash does."""
        self.send(signal.SIGKILL)
        self._reap(KILL_SECONDS)

    def stop(self, timeout_seconds: float = STOP_SECONDS) -> int | None:
        """Stops gracefully; kills when the deadline passes. Returns the exit code."""
        if not self._terminated:
            self.terminate()
        return self._reap(timeout_seconds)

    def terminate(self) -> None:
        """Asks for a graceful stop without waiting for it; a second signal would end it at once."""
        self._terminated = True
        self.send(signal.SIGTERM)

    def wait_ended(self, timeout_seconds: float) -> int | None:
        """Waits for the end without another signal; None when it does not come in time."""
        deadline = time.monotonic() + timeout_seconds
        while self.is_running() and time.monotonic() < deadline:
            time.sleep(REAP_POLL_SECONDS)
        return self.exit_code

    def usage(self) -> Usage:
        """Reads /proc."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().rpartition(')')[2].split()
        processor_ticks = int(fields[11]) + int(fields[12])
        resident_pages = int(fields[21])
        page_bytes = os.sysconf('SC_PAGE_SIZE')
        return Usage(processor_ticks / CLOCK_TICKS, resident_pages * page_bytes)

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
            if line.startswith('{') and f'"number": {READY_NUMBER}' in line:
                return json.loads(line)  # type: ignore[no-any-return]
        if not self.is_running():
            raise AssertionError(f'{self.name} ended before it was ready:\n{self.log_tail()}')
        return None
