"""The announcements of weight versions that a process knows (pure, except for the log).

The time limit of a version counts from its announcement. Messages tell its age, and each
process converts it to a time on its own clock. That time can be too late, as a message was
delayed or its sender has restarted since, but never too early. A known time therefore only
moves to an earlier one.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from jackdawsail import events
from jackdawsail.wire.site_messages import AnnouncedWeights

EARLIER_LOG_SECONDS = 0.05  # a smaller difference is the time that messages were on the way

WEIGHTS_ANNOUNCED = events.define(325, 'info', 'weight version is announced in this process')
WEIGHTS_ANNOUNCED_EARLIER = events.define(
    326, 'info', 'weight version was announced earlier than this process knew'
)


@dataclass(frozen=True, slots=True)
class WeightTarget:
    """A weight version of a model, and when it was announced, on this process's clock."""

    version: int
    announced_seconds: float


Announcements = dict[str, tuple[WeightTarget, ...]]


@dataclass(frozen=True, slots=True)
class AnnouncementChange:
    """A version that was not known, or that was announced earlier than was known.

    ``earlier_seconds`` is how much earlier, None for a version that was not known.
    """

    model: str
    target: WeightTarget
    earlier_seconds: float | None = None


def add_announcements(
    known: Announcements, told: Iterable[AnnouncedWeights], received_seconds: float
) -> list[AnnouncementChange]:
    """Adds the announcements of a message to the known ones; returns the changes.

    Of several times of a version the earliest is kept. The versions of a model are in
    ascending order.
    """
    changes = []
    for weights in told:
        target = WeightTarget(weights.version, received_seconds - weights.age_seconds)
        by_version = {each.version: each for each in known.get(weights.model, ())}
        held = by_version.get(target.version)
        if held is not None and held.announced_seconds <= target.announced_seconds:
            continue
        earlier_seconds = (
            None if held is None else held.announced_seconds - target.announced_seconds
        )
        changes.append(AnnouncementChange(weights.model, target, earlier_seconds))
        by_version[target.version] = target
        known[weights.model] = tuple(by_version[version] for version in sorted(by_version))
    return changes


def announced_weights(known: Announcements, now_seconds: float) -> list[AnnouncedWeights]:
    """Returns the known announcements with their ages, for a message that is sent now."""
    return [
        AnnouncedWeights(model, target.version, now_seconds - target.announced_seconds)
        for model, targets in known.items()
        for target in targets
    ]


def without_superseded(known: Announcements, oldest_versions: Mapping[str, int]) -> Announcements:
    """Returns the announcements without versions below the oldest one of their model.

    All versions of a model that is not among ``oldest_versions`` are kept.
    """
    return {
        model: tuple(each for each in targets if each.version >= oldest_versions.get(model, 0))
        for model, targets in known.items()
    }


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
        details = {
            'model': change.model,
            'version': change.target.version,
            'weights_age_seconds': round(now_seconds - change.target.announced_seconds, 3),
            'source': source,
        }
        if change.earlier_seconds is None:
            events.log(WEIGHTS_ANNOUNCED, **details)
        elif change.earlier_seconds >= EARLIER_LOG_SECONDS:
            earlier_seconds = round(change.earlier_seconds, 3)
            events.log(WEIGHTS_ANNOUNCED_EARLIER, earlier_seconds=earlier_seconds, **details)
