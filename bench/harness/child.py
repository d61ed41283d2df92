"""One process of a fleet: started, watched, frozen, killed and stopped by its pid."""

import ctypes
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.harness.waiting import wait_until

READY_NUMBER = 100
READY_SECONDS = 20.0
STOP_SECONDS = 15.0
KILL_SECONDS = 5.0
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
LOG_TAIL_LINES = 30
PARENT_DEATH_SIGNAL = 1  # PR_SET_PDEATHSIG of prctl(2)
LIBC = ctypes.CDLL(None)
REPOSITORY = Path(__file__).resolve().parents[2]


@dataclass(frozen=True)
class Usage:
    """Processor seconds and resident bytes of a process so far."""

    processor_seconds: float
    resident_bytes: int


def _end_with_parent() -> None:
    LIBC.prctl(PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Child:
    """A process whose log goes to a file and which logs when it is ready."""

    def __init__(self, name: str, module: str, arguments: list[str], log_path: Path) -> None:
        self.name = name
        self.log_path = log_path
        self.exit_code: int | None = None
        self.ready_seconds: float = 0
        self._command = [sys.executable, '-m', module, *arguments]
        self._process: subprocess.Popen[bytes] | None = None
        self._log_start = 0
        self._started_seconds: float = 0

    @property
    def pid(self) -> int:
        """The process id; zero when it does not run."""
        return 0 if self._process is None else self._process.pid

    def start(self) -> None:
        """Starts the process without waiting for it."""
        environment = {**os.environ, 'PYTHONPATH': str(REPOSITORY)}
        self._log_start = self.log_path.stat().st_size if self.log_path.exists() else 0
        self._started_seconds = time.monotonic()
        with self.log_path.open('ab') as log:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
                start_new_session=True,
                preexec_fn=_end_with_parent,
            )

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
        if self._process is None:
            return False
        self.exit_code = self._process.poll()
        return self.exit_code is None

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if self._process is not None and self.is_running():
            self._process.send_signal(number)

    def kill(self) -> None:
        """Ends the process at once, as a crash does."""
        self.send(signal.SIGKILL)
        self._reap(KILL_SECONDS)

    def stop(self, timeout_seconds: float = STOP_SECONDS) -> int | None:
        """Stops gracefully; kills when the deadline passes. Returns the exit code."""
        self.send(signal.SIGTERM)
        return self._reap(timeout_seconds)

    def usage(self) -> Usage:
        """Reads /proc."""
        fields = Path(f'/proc/{self.pid}/stat').read_text().rpartition(')')[2].split()
        processor_ticks = int(fields[11]) + int(fields[12])
        resident_pages = int(fields[21])
        page_bytes = os.sysconf('SC_PAGE_SIZE')
        return Usage(processor_ticks / CLOCK_TICKS, resident_pages * page_bytes)

    def _reap(self, timeout_seconds: float) -> int | None:
        process = self._process
        if process is None:
            return None
        try:
            self.exit_code = process.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            self.exit_code = process.wait()
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
