"""The announcements of weight versions that a process knows (pure, except for the log).

The time limit of a version counts from its announcement. Messages tell its age, and each
process converts it to a time on its own clock.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from jackdawsail import events
from jackdawsail.wire.site_messages import AnnouncedWeights

WEIGHTS_ANNOUNCED = events.define(325, 'info', 'weight version is announced in this process')


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """A weight version of a model, and when it was announced, on this process's clock."""

    version: int
    announced_seconds: float


Announcements = dict[str, tuple[WeightTarget, ...]]


@dataclass(frozen=True, slots=True)
class AnnouncementChange:
    """A version that was not known before."""

    model: str
    target: WeightTarget


def add_announcements(
    known: Announcements, told: Iterable[AnnouncedWeights], received_seconds: float
) -> list[AnnouncementChange]:
    """Adds the announcements of a message to the known ones; returns the changes.

    The versions of a model are in ascending order.
    """
    changes = []
    for weights in told:
        target = WeightTarget(weights.version, received_seconds - weights.age_seconds)
        held = known.get(weights.model, ())
        if all(each.version != target.version for each in held):
            changes.append(AnnouncementChange(weights.model, target))
            versions = sorted([*held, target], key=lambda each: each.version)
            known[weights.model] = tuple(versions)
    return changes


def ages_by_version(
    known: Announcements, told: Iterable[AnnouncedWeights], now_seconds: float
) -> dict[str, dict[int, float]]:
    """Returns the ages of the versions of a message as this process counts them, for the log.

    Example::

        ages_by_version({'m': (WeightTarget(2, 7.5),)}, [AnnouncedWeights('m', 2, 0.1)], 10.0)
        == {'m': {2: 2.5}}
    """
    told_versions = {(weights.model, weights.version) for weights in told}
    ages: dict[str, dict[int, float]] = {}
    for model, targets in known.items():
        for target in targets:
            if (model, target.version) in told_versions:
                age_seconds = round(now_seconds - target.announced_seconds, 3)
                ages.setdefault(model, {})[target.version] = age_seconds
    return ages


def log_announcements(
    changes: Sequence[AnnouncementChange], now_seconds: float, source: str
) -> None:
    """Logs the changes with the age of each version; ``source`` is where they come from."""
    for change in changes:
        events.log(
            WEIGHTS_ANNOUNCED,
            model=change.model,
            version=change.target.version,
            weights_age_seconds=round(now_seconds - change.target.announced_seconds, 3),
            source=source,
        )
