"""The rules of the proxy, without I/O: which of them apply to a connection, and how."""

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

    ``stall`` holds bytes back until the rule is removed. ``drop`` discards them and
    aborts the connection when the rule is removed. ``cut`` aborts connections and
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
    """The combined effect of all rules that apply to one direction."""

    delay_seconds: float = 0
    stall: bool = False
    drop: bool = False
    cut: bool = False
    corrupt_share: float = 0


def matches(selector: str, party: Party) -> bool:
    """Returns whether a rule's selector matches a party: its name, zone, region or any."""
    return selector in {ANY, party.name, party.zone, party.region}


def matching_rules(rules: Iterable[Rule], source: Party, target: Party) -> list[Rule]:
    """Returns the rules that apply to bytes from source to target."""
    return [
        rule for rule in rules if matches(rule.source, source) and matches(rule.target, target)
    ]


def combine(rules: list[Rule]) -> Effect:
    """Combines rules: delays add up; flags and the corrupt share take the strongest."""
    return Effect(
        delay_seconds=sum(rule.delay_seconds for rule in rules),
        stall=any(rule.stall for rule in rules),
        drop=any(rule.drop for rule in rules),
        cut=any(rule.cut for rule in rules),
        corrupt_share=max((rule.corrupt_share for rule in rules), default=0),
    )


class SharedLink:
    """A link with a fixed rate, on which the pieces of all connections queue."""

    def __init__(self, bits_per_second: float) -> None:
        self._bits_per_second = bits_per_second
        self._free_at_seconds: float = 0

    def reserve(self, size_bytes: int, now_seconds: float) -> float:
        """Reserves the link for a piece and returns the time at which its last bit has passed."""
        start_seconds = max(now_seconds, self._free_at_seconds)
        self._free_at_seconds = start_seconds + size_bytes * BITS_PER_BYTE / self._bits_per_second
        return self._free_at_seconds
