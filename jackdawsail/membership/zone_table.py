"""The agents of one data centre as an entry knows them: soft state, never replicated.

A restarted agent has another incarnation and takes the place of its former
self; what comes late from the former run is ignored.
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
    """What is known of one agent; times are of the entry's own clock."""

    identity: Identity
    announce: Announce
    heard_seconds: float
    load: UpstreamLoad = NO_LOAD
    held_revision: int = 0
    leaving: bool = False
    damper: FlapDamper = field(default_factory=FlapDamper)

    @property
    def name(self) -> str:
        """Names the agent's host."""
        return self.identity.name

    @property
    def busy_share(self) -> float:
        """Returns running and waiting requests per place."""
        return (self.load.running + self.load.queued) / max(1, self.load.limit)


class ZoneTable:
    """Agents by name; ``problems`` holds those that cannot take a release, with the reason."""

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

    def announced(self, identity: Identity, announce: Announce, now_seconds: float) -> None:
        """Adds an agent, in place of a former run of it."""
        damper = self._dampers.setdefault(identity.name, FlapDamper())
        former = self._agents.get(identity.name)
        if former is not None and former.identity.incarnation != identity.incarnation:
            damper.flapped(now_seconds)
        self._agents[identity.name] = AgentRecord(identity, announce, now_seconds, damper=damper)

    def heartbeat(self, identity: Identity, beat: Heartbeat, now_seconds: float) -> bool:
        """Takes what an agent reports; tells whether the agent is known."""
        record = self._current(identity)
        if record is None:
            return False
        self._agents[identity.name] = replace(
            record,
            load=beat.load,
            held_revision=beat.held_revision,
            heard_seconds=now_seconds,
        )
        return True

    def leaving(self, identity: Identity) -> None:
        """Marks an agent that begins a graceful stop."""
        record = self._current(identity)
        if record is not None:
            self._agents[identity.name] = replace(record, leaving=True)

    def lost(self, identity: Identity, now_seconds: float) -> None:
        """Removes an agent whose link has ended; a planned stop is no flap."""
        record = self._current(identity)
        if record is None:
            return
        del self._agents[identity.name]
        if not record.leaving:
            record.damper.flapped(now_seconds)

    def serving(self, backend: str, now_seconds: float) -> list[AgentRecord]:
        """Returns the agents of a back end that may be given new work."""
        return [
            record
            for record in self._agents.values()
            if record.announce.backend == backend and is_usable(record, now_seconds)
        ]

    def count_lacking(self, revision: int) -> int:
        """Counts the agents that do not hold a revision yet."""
        return sum(1 for record in self._agents.values() if record.held_revision < revision)

    def summary(self) -> dict[str, BackendSummary]:
        """Adds the agents up by back end, for the control hosts."""
        backends = {record.announce.backend for record in self._agents.values()}
        return {backend: self._summary_of(backend) for backend in sorted(backends)}

    def _summary_of(self, backend: str) -> BackendSummary:
        records = [kept for kept in self._agents.values() if kept.announce.backend == backend]
        serving = [kept for kept in records if kept.load.state is UpstreamState.serving]
        failed = [kept.name for kept in records if self._has_failed(kept)]
        return BackendSummary(
            upstreams=len(records),
            serving=len(serving),
            running=sum(kept.load.running for kept in records),
            queued=sum(kept.load.queued for kept in records),
            limit=sum(kept.load.limit for kept in records),
            releases=dict(Counter(kept.load.release for kept in serving)),
            failed={name: self.problems.get(name, 'failed') for name in failed},
        )

    def _has_failed(self, record: AgentRecord) -> bool:
        return record.load.state is UpstreamState.failed or record.name in self.problems

    def _current(self, identity: Identity) -> AgentRecord | None:
        record = self._agents.get(identity.name)
        if record is None or record.identity.incarnation != identity.incarnation:
            return None
        return record


def is_usable(record: AgentRecord, now_seconds: float) -> bool:
    """Tells whether an agent may be given new work."""
    if record.leaving or now_seconds - record.heard_seconds > SILENT_SECONDS:
        return False
    if record.load.state is not UpstreamState.serving:
        return False
    return not record.damper.is_suppressed(now_seconds)
