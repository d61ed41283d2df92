"""The agents of one data centre as an entry knows them: soft state, never replicated.

A restarted agent has another incarnation, which replaces the previous one. Late messages
of the previous incarnation are ignored.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

from jackdawsail.membership.damping import FlapDamper
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import (
    Announce,
    BackendSummary,
    Heartbeat,
    UpstreamLoad,
    UpstreamState,
)

SILENT_SECONDS = 3.0
NO_LOAD = UpstreamLoad(UpstreamState.cold, '', 0, 0, 0, 0, 0)


@dataclass(frozen=True, slots=True)
class AgentRecord:
    """The state of one agent; times are by the entry's own clock."""

    identity: Identity
    announce: Announce
    received_seconds: float
    load: UpstreamLoad = NO_LOAD
    held_revision: int = 0
    leaving: bool = False
    damper: FlapDamper = field(default_factory=FlapDamper)

    @property
    def name(self) -> str:
        """Returns the name of the agent's host."""
        return self.identity.name

    @property
    def busy_share(self) -> float:
        """Returns the running and waiting requests per slot."""
        return (self.load.running + self.load.queued) / max(1, self.load.limit)


class ZoneTable:
    """Agents by name; ``problems`` maps those that cannot load a release to the reason."""

    def __init__(self) -> None:
        self.problems: dict[str, str] = {}
        self._agents: dict[str, AgentRecord] = {}
        self._dampers: dict[str, FlapDamper] = {}

    def get(self, name: str) -> AgentRecord | None:
        """Returns one agent, or None when it is not connected."""
        return self._agents.get(name)

    def all(self) -> list[AgentRecord]:
        """Returns every connected agent."""
        return list(self._agents.values())

    def record_announce(self, identity: Identity, announce: Announce, now_seconds: float) -> None:
        """Adds an agent, replacing its previous incarnation; a restart counts as a flap."""
        damper = self._dampers.setdefault(identity.name, FlapDamper())
        previous = self._agents.get(identity.name)
        if previous is not None and previous.identity.incarnation != identity.incarnation:
            damper.record_flap(now_seconds)
        self._agents[identity.name] = AgentRecord(identity, announce, now_seconds, damper=damper)

    def record_heartbeat(self, identity: Identity, beat: Heartbeat, now_seconds: float) -> bool:
        """Applies an agent's heartbeat; returns whether this incarnation is known."""
        record = self._current_record(identity)
        if record is None:
            return False
        self._agents[identity.name] = replace(
            record,
            load=beat.load,
            held_revision=beat.held_revision,
            received_seconds=now_seconds,
        )
        return True

    def record_leaving(self, identity: Identity) -> None:
        """Marks an agent that has started a graceful stop."""
        record = self._current_record(identity)
        if record is not None:
            self._agents[identity.name] = replace(record, leaving=True)

    def remove(self, identity: Identity, now_seconds: float) -> None:
        """Removes an agent whose link has closed; a graceful stop does not count as a flap."""
        record = self._current_record(identity)
        if record is None:
            return
        del self._agents[identity.name]
        if not record.leaving:
            record.damper.record_flap(now_seconds)

    def serving_agents(self, backend: str, now_seconds: float) -> list[AgentRecord]:
        """Returns the agents of a back end that may get new work."""
        return [
            record
            for record in self._agents.values()
            if record.announce.backend == backend and is_usable(record, now_seconds)
        ]

    def count_lacking(self, revision: int) -> int:
        """Counts the agents that do not hold a revision yet."""
        return sum(1 for record in self._agents.values() if record.held_revision < revision)

    def summary(self) -> dict[str, BackendSummary]:
        """Returns totals over the agents of each back end, for the control hosts."""
        backends = {record.announce.backend for record in self._agents.values()}
        return {backend: self._summary_of(backend) for backend in sorted(backends)}

    def _summary_of(self, backend: str) -> BackendSummary:
        records = [
            record for record in self._agents.values() if record.announce.backend == backend
        ]
        serving = [record for record in records if record.load.state is UpstreamState.serving]
        failed = [record.name for record in records if self._has_failed(record)]
        return BackendSummary(
            upstreams=len(records),
            serving=len(serving),
            running=sum(record.load.running for record in records),
            queued=sum(record.load.queued for record in records),
            limit=sum(record.load.limit for record in records),
            releases=dict(Counter(record.load.release for record in serving)),
            failed={name: self.problems.get(name, 'failed') for name in failed},
        )

    def _has_failed(self, record: AgentRecord) -> bool:
        return record.load.state is UpstreamState.failed or record.name in self.problems

    def _current_record(self, identity: Identity) -> AgentRecord | None:
        record = self._agents.get(identity.name)
        if record is None or record.identity.incarnation != identity.incarnation:
            return None
        return record


def is_usable(record: AgentRecord, now_seconds: float) -> bool:
    """Returns whether an agent may get new work.

    It must be serving, neither leaving nor silent for SILENT_SECONDS, and not be suppressed
    for flapping.
    """
    if record.leaving or now_seconds - record.received_seconds > SILENT_SECONDS:
        return False
    if record.load.state is not UpstreamState.serving:
        return False
    return not record.damper.is_suppressed(now_seconds)
