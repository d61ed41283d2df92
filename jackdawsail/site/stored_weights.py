"""The announced weight versions in the replicated state of a site, and their ages (pure)."""

from collections.abc import Iterable
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class StoredWeights:
    """An announced weight version; its announcement is at least ``age_seconds`` old.

    The age is that of the last time when it was stored. It is None in the logs and snapshots
    of releases that did not store it.
    """

    model: str
    version: int
    age_seconds: float | None = None


WeightsTuple = tuple[StoredWeights, ...]  # sorted by model and version


def with_announced(held: WeightsTuple, announced: StoredWeights) -> WeightsTuple:
    """Returns the weights with a version added if it is newer than those of its model."""
    if any(each.version >= announced.version for each in held if each.model == announced.model):
        return held
    return tuple(sorted((*held, announced), key=_sort_key))


def oldest_versions(held: WeightsTuple) -> dict[str, int]:
    """Returns the oldest stored version of each model."""
    return {each.model: each.version for each in reversed(held)}


def with_ages(held: WeightsTuple, told: Iterable[StoredWeights]) -> WeightsTuple:
    """Returns the weights with the told ages; none becomes younger.

    Of each model, versions that were not told are dropped if they are older than a told one.

    Example::

        held = (StoredWeights('m', 2, 6.0), StoredWeights('m', 3, 1.0), StoredWeights('m', 4, 0))
        with_ages(held, [StoredWeights('m', 3, 5.0)])
        == (StoredWeights('m', 3, 5.0), StoredWeights('m', 4, 0))
    """
    told_by_version = {_sort_key(each): each for each in told}
    # The highest version of each model that is held and told.
    newest_told = {each.model: each.version for each in held if _sort_key(each) in told_by_version}
    return tuple(
        _aged(each, told_by_version.get(_sort_key(each), each))
        for each in held
        if _sort_key(each) in told_by_version or each.version > newest_told.get(each.model, 0)
    )


def _aged(held: StoredWeights, told: StoredWeights) -> StoredWeights:
    if told.age_seconds is None or (held.age_seconds or 0) > told.age_seconds:
        return held
    return replace(held, age_seconds=told.age_seconds)


def _sort_key(weights: StoredWeights) -> tuple[str, int]:
    return weights.model, weights.version
