"""Fairness between customers: small customers next to a flood, and shares by weight.

All phases run on one fleet: one data centre with three entries and two engines.

1. Small customers alone.
2. The same, with a customer that sends a hundred times the load of one of them
   through one entry.
3. The same, with this load spread over all entries.
4. Baseline: all requests under one customer's token, so in one queue (first come,
   first served).
5. Three customers of weight 1, 2 and 4 that together ask for more than the capacity.
"""

import json
import sys
import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from bench.fakes.engine import EngineOptions
from bench.harness.callers import CustomerLoad, start_callers, summarise_latency
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Customer, Deployment
from bench.harness.serving import serve_release

SMALL_CUSTOMERS = tuple(f'small-{number}' for number in range(8))
WEIGHTED_CUSTOMERS = {'heavy-1': 1.0, 'heavy-2': 2.0, 'heavy-4': 4.0}
SMALL_REQUESTS_PER_SECOND = 1.5
FLOOD_REQUESTS_PER_SECOND = 100 * SMALL_REQUESTS_PER_SECOND
HEAVY_REQUESTS_PER_SECOND = 80.0
PHASE_SECONDS = 14.0
SETTLE_SECONDS = 3.0
SAMPLE_SECONDS = 0.05
MAX_SMALL_RATIO = 1.5
MAX_CHANGE_BY_ENTRIES = 0.1
MIN_JAIN_INDEX = 0.98
MIN_BUSY_SHARE = 0.95
ENGINE = EngineOptions(slowdown_per_request=0.02)
UNLIMITED_CUSTOMER = Customer(requests_per_second=2000, max_concurrent=2000)


@dataclass(frozen=True)
class FairnessResult:
    """The fields of ``--json``; a latency is that of a whole answer, in seconds."""

    small_p95_ratio: float
    small_p95_ratio_one_entry: float
    change_by_entries: float
    jain_index: float
    work_conserving: float
    alone_p95_seconds: float
    one_entry_p95_seconds: float
    all_entries_p95_seconds: float
    small_refused_share: float
    fifo_p95_ratio: float
    fifo_refused_share: float
    weighted_served: dict[str, float]
    wrong_answers: int
    requests: int


@dataclass(frozen=True)
class PhaseResult:
    """Latency and refusals of the small customers in one phase, and all records."""

    p95_seconds: float
    refused_share: float
    records: list[dict[str, Any]]


class BusySampler(threading.Thread):
    """Samples which share of the engines' slots is busy, until it is stopped."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._stopped = threading.Event()
        self.shares: list[float] = []

    def run(self) -> None:
        engines = self._fleet.names(ProcessKind.engine)
        slots = ENGINE.capacity * len(engines)
        while not self._stopped.wait(SAMPLE_SECONDS):
            states = [self._fleet.get_from_fake(name, '/admin/state') for name in engines]
            self.shares.append(sum(state['running'] for state in states) / slots)

    def stop(self) -> None:
        self._stopped.set()
        self.join()


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Runs the phases; exit status 0 means that every target was met."""
    with running_fleet(_deployment()) as fleet:
        serve_release(fleet, 'model-1', 'flood')
        result = _measure(fleet)
    Path('results').mkdir(exist_ok=True)
    Path('results/fairness.json').write_text(json.dumps(asdict(result), indent=1), 'utf8')
    print(json.dumps(asdict(result), indent=None if as_json else 1))
    return 0 if _meets_targets(result) else 1


def _deployment() -> Deployment:
    customers = {name: UNLIMITED_CUSTOMER for name in (*SMALL_CUSTOMERS, 'flood')}
    for name, weight in WEIGHTED_CUSTOMERS.items():
        customers[name] = Customer(weight, 2000, 2000)
    return Deployment(
        zones={'zone-a': 'region-a'},
        engines_per_zone=2,
        entries_per_zone=3,
        customers=customers,
        engine=ENGINE,
    )


