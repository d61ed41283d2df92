"""Slopes of the replicated state without a process: memory per record."""

import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.capacity_slopes import Slope
from bench.slopes_sampling import make_slope
from jackdawsail.state.audit import AuditRecord, AuditTrail
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.membership_messages import StateSnapshot

RECORD_COUNTS = (500, 1000, 2000)


def measure_state() -> dict[str, Slope]:
    """Measures the memory of a customer in a replica and of a record in the audit trail."""
    return {
        'replica_bytes_per_customer': _memory_slope(_make_replica, 'customer'),
        'audit_bytes_per_record': _memory_slope(_make_audit, 'record'),
    }


def _memory_slope(make: Callable[[int], Any], per: str) -> Slope:
    points = [(count, _allocated_bytes(make, count)) for count in RECORD_COUNTS]
    return make_slope(points, 'B', per, 'state')


def _allocated_bytes(make: Callable[[int], Any], count: int) -> float:
    tracemalloc.start()
    structure = make(count)
    used_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del structure
    return float(used_bytes)


def _make_replica(count: int) -> StateReplica:
    replica = StateReplica()
    records = {
        f'customer/customer-{number}': {
            'weight': 1.0 + number,
            'requests_per_second': 100.0 + number,
            'max_concurrent': 64 + number,
            'token_digest': f'{number:064x}',
        }
        for number in range(count)
    }
    replica.apply_update(StateSnapshot(1, records))
    return replica


def _make_audit(count: int) -> AuditTrail:
    trail = AuditTrail()
    for number in range(count):
        change = {'key': f'customer/c-{number}', 'field': 'weight', 'before': 1.0, 'after': 2.0}
        trail.add(
            AuditRecord(
                request_id=f'request-{number}',
                actor='operator-one',
                stamp_seconds=1.75e9 + number,
                kind='customer-put',
                from_revision=number,
                to_revision=number + 1,
                changes=[change],
            )
        )
    return trail
