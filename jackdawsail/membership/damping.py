"""Flap damping: excludes an upstream that keeps restarting or disconnecting.

Each loss or restart adds a penalty that decays with HALF_LIFE_SECONDS. The upstream is
suppressed from SUPPRESS_AT until its penalty has fallen below REUSE_BELOW.
"""

PENALTY_PER_FLAP = 1.0
SUPPRESS_AT = 3.0
REUSE_BELOW = 1.0
HALF_LIFE_SECONDS = 8.0


class FlapDamper:
    """Keeps the decaying penalty of one upstream."""

    def __init__(self) -> None:
        self._penalty: float = 0
        self._updated_seconds: float = 0
        self._suppressed = False

    def record_flap(self, now_seconds: float) -> None:
        """Records that the upstream was lost, or has restarted."""
        self._decay(now_seconds)
        self._penalty += PENALTY_PER_FLAP
        self._suppressed = self._suppressed or self._penalty >= SUPPRESS_AT

    def is_suppressed(self, now_seconds: float) -> bool:
        """Returns whether the upstream is excluded now."""
        self._decay(now_seconds)
        if self._penalty < REUSE_BELOW:
            self._suppressed = False
        return self._suppressed

    def _decay(self, now_seconds: float) -> None:
        elapsed_seconds = max(0, now_seconds - self._updated_seconds)
        self._penalty *= 0.5 ** (elapsed_seconds / HALF_LIFE_SECONDS)
        self._updated_seconds = now_seconds