def _measure(fleet: Fleet) -> FairnessResult:
    addresses = fleet.entry_addresses()
    _run_phase(fleet, 'warm', _flood_loads(addresses), seconds=4)
    alone = _run_phase(fleet, 'alone', [])
    one_entry = _run_phase(fleet, 'one-entry', _flood_loads(addresses[:1]))
    all_entries = _run_phase(fleet, 'all-entries', _flood_loads(addresses))
    fifo = _run_phase(fleet, 'fifo', _flood_loads(addresses), token_customer='flood')
    served, busy_share, heavy_records = _run_weighted_phase(fleet, addresses)
    phases = (alone, one_entry, all_entries, fifo)
    records = [record for phase in phases for record in phase.records] + heavy_records
    answered = [record for record in records if record['status'] == 200]
    ratio = all_entries.p95_seconds / alone.p95_seconds
    ratio_one = one_entry.p95_seconds / alone.p95_seconds
    return FairnessResult(
        small_p95_ratio=round(ratio, 3),
        small_p95_ratio_one_entry=round(ratio_one, 3),
        change_by_entries=round(abs(ratio - ratio_one) / ratio_one, 3),
        jain_index=round(
            _jain_index([served[name] / WEIGHTED_CUSTOMERS[name] for name in WEIGHTED_CUSTOMERS]),
            4,
        ),
        work_conserving=round(busy_share, 3),
        alone_p95_seconds=round(alone.p95_seconds, 4),
        one_entry_p95_seconds=round(one_entry.p95_seconds, 4),
        all_entries_p95_seconds=round(all_entries.p95_seconds, 4),
        small_refused_share=round(all_entries.refused_share, 4),
        fifo_p95_ratio=round(fifo.p95_seconds / alone.p95_seconds, 3),
        fifo_refused_share=round(fifo.refused_share, 4),
        weighted_served={
            name: served[name] / WEIGHTED_CUSTOMERS[name] for name in WEIGHTED_CUSTOMERS
        },
        wrong_answers=sum(not record['correct'] for record in answered),
        requests=len(records),
    )


def _flood_loads(addresses: list[str]) -> list[CustomerLoad]:
    rate = FLOOD_REQUESTS_PER_SECOND / len(addresses)
    options = {'retry_refused': False, 'deadline_seconds': 5}
    return [
        CustomerLoad('flood', rate, options={**options, 'pinned_entry': address})
        for address in addresses
    ]


def _run_phase(
    fleet: Fleet,
    name: str,
    others: list[CustomerLoad],
    token_customer: str = '',
    seconds: float = PHASE_SECONDS,
) -> PhaseResult:
    options = {'retry_refused': False, 'deadline_seconds': 5}
    small = [
        CustomerLoad(
            customer, SMALL_REQUESTS_PER_SECOND, token_customer=token_customer, options=options
        )
        for customer in SMALL_CUSTOMERS
    ]
    small_callers = start_callers(fleet, small, seconds, name=f'{name}-small')
    other_callers = (
        start_callers(fleet, others, seconds, name=f'{name}-others') if others else None
    )
    records = small_callers.wait()
    other_records = other_callers.wait() if other_callers else []
    settled = min(record['scheduled_seconds'] for record in records) + SETTLE_SECONDS
    measured = [record for record in records if record['scheduled_seconds'] > settled]
    answered = [record for record in measured if record['status'] == 200]
    durations = [record['end_seconds'] - record['scheduled_seconds'] for record in answered]
    refused_share = 1 - len(answered) / max(1, len(measured))
    print(f'{name}: {len(measured)} small, {len(other_records)} others', file=sys.stderr)
    return PhaseResult(
        summarise_latency(durations).p95_seconds, refused_share, records + other_records
    )


def _run_weighted_phase(
    fleet: Fleet, addresses: list[str]
) -> tuple[Counter[str], float, list[dict[str, Any]]]:
    options = {'retry_refused': False, 'deadline_seconds': 5}
    loads = [
        CustomerLoad(
            name,
            HEAVY_REQUESTS_PER_SECOND / len(addresses),
            options={**options, 'pinned_entry': address},
        )
        for name in WEIGHTED_CUSTOMERS
        for address in addresses
    ]
    callers = start_callers(fleet, loads, PHASE_SECONDS, name='weighted')
    time.sleep(SETTLE_SECONDS)
    start = time.time()
    sampler = BusySampler(fleet)
    sampler.start()
    time.sleep(PHASE_SECONDS - SETTLE_SECONDS - 1)
    sampler.stop()
    end = time.time()
    records = callers.wait()
    answered = [record for record in records if record['status'] == 200]
    served = Counter(
        record['customer'] for record in answered if start < record['end_seconds'] < end
    )
    return served, sum(sampler.shares) / len(sampler.shares), records


def _jain_index(shares: list[float]) -> float:
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0


def _meets_targets(result: FairnessResult) -> bool:
    targets = (
        result.small_p95_ratio <= MAX_SMALL_RATIO,
        result.change_by_entries < MAX_CHANGE_BY_ENTRIES,
        result.jain_index >= MIN_JAIN_INDEX,
        result.work_conserving >= MIN_BUSY_SHARE,
        result.wrong_answers == 0,
    )
    return all(targets)
