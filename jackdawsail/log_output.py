"""Writes log lines to a descriptor without ever waiting for its reader.

Lines that the reader does not take in time are kept up to a bound; beyond it the
newest are dropped and counted, and the count is written as a line of its own
once there is room again. Lines of one event are limited in number a second.
"""

import os
from collections import deque
from typing import Any

MAX_WAITING_BYTES = 1_048_576  # about 4,000 lines
FLUSH_SECONDS = 0.05
LINES_A_SECOND = 60  # of one event; a burst of refusals then costs no more than that


class LogOutput:
    """A file-like object for structlog's print logger."""

    def __init__(self, descriptor: int, clock: Any) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._dropped = 0
        self._scheduled = False

    def write(self, text: str) -> int:
        """Takes text; it is written at the end of the turn, with what comes with it."""
        line = text.encode('utf8', 'replace')
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._dropped += 1
            return len(text)
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if not self._scheduled:
            self._scheduled = True
            self._clock.callLater(FLUSH_SECONDS, self.flush_waiting)
        return len(text)

    def flush(self) -> None:
        """Does nothing: the logging library asks for it after each line."""

    def write_nonblocking(self) -> None:
        """Writes what the reader takes now."""
        if not self._waiting:
            return
        whole = b''.join(self._waiting)
        written = self._write_some(whole)
        self._waiting.clear()
        if written < len(whole):
            self._waiting.append(whole[written:])
        self._waiting_bytes = len(whole) - written

    def flush_waiting(self) -> None:
        """Writes what waits, and tries again later if the reader does not keep up."""
        self._scheduled = False
        self.write_nonblocking()
        if self._waiting:
            self._scheduled = True
            self._clock.callLater(FLUSH_SECONDS, self.flush_waiting)
        elif self._dropped:
            self.write(_dropped_line(self._dropped))
            self._dropped = 0

    def _write_some(self, whole: bytes) -> int:
        try:
            return os.write(self._descriptor, whole)
        except BlockingIOError:
            return 0


def _dropped_line(lines: int) -> str:
    return f'{{"number":106,"event":"log lines dropped","lines":{lines}}}\n'


class LineLimiter:
    """Bounds the lines of each event number in a second; the rest are counted."""

    def __init__(self, lines_a_second: int = LINES_A_SECOND) -> None:
        self._limit = lines_a_second
        self._second = 0
        self._counts: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}

    def admit(self, number: int, now_seconds: float) -> int | None:
        """Returns None if a line must not be written, else how many were not since the last."""
        if int(now_seconds) != self._second:
            self._second = int(now_seconds)
            self._counts.clear()
        self._counts[number] = self._counts.get(number, 0) + 1
        if self._counts[number] > self._limit:
            self._suppressed[number] = self._suppressed.get(number, 0) + 1
            return None
        return self._suppressed.pop(number, 0)
