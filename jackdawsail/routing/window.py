"""Start-up window: how many requests a just started upstream is given at once.

The limit begins at the cold limit. Each full round of completions at good
latency raises it; a new generation, a latency jump or a burst of errors puts it
back to the cold limit. While the upstream says that it is cold, the limit stays.

Latency is counted as seconds per unit of work (a generated token, or a call),
against the best mean that was seen in this generation.
"""

from dataclasses import dataclass

GROWTH_FACTOR = 2
JUMP_RATIO = 4.0
HEALTHY_RATIO = 2.0
ERROR_BURST = 3
SMOOTHING = 0.1
FIRST_SAMPLES = 10


@dataclass(frozen=True, slots=True)
class WindowSettings:
    """The limits of one class of upstream, in concurrent requests."""

    cold_limit: int
    capacity: int


class StartupWindow:
    """Decides the concurrency limit of one upstream."""

    def __init__(self, settings: WindowSettings) -> None:
        self._settings = settings
        self._cold = False
        self._generation = ''
        self.reset()

    @property
    def limit(self) -> int:
        """Returns how many requests may run at once now."""
        return self._limit

    @property
    def is_full(self) -> bool:
        """Tells whether the upstream gets its whole capacity."""
        return self._limit >= self._settings.capacity

    def reset(self) -> None:
        """Goes back to the cold limit and forgets the latencies."""
        self._limit = min(self._settings.cold_limit, self._settings.capacity)
        self._best_seconds: float = 0
        self._smooth_seconds: float = 0
        self._samples = 0
        self._good_in_round = 0
        self._errors_in_row = 0

    def observe_state(self, generation: str, cold: bool) -> None:
        """Takes the upstream's own word: its generation, and whether it is cold."""
        became_cold = cold and not self._cold
        if generation != self._generation or became_cold:
            self._generation = generation
            self.reset()
        self._cold = cold

    def progressed(self, unit_seconds: float) -> None:
        """Takes one latency while work goes on; a jump puts the limit back."""
        self._learn(unit_seconds)
        if self._smooth_seconds > JUMP_RATIO * self._best_seconds:
            self.reset()

    def succeeded(self, concurrency: int) -> None:
        """Counts one completion and the concurrency at which it ran."""
        self._errors_in_row = 0
        healthy = self._smooth_seconds <= HEALTHY_RATIO * self._best_seconds
        used = concurrency * 2 >= self._limit
        if healthy and used and not self._cold:
            self._count_good()

    def failed(self) -> None:
        """Counts one error or refusal of the upstream."""
        self._errors_in_row += 1
        if self._errors_in_row >= ERROR_BURST:
            self.reset()

    def refused(self) -> None:
        """The upstream refused load: it bears less than it was given."""
        self.reset()

    def _learn(self, unit_seconds: float) -> None:
        self._samples += 1
        if self._samples == 1:
            self._smooth_seconds = unit_seconds
        self._smooth_seconds += SMOOTHING * (unit_seconds - self._smooth_seconds)
        # Single latencies vary down to zero, where events arrive together; only
        # their mean is a measure.
        if self._samples <= FIRST_SAMPLES:
            self._best_seconds = self._smooth_seconds
        self._best_seconds = min(self._best_seconds, self._smooth_seconds)

    def _count_good(self) -> None:
        self._good_in_round += 1
        if self._good_in_round < self._limit:
            return
        self._good_in_round = 0
        grown = max(self._limit + 1, int(self._limit * GROWTH_FACTOR))
        self._limit = min(grown, self._settings.capacity)
