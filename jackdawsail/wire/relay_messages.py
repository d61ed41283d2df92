"""Messages between a regional relay and the control leader.

A relay stands for the entries of its region: it reports which of them are alive
and what has changed, and holds the leases of their data centres for them.
"""

from dataclasses import dataclass, field

from jackdawsail.wire.codec import message
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import LeaseRequest


@dataclass(frozen=True, slots=True)
class RelayedEntry:
    """An entry that the leader does not know as it is; ``number`` is the relay's own."""

    number: int
    identity: Identity
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class LaggingEntry:
    """An entry that lacks the relay's revision, or has agents that do."""

    number: int
    in_force_revision: int
    lacking_agents: int


@message('relay-request')
class RelayRequest:
    """Relay to the control leader, every half second.

    Every entry in ``alive`` holds ``revision`` with all its agents, unless it is
    in ``lagging`` as well.
    """

    sequence: int
    revision: int
    fresh: list[RelayedEntry]
    alive: list[int]
    lagging: list[LaggingEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ZoneLease:
    """The lease of one data centre; zero seconds: it is out of service."""

    zone: str
    lease_seconds: float


@message('relay-grant')
class RelayGrant:
    """Control leader to relay; leases count from when the relay sent the request.

    ``unknown`` lists the entries that the leader must hear of anew.
    """

    sequence: int
    zones: list[ZoneLease]
    trackers: list[int]
    unknown: list[int]
    number: int
    directory_revision: int
