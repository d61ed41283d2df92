"""Decides whether an agent may dispatch work now: its lease, its gate and operators' orders.

Pure: reads the lease, the replica and the gate's state at the given time.
"""

from dataclasses import dataclass

from jackdawsail.membership.leases import Lease
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity

OUT = 'out'


@dataclass(slots=True)
class GateState:
    """The gate as the release switcher set it; an empty ``closed_reason`` means open."""

    closed_reason: str = 'loading'
    release: str = ''


@dataclass(slots=True)
class ServicePermit:
    """All conditions for dispatching work to the upstream."""

    identity: Identity
    lease: Lease
    replica: StateReplica
    gate: GateState
    leaving: bool = False

    def blocked_reason(self, now_seconds: float) -> str:
        """Returns the reason why no work may be dispatched now, or an empty string."""
        if self.leaving:
            return 'leaving'
        if not self.lease.is_live(now_seconds):
            return 'no-lease'
        if self._is_out('zone', self.identity.zone) or self._is_out('host', self.identity.name):
            return 'out-of-service'
        return self.gate.closed_reason

    def _is_out(self, kind: str, name: str) -> bool:
        record = self.replica.get(kind, name)
        return record is not None and record.get('mode') == OUT
