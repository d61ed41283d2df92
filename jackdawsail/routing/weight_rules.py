"""Which weight version may run a call while engines change over.

Load: every engine of a service loads new weights within some seconds. Until
shortly before the time in which the new version must be everywhere, engines on
the old one go on serving; then only the new one does.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.view import WeightTarget

CHANGEOVER_MARGIN_SECONDS = 1.0  # several times the longest admitted wait at an engine
RECALL_MARGIN_SECONDS = 0.5  # calls that still wait at an engine on old weights are taken back


@dataclass(frozen=True, slots=True)
class WeightRule:
    """The versions that may run a call now.

    ``least_version`` must be met; ``pinned_version`` (0: none) is that of a
    stream which goes on and must not mix versions.
    """

    model: str
    least_version: int = 0
    pinned_version: int = 0

    def allows(self, upstream: Upstream, now_seconds: float) -> bool:
        """Tells whether an engine may be used, by what is known of it."""
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
        """Returns the version that the engine must check; 0 leaves it open."""
        return self.pinned_version or self.least_version


def weight_rule(
    model: str,
    named: Sequence[WeightTarget],
    within_seconds: float,
    now_seconds: float,
    pinned_version: int = 0,
) -> WeightRule:
    """Makes the rule for a call that is placed now; each named version has its own bound."""
    due_seconds = now_seconds - within_seconds + CHANGEOVER_MARGIN_SECONDS
    return WeightRule(model, _highest_due(named, due_seconds), pinned_version)


def must_recall(
    version: int, named: Sequence[WeightTarget], within_seconds: float, now_seconds: float
) -> bool:
    """Tells whether a call that has not begun at an engine on a version must not begin there."""
    due_seconds = now_seconds - within_seconds + RECALL_MARGIN_SECONDS
    return 0 < version < _highest_due(named, due_seconds)


def _highest_due(named: Sequence[WeightTarget], due_seconds: float) -> int:
    due = [target.version for target in named if target.named_seconds <= due_seconds]
    return max(due, default=0)
