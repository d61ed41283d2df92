"""Messages of membership, leases and the fan-out of the replicated state.

State flows control (or relay) to entry to agent as numbered revisions of flat
records: the key is ``"<kind>/<name>"``, the value a plain mapping.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from jackdawsail.wire.codec import message


class UpstreamKind(StrEnum):
    """What stands behind an agent."""

    engine = 'engine'
    service = 'service'


class UpstreamState(StrEnum):
    """Where an upstream stands in its life."""

    cold = 'cold'
    loading = 'loading'
    serving = 'serving'
    draining = 'draining'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """What an agent reports of its upstream; every count is of requests."""

    state: UpstreamState
    release: str
    running: int
    queued: int
    limit: int
    queued_tokens: int
    tokens_per_second: float


@message('announce')
class Announce:
    """Agent to entry, first on each link: what the agent offers."""

    upstream_kind: UpstreamKind
    backend: str
    chunk_address: str
    capacity: int
    checks_fence: bool


@message('heartbeat')
class Heartbeat:
    """Agent to entry, every half second."""

    sequence: int
    load: UpstreamLoad
    held_revision: int


@message('heartbeat-ack')
class HeartbeatAck:
    """Entry to agent; the lease counts from when the heartbeat was sent.

    ``lease_seconds`` is zero while the data centre has no in-service lease.
    ``is_tracker`` tells whether this entry is the weight tracker of the zone.
    """

    sequence: int
    lease_seconds: float
    lease_number: int
    is_tracker: bool


@message('leaving')
class Leaving:
    """Sent by a process that begins a graceful stop: give it no new work."""

    reason: str


@message('subscribe')
class Subscribe:
    """Asks for the state after a revision that the subscriber holds (0: none)."""

    revision: int


@message('state-snapshot')
class StateSnapshot:
    """The whole fanned-out state at a revision."""

    revision: int
    records: dict[str, dict[str, Any]]


@message('state-delta')
class StateDelta:
    """The records that changed between two revisions; None means removed."""

    from_revision: int
    to_revision: int
    changes: dict[str, dict[str, Any] | None]


@dataclass(frozen=True, slots=True)
class BackendSummary:
    """One back end in one data centre, added up over its agents.

    ``releases`` maps a release to the number of upstreams that serve it.
    """

    upstreams: int
    serving: int
    running: int
    queued: int
    limit: int
    releases: dict[str, int]
    failed: dict[str, str]


@message('lease-request')
class LeaseRequest:
    """Entry to the control leader, every half second.

    Only the zone's tracker fills ``backends``; ``leaving`` is set during a
    graceful stop. Addresses are ``host:port`` for callers and for links.
    """

    zone: str
    sequence: int
    in_force_revision: int
    lacking_agents: int
    caller_address: str
    link_address: str
    leaving: bool
    backends: dict[str, BackendSummary]


@message('lease-grant')
class LeaseGrant:
    """Control leader to entry; zero seconds: the data centre is out of service.

    The lease counts from when the request with this sequence was sent.
    ``number`` rises with every grant of any zone and is the fence number of
    engine orders. ``directory_revision`` tells whether the directory of entries
    has changed.
    """

    zone: str
    sequence: int
    lease_seconds: float
    number: int
    is_tracker: bool
    directory_revision: int


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One live entry, as callers and peers may reach it."""

    name: str
    zone: str
    region: str
    caller_address: str
    link_address: str
    leaving: bool


@message('directory-request')
class DirectoryRequest:
    """Entry to control: asks for the directory of entries."""

    revision: int


@message('directory')
class Directory:
    """Control to entry: every live entry."""

    revision: int
    entries: list[DirectoryEntry]


@message('leader-notice')
class LeaderNotice:
    """Control host to its subscribers: who leads, and in which term."""

    leader: str
    term: int
    is_self: bool
