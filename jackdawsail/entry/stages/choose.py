"""Sixth stage: chooses the agents, or the entries of other zones, to reserve at."""

import random
from collections.abc import Callable
from typing import Any

from jackdawsail.entry.metrics import PREFIX_HINTS
from jackdawsail.membership.leases import Lease
from jackdawsail.membership.zone_table import AgentRecord, ZoneTable
from jackdawsail.routing.affinity import (
    HintResult,
    PrefixAffinity,
    PrefixEngine,
    PrefixRun,
    weigh_hint,
)
from jackdawsail.routing.choice import Candidate, choose
from jackdawsail.routing.dispatch_effects import NeedCandidates, RequestSpec
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.work_messages import Reserve

OUT = 'out'

PeerCandidates = Callable[[str], list[Candidate]]


class Chooser:
    """Chooses agents of the zone while its lease is live, and entries of other zones.

    Hosts and zones that operators have taken out of service are skipped.
    """

    def __init__(
        self,
        identity: Identity,
        replica: StateReplica,
        table: ZoneTable,
        lease: Lease,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._replica = replica
        self._table = table
        self._lease = lease
        self._rng = rng
        self.affinity = PrefixAffinity()
        self.peer_candidates: PeerCandidates = _no_peers

    def choose(self, spec: RequestSpec, need: NeedCandidates, now_seconds: float) -> list[str]:
        """Returns the candidates to reserve at; empty if none is left to try.

        The agent preferred for the prompt prefix comes first, alone; then agents of the
        zone, then entries of other zones.
        """
        local = self._local_candidates(spec, now_seconds)
        preferred = self._preferred_agent(spec, need, local, now_seconds)
        if preferred:
            return [preferred]
        names = choose(local, need.avoid, '', self._rng)
        if names:
            return names
        return choose(self.peer_candidates(spec.backend), need.avoid, '', self._rng)

    def record_run(self, spec: RequestSpec, agent: str, now_seconds: float) -> None:
        """Records the agent that the work of a request was sent to."""
        record = self._table.get(agent)
        if spec.prefix_marks and record is not None:
            run = PrefixRun(agent, _generation_of(record), now_seconds)
            self.affinity.record_run(spec.backend, spec.prefix_marks, run)

    def choose_local(self, reserve: Reserve, now_seconds: float) -> str:
        """Returns an agent of this zone for a peer entry's request, or an empty string."""
        names = choose(self._local_candidates(reserve, now_seconds), frozenset(), '', self._rng)
        return names[0] if names else ''

    def _preferred_agent(
        self,
        spec: RequestSpec,
        need: NeedCandidates,
        local: list[Candidate],
        now_seconds: float,
    ) -> str:
        """Returns the agent whose engine saves more than it costs; empty if there is none."""
        hint = self.affinity.find(spec.backend, spec.prefix_marks)
        if hint is None or hint.run.engine in need.avoid:
            return ''
        records = [self._table.get(candidate.name) for candidate in local]
        engines = [_engine_of(record) for record in records if record is not None]
        result = weigh_hint(hint, engines, now_seconds)
        PREFIX_HINTS.labels(str(result)).inc()
        return hint.run.engine if result is HintResult.used else ''

    def _local_candidates(
        self, spec: RequestSpec | Reserve, now_seconds: float
    ) -> list[Candidate]:
        if not self._lease.is_live(now_seconds) or self._is_out('zone', self._identity.zone):
            return []
        return [
            Candidate(record.name, record.busy_share, record.load.release)
            for record in self._table.serving_agents(spec.backend, now_seconds)
            if spec.release in {'', record.load.release} and not self._is_out('host', record.name)
        ]

    def _is_out(self, kind: str, name: str) -> bool:
        record: Any = self._replica.get(kind, name)
        return record is not None and record.get('mode') == OUT


def _generation_of(record: AgentRecord) -> str:
    """Returns what changes with the engine's release and with a restart of its agent."""
    return f'{record.load.release}/{record.identity.incarnation}'


def _engine_of(record: AgentRecord) -> PrefixEngine:
    return PrefixEngine(
        record.name,
        _generation_of(record),
        record.busy_share,
        record.load.wait_seconds,
        record.load.read_tokens_per_second,
    )


def _no_peers(_backend: str) -> list[Candidate]:
    return []
