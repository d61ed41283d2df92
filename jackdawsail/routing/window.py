"""Start-up window: limits the concurrent requests of an upstream that has just started.

The limit starts at the cold limit. Each full round of completions at healthy latency
raises it. A new generation, a latency jump or a burst of errors resets it to the cold
limit. It does not grow while the upstream reports that it is cold.

Latency is measured in seconds per unit of work (a generated token, or a call) and
compared with the best mean of this generation.
"""

from dataclasses import dataclass

GROWTH_FACTOR = 2
JUMP_RATIO = 4.0  # mean latency to the best mean; above it the limit is reset
HEALTHY_RATIO = 2.0  # mean latency to the best mean; up to it the limit grows
MAX_ERRORS_IN_ROW = 3
SMOOTHING = 0.1  # weight of the newest latency
BASELINE_SAMPLES = 10


@dataclass(frozen=True, slots=True)
class WindowSettings:
    """The limits of a class of upstreams, in concurrent requests."""

    cold_limit: int
    capacity: int


class StartupWindow:
    """Adapts the concurrency limit of one upstream."""

    def __init__(self, settings: WindowSettings) -> None:
        self._settings = settings
        self._cold = False
        self._generation = ''
        self.reset()

    @property
    def limit(self) -> int:
        """Returns the number of requests that may run concurrently now."""
        return self._limit

    @property
    def is_full(self) -> bool:
        """Returns whether the limit has reached the capacity of the upstream."""
        return self._limit >= self._settings.capacity

    def reset(self) -> None:
        """Resets to the cold limit and discards the latencies."""
        self._limit = min(self._settings.cold_limit, self._settings.capacity)
        self._best_mean_seconds: float = 0
        self._mean_seconds: float = 0
        self._samples = 0
        self._good_in_round = 0
        self._errors_in_row = 0

    def observe_state(self, generation: str, cold: bool) -> None:
        """Applies the state that the upstream reports: its generation, and whether it is cold."""
        became_cold = cold and not self._cold
        if generation != self._generation or became_cold:
            self._generation = generation
            self.reset()
        self._cold = cold

    def record_progress(self, unit_seconds: float) -> None:
        """Records the latency of one unit of work; a jump resets the limit."""
        self._update_mean(unit_seconds)
        if self._mean_seconds > JUMP_RATIO * self._best_mean_seconds:
            self.reset()

    def record_success(self, concurrency: int) -> None:
        """Records a completion; it counts for growth only if it ran at half the limit or more."""
        self._errors_in_row = 0
        healthy = self._mean_seconds <= HEALTHY_RATIO * self._best_mean_seconds
        half_used = concurrency * 2 >= self._limit
        if healthy and half_used and not self._cold:
            self._count_good()

    def record_failure(self) -> None:
        """Records an error of the upstream; several in a row reset the limit."""
        self._errors_in_row += 1
        if self._errors_in_row >= MAX_ERRORS_IN_ROW:
            self.reset()

    def record_refusal(self) -> None:
        """Resets the limit, as the upstream refused a request for overload."""
        self.reset()

    def _update_mean(self, unit_seconds: float) -> None:
        self._samples += 1
        if self._samples == 1:
            self._mean_seconds = unit_seconds
        self._mean_seconds += SMOOTHING * (unit_seconds - self._mean_seconds)
        # Single latencies can be zero when events arrive together, so only their mean
        # is compared.
        if self._samples <= BASELINE_SAMPLES:
            self._best_mean_seconds = self._mean_seconds
        self._best_mean_seconds = min(self._best_mean_seconds, self._mean_seconds)

    def _count_good(self) -> None:
        self._good_in_round += 1
        if self._good_in_round < self._limit:
            return
        self._good_in_round = 0
        grown = max(self._limit + 1, int(self._limit * GROWTH_FACTOR))
        self._limit = min(grown, self._settings.capacity)
