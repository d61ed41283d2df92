"""Why an agent may hand nothing over now: its lease, its gate, its operators' orders.

Pure: asked with the time, it reads the lease, the replica and the gate's state.
"""

from dataclasses import dataclass

from jackdawsail.membership.leases import Lease
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity

OUT = 'out'


@dataclass(slots=True)
class GateState:
    """What the release switcher has set: a closed gate has a reason."""

    closed_reason: str = 'loading'
    release: str = ''


@dataclass(slots=True)
class ServicePermit:
    """Everything that must hold before work is handed over."""

    identity: Identity
    lease: Lease
    replica: StateReplica
    gate: GateState
    leaving: bool = False

    def blocked(self, now_seconds: float) -> str:
        """Returns why nothing may be handed over now, or an empty string."""
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
