"""Operators' calls about blocked parts of prompts, and the answer that lists them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ListBlockedParts:
    """Lists the parts of prompts that are blocked because they crash engines."""


@dataclass(frozen=True, slots=True)
class LiftBlockedPart:
    """Lifts the block of a part of prompts."""

    part: str


@dataclass(frozen=True, slots=True)
class BlockedPartsFound:
    """The blocked parts, the earliest first, and those that the stored list has already."""

    revision: int
    parts: tuple[str, ...]
    stored: tuple[str, ...]
