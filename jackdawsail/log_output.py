"""Nonblocking log output with a bounded queue, and a rate limit per event.

Lines that the reader has not consumed are queued. When the queue is full, new lines
are dropped and counted; the count is logged once the queue is empty again.
"""

import os
from collections import deque
from typing import Any

MAX_QUEUED_BYTES = 1_048_576  # about 4,000 lines
FLUSH_DELAY_SECONDS = 0.05
MAX_LINES_PER_SECOND = 60  # per event, which bounds the cost of a burst of refusals


class LogOutput:
    """A file-like object that structlog's loggers write to.

    Sets the descriptor to nonblocking mode.
    """

    def __init__(self, descriptor: int, clock: Any) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._dropped_lines = 0
        self._scheduled = False

    def write(self, text: str) -> int:
        """Queues a line, or drops it if the queue is full.

        Lines queued within FLUSH_DELAY_SECONDS are written together.
        """
        line = text.encode('utf8', 'replace')
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self._dropped_lines += 1
            return len(text)
        self._queue.append(line)
        self._queued_bytes += len(line)
        if not self._scheduled:
            self._scheduled = True
            self._clock.callLater(FLUSH_DELAY_SECONDS, self.flush_queue)
        return len(text)

    def flush(self) -> None:
        """Does nothing; the logging library calls it after each line."""

    def write_nonblocking(self) -> None:
        """Writes as much of the queue as the descriptor accepts without blocking."""
        if not self._queue:
            return
        pending = b''.join(self._queue)
        written = self._write_available(pending)
        self._queue.clear()
        if written < len(pending):
            self._queue.append(pending[written:])
        self._queued_bytes = len(pending) - written

    def flush_queue(self) -> None:
        """Writes the queue; schedules another attempt if the descriptor does not accept all."""
        self._scheduled = False
        self.write_nonblocking()
        if self._queue:
            self._scheduled = True
            self._clock.callLater(FLUSH_DELAY_SECONDS, self.flush_queue)
        elif self._dropped_lines:
            self.write(_format_dropped_line(self._dropped_lines))
            self._dropped_lines = 0

    def _write_available(self, pending: bytes) -> int:
        try:
            return os.write(self._descriptor, pending)
        except BlockingIOError:
            return 0


def _format_dropped_line(lines: int) -> str:
    return f'{{"number":106,"event":"log lines dropped","lines":{lines}}}\n'


class LineLimiter:
    """Limits the log lines per event number and second, and counts the suppressed ones."""

    def __init__(self, max_lines_per_second: int = MAX_LINES_PER_SECOND) -> None:
        self._max_lines = max_lines_per_second
        self._second = 0
        self._counts: dict[int, int] = {}
        self._suppressed: dict[int, int] = {}

    def admit(self, number: int, now_seconds: float) -> int | None:
        """Returns None to suppress a line, else the lines suppressed since the last admitted."""
        if int(now_seconds) != self._second:
            self._second = int(now_seconds)
            self._counts.clear()
        self._counts[number] = self._counts.get(number, 0) + 1
        if self._counts[number] > self._max_lines:
            self._suppressed[number] = self._suppressed.get(number, 0) + 1
            return None
        return self._suppressed.pop(number, 0)
