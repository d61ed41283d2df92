"""Keeps the ages of announced weights in the site's state, which outlives restarts.

The time limit of a version counts from its announcement. The clocks of processes end with
them, so if all control hosts are restarted at once, the state is the only source of that time
for processes that start later. While they are down an age does not grow, but the core is
unstable then, and no limit counts across that.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from returns.result import Failure, Result

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.routing.weight_rules import LAST_SEND_MARGIN_SECONDS
from jackdawsail.site.announcements import Announcements
from jackdawsail.site.machine import store_weight_ages
from jackdawsail.site.stored_weights import StoredWeights

MIN_STORED_AGE_SECONDS = 1.0  # of a version that is due from its announcement on

WEIGHT_AGES_STORED = events.define(
    253, 'info', 'ages of announced weights are added to the replicated state'
)
WEIGHT_AGES_NOT_STORED = events.define(
    254, 'warning', 'addition of the ages of announced weights was not confirmed'
)


def ages_to_store(
    stored: Sequence[StoredWeights],
    known: Announcements,
    within_seconds: float,
    now_seconds: float,
) -> list[StoredWeights]:
    """Returns the weights with their present ages if the state needs them, or an empty list.

    It needs them while a version is not due, at each call, so that a restart of all control
    hosts sets its limit back by little. A version is due when entries send no more calls to
    older ones; those are dropped then. The age of a due version is stored each time it has
    doubled, for the case that the time limit is made longer.

    Example::

        ages_to_store([StoredWeights('m', 2, 0)], {'m': (WeightTarget(2, 10.0),)}, 8.0, 11.5)
        == [StoredWeights('m', 2, 1.5)]
    """
    due_age_seconds = within_seconds - LAST_SEND_MARGIN_SECONDS
    present = [_aged_now(each, known, now_seconds) for each in stored]
    due_versions = {each.model: each.version for each in present if _age(each) >= due_age_seconds}
    is_outdated = any(
        _is_outdated(before, after, due_age_seconds)
        for before, after in zip(stored, present, strict=True)
    )
    kept = [each for each in present if each.version >= due_versions.get(each.model, 0)]
    return kept if is_outdated else []


def _aged_now(weights: StoredWeights, known: Announcements, now_seconds: float) -> StoredWeights:
    for target in known.get(weights.model, ()):
        if target.version == weights.version:
            return replace(weights, age_seconds=now_seconds - target.announced_seconds)
    return weights


def _is_outdated(before: StoredWeights, after: StoredWeights, due_age_seconds: float) -> bool:
    if before.age_seconds is None or before.age_seconds < due_age_seconds:
        return before != after
    return _age(after) >= max(2 * before.age_seconds, MIN_STORED_AGE_SECONDS)


def _age(weights: StoredWeights) -> float:
    """Returns the age of weights; 0 if it is not known."""
    return weights.age_seconds or 0


@dataclass(slots=True)
class WeightAges:
    """Proposes the ages of announced weights while this control host is the leader."""

    clock: Clock
    replicator: Replicator
    fanout: SiteFanout

    def update(self, within_seconds: float) -> None:
        """Proposes the ages that the state needs now.

        ``within_seconds`` is the time within which every engine must serve announced weights.
        """
        if not self.replicator.is_leader():
            return
        fanout = self.fanout
        ages = ages_to_store(
            fanout.machine.state.weights,
            fanout.announcements,
            within_seconds,
            self.clock.seconds(),
        )
        if not ages:
            return
        proposed: Any = self.replicator.propose(store_weight_ages(ages))
        proposed.addCallback(_log_outcome, ages).addErrback(events.log_failure)


def _log_outcome(outcome: Result[Any, ProposeError], ages: Sequence[StoredWeights]) -> None:
    """Logs the outcome; if it was not confirmed, the next update proposes the ages again."""
    if isinstance(outcome, Failure):
        events.log(WEIGHT_AGES_NOT_STORED, reason=outcome.failure().reason)
        return
    details = {f'{each.model} {each.version}': round(_age(each), 3) for each in ages}
    events.log(WEIGHT_AGES_STORED, ages_seconds=details)
