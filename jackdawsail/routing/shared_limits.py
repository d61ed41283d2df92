"""Bounds on sums over all entries, kept by shares that add up while entries are cut off.

Load: retries after failures when many upstreams fail at once, and the calls
that all entries send to one upstream that has just started.

Each entry takes an equal part of the bound, divided by the number of entries
that it knows. An entry that is cut off keeps the number it knew; one that is
new has been announced to the others before callers reach it.
"""

from collections import deque
from dataclasses import dataclass, field

from jackdawsail.routing.upstreams import Upstream

SAFETY_SHARE = 0.7  # of a bound that is handed out; the rest covers entries that join
COLD_SPAN_SECONDS = 1.0  # the bound on cold upstreams counts calls in any second


@dataclass(slots=True)
class RetryShare:
    """This entry's part of a service's retry budget.

    ``ratio`` of the first sends and a fixed ``slack`` over all entries may be
    repeats, in any span of ``window_seconds``.
    """

    ratio: float
    slack: float
    window_seconds: float
    _firsts: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def note_first(self, now_seconds: float) -> None:
        """Counts a call's first send."""
        self._firsts.append(now_seconds)

    def take(self, entries: int, now_seconds: float) -> bool:
        """Takes one repeat from the budget; False when it is used up."""
        self._forget(now_seconds)
        shared = self.slack * SAFETY_SHARE / max(1, entries)
        allowed = self.ratio * SAFETY_SHARE * len(self._firsts) + shared
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_seconds)
        return True

    def _forget(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - self.window_seconds
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest_seconds:
                times.popleft()


@dataclass(frozen=True, slots=True)
class ColdBound:
    """How many calls all entries together may send to one cold upstream in a second.

    It is kept for every upstream at all times, since one may turn cold before
    anybody is told.
    """

    ratio: float
    slack: float

    def allows(
        self, upstream: Upstream, calls_per_second: float, entries: int, now_seconds: float
    ) -> bool:
        """Tells whether this entry may send one more call now."""
        if calls_per_second <= 0:
            return True
        bound = calls_per_second * self.ratio + self.slack
        if upstream.is_cold(now_seconds):
            # Beyond this rate a cold upstream fails, well below the bound.
            bound = calls_per_second
        own_share = max(1.0, bound * SAFETY_SHARE / max(1, entries))
        recent = upstream.sends_since(now_seconds - COLD_SPAN_SECONDS)
        return recent + 1 <= own_share
