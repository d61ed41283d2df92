"""Pacing of weight transfers, so that live answers have precedence.

``TokenBucket`` limits the rate of one transfer. ``DelayPacer`` decides which share
of the link transfers may use: like LEDBAT (RFC 6817) it compares each measured
delay with the lowest recent one, lowers the share while a queue builds up, and
uses the whole link when there is none.
"""

from collections import deque

TARGET_QUEUE_SECONDS = 0.03
GAIN_PER_SAMPLE = 0.1
SHARE_MIN = 0.1
SHARE_MAX = 1.0
BASE_WINDOW_SAMPLES = 200
FILTER_SAMPLES = 3
BITS_PER_BYTE = 8


class TokenBucket:
    """Allows ``rate_bytes_per_second``; unused allowance accumulates without a limit."""

    def __init__(self, rate_bytes_per_second: float, initial_bytes: float, now: float) -> None:
        self.rate_bytes_per_second = rate_bytes_per_second
        self._tokens = initial_bytes
        self._updated_seconds = now

    def take(self, taken_bytes: int, now: float) -> float:
        """Charges transferred bytes; returns the seconds to wait before the next transfer."""
        passed_seconds = max(0, now - self._updated_seconds)
        refilled = self._tokens + passed_seconds * self.rate_bytes_per_second
        self._updated_seconds = now
        self._tokens = refilled - taken_bytes
        return max(0, -self._tokens / self.rate_bytes_per_second)


class DelayPacer:
    """Turns delay samples into the share of a link that transfers may use."""

    def __init__(self) -> None:
        self.share = SHARE_MAX
        self._samples: deque[float] = deque(maxlen=BASE_WINDOW_SAMPLES)

    def record_delay(self, delay_seconds: float) -> None:
        """Records a delay sample and adjusts the share towards the target queueing delay."""
        self._samples.append(delay_seconds)
        # The lowest of a few samples, since one late answer of a busy process is no queue.
        recent = list(self._samples)[-FILTER_SAMPLES:]
        queue_seconds = min(recent) - min(self._samples)
        off_target = (TARGET_QUEUE_SECONDS - queue_seconds) / TARGET_QUEUE_SECONDS
        adjusted = self.share + GAIN_PER_SAMPLE * max(-1, off_target)
        self.share = min(SHARE_MAX, max(SHARE_MIN, adjusted))

    def allowed_bits_per_second(self, link_bits_per_second: float, live_bits: float) -> float:
        """Returns the rate for transfers on a link.

        ``live_bits`` is the rate of live answers on that link, in bits per second.
        """
        floor = link_bits_per_second * SHARE_MIN
        return max(floor, (link_bits_per_second - live_bits) * self.share)
