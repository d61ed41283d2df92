"""The part of the origin's budget that one data centre may use (pure).

The byte budget is a hard limit: a data centre that has used its share of
``ORIGIN_COPIES_MAX`` copies fetches from other data centres only. The request
budget and ``Retry-After`` limit how often fetches from the origin are ordered.
"""

import random

ORIGIN_COPIES_MAX = 4.0
SAME_CORRUPT_MAX = 2
BACKOFF_FIRST_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 30.0
REQUESTS_PER_SECOND = 20.0
REQUESTS_BURST = 20.0


class OriginBudget:
    """Counts bytes, requests and pauses of one release in one data centre."""

    def __init__(self, size_bytes: int, fetching_zones: int, rng: random.Random) -> None:
        self.failed_reason = ''
        self._limit_bytes = ORIGIN_COPIES_MAX * size_bytes / max(1, fetching_zones)
        self._spent_bytes = 0
        self._reserved_bytes = 0
        self._rng = rng
        self._paused_until_seconds = float(0)
        self._backoff_seconds = BACKOFF_FIRST_SECONDS
        self._request_tokens = REQUESTS_BURST
        self._refilled_seconds = float(0)
        self._corrupt_reasons: dict[int, list[str]] = {}

    @property
    def spent_bytes(self) -> int:
        """Returns the bytes that are known to have been fetched from the origin."""
        return self._spent_bytes

    def allows(self, length_bytes: int, now: float) -> bool:
        """Returns whether a fetch of this length may be ordered now."""
        if self.failed_reason or now < self._paused_until_seconds:
            return False
        self._refill(now)
        used_bytes = self._spent_bytes + self._reserved_bytes
        return self._request_tokens >= 1 and used_bytes + length_bytes <= self._limit_bytes

    def reserve(self, length_bytes: int) -> None:
        """Reserves the bytes and the request of an ordered fetch."""
        self._reserved_bytes += length_bytes
        self._request_tokens -= 1

    def settle(self, length_bytes: int, drawn_bytes: int) -> None:
        """Replaces the reservation of an ended fetch by the bytes that it transferred."""
        self._reserved_bytes = max(0, self._reserved_bytes - length_bytes)
        self._spent_bytes += drawn_bytes

    def raise_spent(self, spent_bytes: int) -> None:
        """Raises the spent bytes to the sum that the agents' reports give."""
        self._spent_bytes = max(self._spent_bytes, spent_bytes)

    def reset_backoff(self) -> None:
        """Returns to the shortest backoff, after a success."""
        self._backoff_seconds = BACKOFF_FIRST_SECONDS

    def pause(self, retry_after_seconds: float, now: float) -> None:
        """Allows no fetch for the longer of Retry-After and a jittered backoff.

        A call during a pause has no effect.
        """
        if now < self._paused_until_seconds:
            return
        jittered_seconds = self._backoff_seconds * self._rng.uniform(0.5, 1)
        self._backoff_seconds = min(BACKOFF_MAX_SECONDS, self._backoff_seconds * 2)
        self._paused_until_seconds = now + max(retry_after_seconds, jittered_seconds)

    def record_corrupt(self, chunk: int, reason: str) -> None:
        """Records wrong content of a chunk; a reason for a wrong digest contains it.

        The same reason ``SAME_CORRUPT_MAX`` times is no transfer error, and fails the release.
        """
        reasons = self._corrupt_reasons.setdefault(chunk, [])
        reasons.append(reason)
        if reasons.count(reason) >= SAME_CORRUPT_MAX:
            self.failed_reason = f'chunk {chunk}: {reason}'

    def has_corrupt(self, chunk: int) -> bool:
        """Returns whether the origin has sent wrong content for a chunk."""
        return chunk in self._corrupt_reasons

    def record_changed(self, reason: str) -> None:
        """Fails the release, since the origin serves other content under its name."""
        self.failed_reason = reason or 'origin content has changed'

    def _refill(self, now: float) -> None:
        passed_seconds = now - self._refilled_seconds
        self._refilled_seconds = now
        refilled = self._request_tokens + passed_seconds * REQUESTS_PER_SECOND
        self._request_tokens = min(REQUESTS_BURST, refilled)
