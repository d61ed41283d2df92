"""Messages of membership, of leases and of the fan-out of the replicated state.

The state flows from control hosts (or a relay) to entries and from entries to
agents, as numbered revisions of flat records: the key is ``"<kind>/<name>"``, the
value a plain mapping.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from jackdawsail.wire.codec import message


class UpstreamKind(StrEnum):
    """The kind of upstream that an agent serves."""

    engine = 'engine'
    service = 'service'


class UpstreamState(StrEnum):
    """The lifecycle state of an upstream."""

    cold = 'cold'
    loading = 'loading'
    serving = 'serving'
    draining = 'draining'
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """The load of an agent's upstream.

    ``running``, ``queued`` and ``limit`` count requests. ``read_tokens_per_second`` is how fast
    the engine reads prompts, 0 if it is not known, and ``wait_seconds`` the wait of a new request.
    """

    state: UpstreamState
    release: str
    running: int
    queued: int
    limit: int
    queued_tokens: int
    tokens_per_second: float
    read_tokens_per_second: float = 0
    wait_seconds: float = 0


@message('announce')
class Announce:
    """Agent to entry, first message on each link: the agent's upstream and chunk address."""

    upstream_kind: UpstreamKind
    backend: str
    chunk_address: str
    capacity: int
    checks_fence: bool


@message('heartbeat')
class Heartbeat:
    """Agent to entry, every half second: the upstream's load and the agent's revision."""

    sequence: int
    load: UpstreamLoad
    held_revision: int


@message('heartbeat-ack')
class HeartbeatAck:
    """Entry to agent; the lease runs from the time when the agent sent the heartbeat.

    ``lease_seconds`` is zero while the data centre has no in-service lease.
    ``is_tracker`` is true if this entry is the weight tracker of the zone.
    """

    sequence: int
    lease_seconds: float
    lease_number: int
    is_tracker: bool


@message('leaving')
class Leaving:
    """Sent by a process that starts a graceful stop and must get no new work."""

    reason: str


@message('subscribe')
class Subscribe:
    """Asks for the changes since the revision that the subscriber holds (0: none)."""

    revision: int


@message('state-snapshot')
class StateSnapshot:
    """All records of the state at a revision."""

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
    """Sums over the agents of one back end in one data centre.

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
    """Entry to the control leader, every half second: asks for the zone's lease.

    Only the zone's tracker fills ``backends``. ``leaving`` is true during a
    graceful stop. The addresses are ``host:port`` for callers and for links.
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
    """Control leader to entry: the lease, of zero seconds if the zone is out of service.

    The lease runs from the time when the entry sent the request with this sequence.
    ``number`` grows with every grant to any zone and is the fence number of
    engine orders. ``directory_revision`` changes with the directory of entries.
    """

    zone: str
    sequence: int
    lease_seconds: float
    number: int
    is_tracker: bool
    directory_revision: int


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """A live entry and the addresses at which callers and peers reach it."""

    name: str
    zone: str
    region: str
    caller_address: str
    link_address: str
    leaving: bool


@message('directory-request')
class DirectoryRequest:
    """Entry to control: asks for the directory of entries; ``revision`` is the one it holds."""

    revision: int


@message('directory')
class Directory:
    """Control to entry: all live entries."""

    revision: int
    entries: list[DirectoryEntry]


@message('leader-notice')
class LeaderNotice:
    """Control host to its subscribers: the leader of the group and its term."""

    leader: str
    term: int
    is_self: bool
