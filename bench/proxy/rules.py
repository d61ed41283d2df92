"""Pure part of the proxy: which rules apply to bytes from one place to another."""

from collections.abc import Iterable
from dataclasses import dataclass

ANY = '*'
BITS_PER_BYTE = 8


@dataclass(frozen=True)
class Party:
    """One end of a connection."""

    name: str
    zone: str
    region: str


@dataclass(frozen=True)
class Rule:
    """What happens to bytes from ``source`` to ``target``; shares are probabilities.

    ``stall`` holds bytes back until the rule is lifted. ``drop`` discards them and
    cuts the connection when the rule is lifted. ``cut`` ends connections and
    refuses new ones. ``corrupt_share`` flips one bit in that share of the pieces.
    """

    source: str
    target: str
    delay_seconds: float = 0
    bits_per_second: float = 0
    stall: bool = False
    drop: bool = False
    cut: bool = False
    corrupt_share: float = 0


@dataclass(frozen=True)
class Effect:
    """The rules of one direction added up."""

    delay_seconds: float = 0
    stall: bool = False
    drop: bool = False
    cut: bool = False
    corrupt_share: float = 0


def names(selector: str, party: Party) -> bool:
    """Tells whether a selector of a rule names a party."""
    return selector in {ANY, party.name, party.zone, party.region}


def applying(rules: Iterable[Rule], source: Party, target: Party) -> list[Rule]:
    """Returns the rules for bytes from source to target."""
    return [rule for rule in rules if names(rule.source, source) and names(rule.target, target)]


def combine(rules: list[Rule]) -> Effect:
    """Adds rules up: delays sum, shares and switches take the strongest."""
    return Effect(
        delay_seconds=sum(rule.delay_seconds for rule in rules),
        stall=any(rule.stall for rule in rules),
        drop=any(rule.drop for rule in rules),
        cut=any(rule.cut for rule in rules),
        corrupt_share=max((rule.corrupt_share for rule in rules), default=0),
    )


class SharedLink:
    """A link of a fixed rate on which all pieces queue one after the other."""

    def __init__(self, bits_per_second: float) -> None:
        self._bits_per_second = bits_per_second
        self._free_seconds: float = 0

    def passes_at(self, size_bytes: int, now_seconds: float) -> float:
        """Takes room for a piece and returns when its last bit has passed."""
        begin = max(now_seconds, self._free_seconds)
        self._free_seconds = begin + size_bytes * BITS_PER_BYTE / self._bits_per_second
        return self._free_seconds
