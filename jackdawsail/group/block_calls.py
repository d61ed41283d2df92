"""Operators' calls about blocked traits of calls, and the answer that lists them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListBlockedTraits:
    """Lists the traits of calls that are blocked because they crash engines."""


@dataclass(frozen=True, slots=True)
class LiftBlockedTrait:
    """Lifts the block of a trait of calls."""

    trait: str


@dataclass(frozen=True, slots=True)
class BlockedTraitsFound:
    """The blocked traits, the earliest first, and those that the stored list has already."""

    revision: int
    traits: tuple[str, ...]
    stored: tuple[str, ...]
