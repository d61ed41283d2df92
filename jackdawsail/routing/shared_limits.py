"""Limits on totals over all entries, which hold while entries are partitioned.

They bound the retries when many upstreams fail at the same time, and the calls that all
entries together send to an upstream that has just started or that names a limit.

Each entry uses its part of a limit, divided among all entries that are listed in the
site's state. A partitioned entry keeps the list that it knew. An entry that is not listed
has no part.
"""

from collections import deque
from dataclasses import dataclass, field

from jackdawsail.routing.sends import COLD_WINDOW_SECONDS, NAMED_WINDOW_SECONDS
from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import Upstream

SAFETY_SHARE = 0.7  # of the retry budget; the rest covers entries that restart or join
# Named limits are counted in calls in so many seconds, whose rest the window covers.
NAMED_COUNTED_SECONDS = 4.0
# So many calls are sent even below, as only an answer shows that the limit has ended.
NAMED_MIN_CALLS = 1
COLD_SHARE = 0.9  # of the limit on cold upstreams; the rest covers entries with an older list


@dataclass(slots=True)
class RetryShare:
    """This entry's share of a service's retry budget.

    In any span of ``window_seconds`` all entries together may repeat ``ratio`` of the
    first sends plus a fixed ``slack`` of sends.
    """

    ratio: float
    slack: float
    window_seconds: float
    _first_sends: deque[float] = field(default_factory=deque)
    _repeats: deque[float] = field(default_factory=deque)

    def record_first(self, now_seconds: float) -> None:
        """Records the first send of a call."""
        self._first_sends.append(now_seconds)

    def take(self, shares: EntryShares, now_seconds: float) -> bool:
        """Takes one repeat from the budget; returns False when it is used up."""
        self._drop_expired(now_seconds)
        own_slack = self.slack * self._slack_share(shares, now_seconds) * shares.fraction
        allowed = self.ratio * SAFETY_SHARE * len(self._first_sends) + own_slack
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_seconds)
        return True

    def _slack_share(self, shares: EntryShares, now_seconds: float) -> float:
        """Returns the share of this entry's part of the slack that it may use by now.

        Earlier processes of an unsettled entry may have used their part within the window. What
        it may use grows with its age, so that all its processes within a window use one part.
        """
        unsettled_seconds = shares.unsettled_seconds(self.window_seconds, now_seconds)
        if unsettled_seconds <= 0:
            return SAFETY_SHARE
        return (1 - SAFETY_SHARE) * max(0, 1 - unsettled_seconds / self.window_seconds)

    def _drop_expired(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - self.window_seconds
        for times in (self._first_sends, self._repeats):
            while times and times[0] < oldest_seconds:
                times.popleft()


@dataclass(frozen=True, slots=True)
class ColdBound:
    """Limit of the calls that all entries together send to one cold upstream in a second.

    It applies to every upstream at all times, since an upstream may become cold before
    the entries are informed.
    """

    ratio: float
    slack: float

    def allows(
        self, upstream: Upstream, calls_per_second: float, shares: EntryShares, now_seconds: float
    ) -> bool:
        """Returns whether this entry may send one more call now."""
        if calls_per_second <= 0:
            return True
        bound = calls_per_second * self.ratio + self.slack
        if upstream.is_cold(now_seconds):
            # A cold upstream fails above this rate, which is well below the limit.
            bound = calls_per_second
        return _has_unit(upstream, bound * COLD_SHARE, COLD_WINDOW_SECONDS, shares, now_seconds)


def keeps_named_limit(upstream: Upstream, shares: EntryShares, now_seconds: float) -> bool:
    """Returns whether one more call of this entry keeps the limit that an upstream names."""
    calls_per_second = upstream.limit.calls_per_second
    if calls_per_second is None:
        return True
    total = max(NAMED_MIN_CALLS, calls_per_second * NAMED_COUNTED_SECONDS)
    return _has_unit(upstream, total, NAMED_WINDOW_SECONDS, shares, now_seconds)


def _has_unit(
    upstream: Upstream,
    total: float,
    window_seconds: float,
    shares: EntryShares,
    now_seconds: float,
) -> bool:
    """Returns whether this entry's part of the calls in a window has a unit left."""
    if shares.unsettled_seconds(window_seconds, now_seconds) > 0:
        return False
    own_part = shares.part_of(total, upstream.registration.address, upstream.region)
    used = upstream.sends.used_since(now_seconds - window_seconds)
    return used + 1 <= own_part
