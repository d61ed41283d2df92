"""Fairness between customers: small ones beside a flood, and shares by weight.

Phases, all on one fleet of one data centre with three entries and two engines:
small customers alone; the same beside a customer with a hundred times the load
of one of them, through one entry and then through all; the same with everybody
in one queue (first come, first served), as the baseline; and three customers of
weight 1, 2 and 4 that all want more than there is.
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

SMALL = tuple(f'small-{number}' for number in range(8))
WEIGHTS = {'heavy-1': 1.0, 'heavy-2': 2.0, 'heavy-4': 4.0}
SMALL_RATE = 1.5
FLOOD_RATE = 100 * SMALL_RATE
HEAVY_RATE = 80.0
PHASE_SECONDS = 14.0
SETTLE_SECONDS = 3.0
SAMPLE_SECONDS = 0.05
MAX_SMALL_RATIO = 1.5
MAX_CHANGE = 0.1
MIN_JAIN = 0.98
MIN_BUSY = 0.95
ENGINE = EngineOptions(slowdown_per_request=0.02)
NO_LIMIT = Customer(requests_per_second=2000, max_concurrent=2000)


@dataclass(frozen=True)
class FairnessResult:
    """The fields of ``--json``; latencies are of whole answers, in seconds."""

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
class Phase:
    """What the small customers met in one phase."""

    p95_seconds: float
    refused_share: float
    lines: list[dict[str, Any]]


class BusySampler(threading.Thread):
    """Samples how many requests run at the engines, until it is stopped."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._stopped = threading.Event()
        self.shares: list[float] = []

    def run(self) -> None:
        engines = self._fleet.names(ProcessKind.engine)
        places = ENGINE.capacity * len(engines)
        while not self._stopped.wait(SAMPLE_SECONDS):
            states = [self._fleet.get_from_fake(name, '/admin/state') for name in engines]
            self.shares.append(sum(state['running'] for state in states) / places)

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
    return 0 if _met(result) else 1


def _deployment() -> Deployment:
    customers = {name: NO_LIMIT for name in (*SMALL, 'flood')}
    for name, weight in WEIGHTS.items():
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
    _phase(fleet, 'warm', _flood(addresses), seconds=4)
    alone = _phase(fleet, 'alone', [])
    one_entry = _phase(fleet, 'one-entry', _flood(addresses[:1]))
    all_entries = _phase(fleet, 'all-entries', _flood(addresses))
    fifo = _phase(fleet, 'fifo', _flood(addresses), token_of='flood')
    served, busy_share, heavy_lines = _weighted(fleet, addresses)
    phases = (alone, one_entry, all_entries, fifo)
    lines = [line for phase in phases for line in phase.lines] + heavy_lines
    answered = [line for line in lines if line['status'] == 200]
    ratio = all_entries.p95_seconds / alone.p95_seconds
    ratio_one = one_entry.p95_seconds / alone.p95_seconds
    return FairnessResult(
        small_p95_ratio=round(ratio, 3),
        small_p95_ratio_one_entry=round(ratio_one, 3),
        change_by_entries=round(abs(ratio - ratio_one) / ratio_one, 3),
        jain_index=round(_jain([served[name] / WEIGHTS[name] for name in WEIGHTS]), 4),
        work_conserving=round(busy_share, 3),
        alone_p95_seconds=round(alone.p95_seconds, 4),
        one_entry_p95_seconds=round(one_entry.p95_seconds, 4),
        all_entries_p95_seconds=round(all_entries.p95_seconds, 4),
        small_refused_share=round(all_entries.refused_share, 4),
        fifo_p95_ratio=round(fifo.p95_seconds / alone.p95_seconds, 3),
        fifo_refused_share=round(fifo.refused_share, 4),
        weighted_served={name: served[name] / WEIGHTS[name] for name in WEIGHTS},
        wrong_answers=sum(not line['correct'] for line in answered),
        requests=len(lines),
    )


def _flood(addresses: list[str]) -> list[CustomerLoad]:
    rate = FLOOD_RATE / len(addresses)
    options = {'retry_refused': False, 'deadline_seconds': 5}
    return [
        CustomerLoad('flood', rate, options={**options, 'pinned_entry': address})
        for address in addresses
    ]


def _phase(
    fleet: Fleet,
    name: str,
    others: list[CustomerLoad],
    token_of: str = '',
    seconds: float = PHASE_SECONDS,
) -> Phase:
    options = {'retry_refused': False, 'deadline_seconds': 5}
    small = [
        CustomerLoad(each, SMALL_RATE, token_customer=token_of, options=options) for each in SMALL
    ]
    small_callers = start_callers(fleet, small, seconds, name=f'{name}-small')
    other_callers = (
        start_callers(fleet, others, seconds, name=f'{name}-others') if others else None
    )
    lines = small_callers.wait()
    other_lines = other_callers.wait() if other_callers else []
    begin = min(line['scheduled_seconds'] for line in lines) + SETTLE_SECONDS
    late = [line for line in lines if line['scheduled_seconds'] > begin]
    answered = [line for line in late if line['status'] == 200]
    durations = [line['end_seconds'] - line['scheduled_seconds'] for line in answered]
    refused_share = 1 - len(answered) / max(1, len(late))
    print(f'{name}: {len(late)} small, {len(other_lines)} others', file=sys.stderr)
    return Phase(summarise_latency(durations).p95_seconds, refused_share, lines + other_lines)


def _weighted(
    fleet: Fleet, addresses: list[str]
) -> tuple[Counter[str], float, list[dict[str, Any]]]:
    options = {'retry_refused': False, 'deadline_seconds': 5}
    loads = [
        CustomerLoad(
            name, HEAVY_RATE / len(addresses), options={**options, 'pinned_entry': address}
        )
        for name in WEIGHTS
        for address in addresses
    ]
    callers = start_callers(fleet, loads, PHASE_SECONDS, name='weighted')
    time.sleep(SETTLE_SECONDS)
    begin = time.time()
    sampler = BusySampler(fleet)
    sampler.start()
    time.sleep(PHASE_SECONDS - SETTLE_SECONDS - 1)
    sampler.stop()
    end = time.time()
    lines = callers.wait()
    whole = [line for line in lines if line['status'] == 200]
    served = Counter(line['customer'] for line in whole if begin < line['end_seconds'] < end)
    return served, sum(sampler.shares) / len(sampler.shares), lines


def _jain(shares: list[float]) -> float:
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 0


def _met(result: FairnessResult) -> bool:
    targets = (
        result.small_p95_ratio <= MAX_SMALL_RATIO,
        result.change_by_entries < MAX_CHANGE,
        result.jain_index >= MIN_JAIN,
        result.work_conserving >= MIN_BUSY,
        result.wrong_answers == 0,
    )
    return all(targets)
