"""Shows whether engines keep prefixes, from the first events of their calls.

Nothing else says it: neither documents nor reports have a field for it. Two groups of calls
are compared: those whose prefix the engine ran recently, and the others. Each call counts by how
much later its first event came than its prompt takes to read.
"""

import math
from dataclasses import dataclass, field

MIN_CALLS = 50
MEMORY = 0.99  # of the older calls with each new one, so that about the last 100 count
STANDARD_ERRORS = 3.0
# A shorter time is lost in the noise of first events, and no call is placed by it.
MIN_SAVING_SECONDS = 0.005


@dataclass(slots=True)
class _Excess:
    """Decaying count, sum and sum of squares of the excess times of a group."""

    count: float = 0
    total: float = 0
    squares: float = 0

    @property
    def mean(self) -> float:
        return self.total / self.count

    @property
    def mean_variance(self) -> float:
        return max(0, self.squares / self.count - self.mean**2) / self.count

    def record(self, excess_seconds: float) -> None:
        self.count = self.count * MEMORY + 1
        self.total = self.total * MEMORY + excess_seconds
        self.squares = self.squares * MEMORY + excess_seconds**2


@dataclass(slots=True)
class PrefixEvidence:
    """The two groups of one service's calls.

    ``saving_seconds`` is how much sooner first events come after a recent run of the prefix, 0
    unless that is certain by STANDARD_ERRORS and over MIN_SAVING_SECONDS.
    """

    saving_seconds: float = 0
    _recent: _Excess = field(default_factory=_Excess)
    _other: _Excess = field(default_factory=_Excess)

    def record(self, excess_seconds: float, *, is_recent: bool) -> None:
        """Records a first event, by the time after its prompt could have been read."""
        group = self._recent if is_recent else self._other
        group.record(excess_seconds)
        self.saving_seconds = self._certain_saving_seconds()

    def _certain_saving_seconds(self) -> float:
        recent, other = self._recent, self._other
        if min(recent.count, other.count) < MIN_CALLS:
            return 0
        difference_seconds = other.mean - recent.mean
        error_seconds = math.sqrt(recent.mean_variance + other.mean_variance)
        certain_seconds = difference_seconds - STANDARD_ERRORS * error_seconds
        return difference_seconds if certain_seconds > MIN_SAVING_SECONDS else 0
