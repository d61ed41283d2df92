"""Messages between a regional relay and the control leader.

A relay acts for the entries of its region: it reports which of them are alive and
what has changed, and holds the leases of their data centres for them.
"""

from dataclasses import dataclass, field

from jackdawsail.wire.codec import message
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import LeaseRequest


@dataclass(frozen=True, slots=True)
class RelayedEntry:
    """A new or changed entry, in full; ``number`` identifies it in the relay's later requests."""

    number: int
    identity: Identity
    request: LeaseRequest


@dataclass(frozen=True, slots=True)
class LaggingEntry:
    """An entry that has not reached the relay's revision, or has agents that have not."""

    number: int
    in_force_revision: int
    lacking_agents: int


@message('relay-request')
class RelayRequest:
    """Relay to the control leader, every half second: requests the leases of a region.

    Every entry in ``alive`` has reached ``revision`` with all its agents, unless it
    is also in ``lagging``.
    """

    sequence: int
    revision: int
    fresh: list[RelayedEntry]
    alive: list[int]
    lagging: list[LaggingEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ZoneLease:
    """The lease of one data centre, of zero seconds if it is out of service."""

    zone: str
    lease_seconds: float


@message('relay-grant')
class RelayGrant:
    """Control leader to relay; the leases run from the time when the relay sent the request.

    ``unknown`` lists the entries that the leader does not know; the relay must send
    them in full again.
    """

    sequence: int
    zones: list[ZoneLease]
    trackers: list[int]
    unknown: list[int]
    number: int
    directory_revision: int
