"""Decides which weight versions may run a call while engines change over.

In a changeover every engine of a service loads new weights within some seconds. No call may
begin on the old version after the time limit by which the new one must be in use everywhere.

A call that was sent cannot be held back by a later message: an engine that falls silent, or
whose link is slow, reads the call first. So the last call to an engine on the old version is
sent so long before the limit that it has begun by then, also at an engine that is silent
meanwhile, and a call that has not begun is recalled while a silent engine can still read that.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.view import WeightTarget

ENGINE_SILENCE_SECONDS = 2.0  # sound engines fall silent for about one second
BEGIN_SECONDS = 0.25  # from the send of a call until it begins, over twice the admitted wait
LAST_SEND_MARGIN_SECONDS = ENGINE_SILENCE_SECONDS + BEGIN_SECONDS  # before the time limit
RECALL_MARGIN_SECONDS = ENGINE_SILENCE_SECONDS + 0.05  # before it, with the way to the engine


@dataclass(frozen=True, slots=True)
class WeightRule:
    """The weight versions that may run a call now.

    The version must be at least ``least_version``. ``pinned_version`` (0: none) is the
    only version that may continue a stream, as a stream must not mix versions.
    """

    model: str
    least_version: int = 0
    pinned_version: int = 0

    def allows(self, upstream: Upstream, now_seconds: float) -> bool:
        """Returns whether an engine may run the call, judging by its last known state."""
        if upstream.is_switching(now_seconds):
            return False
        version = upstream.version_of(self.model, now_seconds)
        if not version:
            return False
        if self.pinned_version and version != self.pinned_version:
            return False
        return version >= self.least_version

    @property
    def expected_version(self) -> int:
        """Returns the version that the engine must verify; 0 allows any."""
        return self.pinned_version or self.least_version


def weight_rule(
    model: str,
    targets: Sequence[WeightTarget],
    within_seconds: float,
    now_seconds: float,
    pinned_version: int = 0,
) -> WeightRule:
    """Returns the rule for a call that is placed now.

    Each announced version must be in use everywhere ``within_seconds`` after its announcement.
    """
    due_seconds = now_seconds - within_seconds + LAST_SEND_MARGIN_SECONDS
    return WeightRule(model, _highest_due(targets, due_seconds), pinned_version)


def expiry_seconds(version: int, targets: Sequence[WeightTarget], within_seconds: float) -> float:
    """Returns the time by which no call may begin on a version any more.

    It is infinite while no newer version is announced.
    """
    newer = (target.announced_seconds for target in targets if target.version > version)
    return min(newer, default=math.inf) + within_seconds


def _highest_due(targets: Sequence[WeightTarget], due_seconds: float) -> int:
    due_versions = [
        target.version for target in targets if target.announced_seconds <= due_seconds
    ]
    return max(due_versions, default=0)
