"""Limit on the channels that all entries together have open to one upstream.

An upstream resets connections beyond the ``max_channels`` of its service, and a call that may
not be repeated is lost with them. Each entry keeps to its part, divided as the other limits on
sums over all entries. Connecting, used and idle channels count alike.
"""

from dataclasses import dataclass

from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import Upstream

# Of the limit; the rest covers entries with an older list and the connections of agents.
CHANNEL_SHARE = 0.9
# An upstream closes the idle channels of a process that is gone within this time, and entries
# with an older list receive the current one.
CHANNEL_WINDOW_SECONDS = 2.0
FIRST_HOLD_SECONDS = 0.5
MAX_HOLD_SECONDS = 4.0


def own_channels(
    max_channels: int, shares: EntryShares, upstream: Upstream, now_seconds: float
) -> int:
    """Returns how many channels to an upstream this entry may have open.

    An entry that has just joined may use one at first and its whole part after
    CHANNEL_WINDOW_SECONDS, as others may still use a part of it.
    """
    total = max_channels * CHANNEL_SHARE
    part = shares.part_of(total, upstream.registration.address, upstream.region)
    unsettled_seconds = shares.unsettled_seconds(CHANNEL_WINDOW_SECONDS, now_seconds)
    if unsettled_seconds <= 0 or not part:
        return part
    settled_share = max(0, 1 - unsettled_seconds / CHANNEL_WINDOW_SECONDS)
    return max(1, int(part * settled_share))


def idle_to_close(open_count: int, idle_count: int, part: int) -> int | None:
    """Returns how many idle channels to close before one more is opened; None if none may be.

    Example: with 3 channels open, of which 1 is idle, and a part of 3 it is 1.
    """
    excess = max(0, open_count + 1 - part)
    return excess if excess <= idle_count and part else None


@dataclass(slots=True)
class ConnectHold:
    """A time without new channels after an upstream has reset one right after it was opened.

    The upstream may accept less than its service allows, as it does while its queue is long.
    The time doubles with each reset after a hold, up to MAX_HOLD_SECONDS, until an answer
    arrives on a new channel.
    """

    until_seconds: float = 0
    holds: int = 0

    def record_reset(self, now_seconds: float) -> bool:
        """Starts a hold; returns False if one is active, as its cause is the same."""
        if self.is_active(now_seconds):
            return False
        self.until_seconds = now_seconds + min(
            MAX_HOLD_SECONDS, FIRST_HOLD_SECONDS * 2**self.holds
        )
        self.holds += 1
        return True

    def is_active(self, now_seconds: float) -> bool:
        """Returns whether no new channel may be opened."""
        return now_seconds < self.until_seconds
