"""A new model to every engine, with live load before, during and after, and faults.

The links are shaped by the proxy to the rates of the two users. The last line
of ``--json`` holds the measures, the bound that they are compared with, and two
baselines on the same links: every engine straight from the origin, and one seed
for each data centre.
"""

import json
import signal
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table

from bench.burst_baselines import Baseline, draw_by_seeds, draw_directly
from bench.burst_faults import FAULTS, Fault, make_fault
from bench.burst_figures import Meter, Windows, judge_load
from bench.fakes.engine import EngineOptions
from bench.harness.callers import CustomerLoad, start_callers
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import MEBIBYTE, Customer, Deployment, Shaping
from bench.harness.releases import (
    create_release,
    engines_serving,
    start_release,
    wait_engines_serving,
)
from bench.harness.series import save_series
from bench.harness.waiting import wait_until

BITS_PER_BYTE = 8
REGION_BITS_PER_SECOND = 10_000_000
ORIGIN_BITS_PER_SECOND = 40_000_000
MACHINE_BITS_PER_SECOND = 1_000_000_000
ORIGIN_COPIES = 3
CHUNK_BYTES = 262144
LOAD_SECONDS = 0.3
FIRST_MODEL_BYTES = MEBIBYTE
BEFORE_SECONDS = 10.0
AFTER_SECONDS = 5.0
TIMEOUT_FACTOR = 6
TIMEOUT_EXTRA_SECONDS = 60.0
POLL_SECONDS = 0.1
FIRST, SECOND = 'burst-1', 'burst-2'
TARGET_RATIO = 1.25
TARGET_COPIES = 3.2
TARGET_COPIES_FAULT = 4.0
TARGET_MACHINE_COPIES = 2.2
TARGET_P95_RATIO = 1.25


@dataclass(frozen=True)
class Site:
    """One user's zones and delays; every region's links carry ten megabits."""

    zones: dict[str, str]
    shaping: Shaping


SITES = {
    'kallergis': Site(
        {'attica-a': 'attica', 'macedonia-a': 'macedonia', 'crete-a': 'crete'},
        Shaping(0.0015, 0.003, 0.003, REGION_BITS_PER_SECOND),
    ),
    'habimana': Site(
        {'kigali-nyarugenge': 'kigali', 'musanze-muhoza': 'musanze', 'huye-ngoma': 'huye'},
        Shaping(0.001, 0.002, 0.001, REGION_BITS_PER_SECOND),
    ),
}


@dataclass(frozen=True)
class BurstResult:
    """The measures of one burst; the fields of ``--json``."""

    site: str
    fault: str
    size_mib: float
    replicas: int
    engines: int
    seconds_to_all: float
    bound_seconds: float
    ratio_to_bound: float
    origin_copies: float
    machine_copies_max: float
    inter_region_copies: float
    live_p95_before_seconds: float
    live_p95_during_seconds: float
    live_p95_ratio: float
    requests: int
    failed_requests: int
    wrong_answers: int
    wrong_loads: int
    release_status: str
    release_reason: str
    tracker_messages_per_agent_second: float
    agent_memory_max_bytes: int
    baselines: dict[str, Any] = field(default_factory=dict)

    def misses(self) -> list[str]:
        """Names the targets that were not met."""
        copies = TARGET_COPIES_FAULT if self.fault else TARGET_COPIES
        reaches_all = self.fault not in FAULTS or FAULTS[self.fault].reaches_all
        met = {
            'replicas': self.replicas == self.engines or not reaches_all,
            'ratio_to_bound': bool(self.fault) or self.ratio_to_bound <= TARGET_RATIO,
            'origin_copies': self.origin_copies <= copies,
            'machine_copies_max': bool(self.fault)
            or self.machine_copies_max <= TARGET_MACHINE_COPIES,
            'live_p95_ratio': bool(self.fault) or self.live_p95_ratio <= TARGET_P95_RATIO,
            'failed_requests': bool(self.fault) or self.failed_requests == 0,
            'wrong_answers': self.wrong_answers == 0,
            'wrong_loads': self.wrong_loads == 0,
        }
        return [name for name, was_met in met.items() if not was_met]


def run(
    *,
    site: str = 'kallergis',
    size_mib: float = 16,
    engines: int = 6,
    zones: int = 3,
    fault: str = '',
    seed: int = 0,
    baselines: bool = True,
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
) -> int:
    """Runs one burst; exit status 0 means that every target was met."""
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    chosen = make_fault(fault)
    plan = _deployment(SITES[site], engines, zones)
    size_bytes = int(size_mib * MEBIBYTE)
    with running_fleet(plan) as fleet:
        _prepare(fleet)
        outcome = Burst(fleet, site, size_bytes, chosen, seed).run()
        save_series(fleet, _name(outcome))
        if baselines and not fault:
            found = _baselines(fleet, size_bytes)
            outcome = BurstResult(**{**asdict(outcome), 'baselines': found})
    _show(outcome, as_json)
    return 1 if outcome.misses() else 0


def _deployment(site: Site, engines: int, zones: int) -> Deployment:
    chosen = dict(list(site.zones.items())[:zones])
    for number in range(len(chosen), zones):
        chosen[f'zone-{number}'] = f'region-{number}'
    return Deployment(
        zones=chosen,
        engines_per_zone=max(1, engines // zones),
        voters=3,
        services=0,
        customers={name: Customer() for name in ('large', 'small-one', 'small-two')},
        engine=EngineOptions(load_seconds=LOAD_SECONDS),
        origin_bits_per_second=ORIGIN_BITS_PER_SECOND,
        chunk_bytes=CHUNK_BYTES,
        weights={
            'inter_region_bits_per_second': REGION_BITS_PER_SECOND,
            'origin_bits_per_second': ORIGIN_BITS_PER_SECOND,
            'origin_copies': ORIGIN_COPIES,
        },
        shaping=site.shaping,
    )


def _prepare(fleet: Fleet) -> None:
    fleet.wait_leader()
    backend = fleet.deployment.engine_backend
    wait_until(lambda: backend in _backends(fleet), 20, 'the settings are in the state')
    create_release(fleet, FIRST, FIRST_MODEL_BYTES)
    start_release(fleet, FIRST)
    wait_engines_serving(fleet, FIRST, timeout_seconds=60)
    wait_until(lambda: _release(fleet, FIRST)['status'] == 'done', 30, f'{FIRST} done')


def _backends(fleet: Fleet) -> str:
    return fleet.admin('GET', '/v1/status').body.decode()


def _release(fleet: Fleet, name: str) -> dict[str, Any]:
    items = fleet.admin('GET', '/v1/releases').content.get('items', [])
    return next((item for item in items if item['name'] == name), {'status': '', 'reason': ''})


class Burst:
    """One measured rollout."""

    def __init__(
        self, fleet: Fleet, site: str, size_bytes: int, fault: Fault | None, seed: int
    ) -> None:
        self._fleet = fleet
        self._site = site
        self._size_bytes = size_bytes
        self._fault = fault
        self._seed = seed
        self._meter = Meter(fleet)

    def run(self) -> BurstResult:
        fleet = self._fleet
        create_release(fleet, SECOND, self._size_bytes)
        loads = [
            CustomerLoad('large', 6),
            CustomerLoad('small-one', 3),
            CustomerLoad('small-two', 3),
        ]
        limit_seconds = self._limit_seconds()
        total_seconds = BEFORE_SECONDS + limit_seconds + AFTER_SECONDS
        callers = start_callers(fleet, loads, total_seconds, self._seed)
        time.sleep(BEFORE_SECONDS)
        self._meter.begin()
        began = time.time()
        start_release(fleet, SECOND)
        seconds_to_all = self._watch(limit_seconds)
        ended = time.time()
        self._meter.end(seconds_to_all)
        time.sleep(AFTER_SECONDS)
        callers.stop()
        windows = Windows(began - BEFORE_SECONDS, began, ended)
        return self._sum_up(callers.wait(), windows, seconds_to_all)

    def _limit_seconds(self) -> float:
        return TIMEOUT_EXTRA_SECONDS + TIMEOUT_FACTOR * self._bound_seconds()

    def _bound_seconds(self) -> float:
        plan = self._fleet.deployment
        drawing = min(ORIGIN_COPIES, len(plan.zones))
        slowest = min(
            ORIGIN_BITS_PER_SECOND / drawing, REGION_BITS_PER_SECOND, MACHINE_BITS_PER_SECOND
        )
        return self._size_bytes * BITS_PER_BYTE / slowest + LOAD_SECONDS

    def _watch(self, limit_seconds: float) -> float:
        """Waits for every engine, causing the fault on the way; returns the seconds."""
        begin = time.monotonic()
        while time.monotonic() - begin < limit_seconds:
            passed_seconds = time.monotonic() - begin
            if self._fault is not None:
                self._fault.step(self._fleet, self._drawn_share(), passed_seconds)
            if self._is_over():
                return time.monotonic() - begin
            self._meter.sample()
            time.sleep(POLL_SECONDS)
        return limit_seconds

    def _is_over(self) -> bool:
        if self._fault is not None and not self._fault.is_over():
            return False
        if self._fault is not None and not self._fault.reaches_all:
            return _release(self._fleet, SECOND)['status'] == 'failed'
        return len(engines_serving(self._fleet, SECOND)) == self._live_engines()

    def _live_engines(self) -> int:
        lost = self._fault.lost if self._fault else 0
        return len(self._fleet.names(ProcessKind.engine)) - lost

    def _drawn_share(self) -> float:
        zones = min(ORIGIN_COPIES, len(self._fleet.deployment.zones))
        return self._origin_bytes() / self._size_bytes / zones

    def _origin_bytes(self) -> int:
        counts = self._fleet.get_from_fake('origin', '/admin/counts')
        return int(counts.get('bytes_by_path', {}).get(f'/{SECOND}.bin', 0))

    def _sum_up(
        self, lines: list[dict[str, Any]], windows: Windows, seconds_to_all: float
    ) -> BurstResult:
        fleet = self._fleet
        load = judge_load(lines, windows)
        bound = self._bound_seconds()
        release = _release(fleet, SECOND)
        loads = fleet.all_records(fleet.names(ProcessKind.engine), 'load')
        return BurstResult(
            site=self._site,
            fault=self._fault.name if self._fault else '',
            size_mib=self._size_bytes / MEBIBYTE,
            replicas=len(engines_serving(fleet, SECOND)),
            engines=self._live_engines(),
            seconds_to_all=round(seconds_to_all, 2),
            bound_seconds=round(bound, 2),
            ratio_to_bound=round(seconds_to_all / bound, 3),
            origin_copies=round(self._origin_bytes() / self._size_bytes, 3),
            machine_copies_max=round(self._meter.machine_bytes_max / self._size_bytes, 3),
            inter_region_copies=round(self._meter.inter_region_bytes / self._size_bytes, 3),
            live_p95_before_seconds=round(load.p95_before_seconds, 4),
            live_p95_during_seconds=round(load.p95_during_seconds, 4),
            live_p95_ratio=round(load.p95_ratio, 3),
            requests=load.requests,
            failed_requests=load.failed,
            wrong_answers=load.wrong,
            wrong_loads=sum(line['digest'] != line['declared'] for line in loads),
            release_status=release['status'],
            release_reason=release['reason'],
            tracker_messages_per_agent_second=round(self._meter.messages_per_agent_second, 2),
            agent_memory_max_bytes=self._meter.memory_max_bytes,
        )


def _baselines(fleet: Fleet, size_bytes: int) -> dict[str, Any]:
    path = f'/{SECOND}.bin'
    found = {
        'straight_from_origin': draw_directly(fleet, path),
        'seed_per_zone': draw_by_seeds(fleet, path),
    }
    return {name: _describe(baseline, size_bytes) for name, baseline in found.items()}


def _describe(baseline: Baseline, size_bytes: int) -> dict[str, float]:
    return {
        'seconds_to_all': round(baseline.seconds + LOAD_SECONDS, 2),
        'origin_copies': round(baseline.origin_bytes / size_bytes, 3),
    }


def _name(outcome: BurstResult) -> str:
    parts = ('burst', outcome.site, str(outcome.engines), outcome.fault)
    return '-'.join(part for part in parts if part)


def _show(outcome: BurstResult, as_json: bool) -> None:
    document = {**asdict(outcome), 'misses': outcome.misses()}
    folder = Path('results')
    folder.mkdir(exist_ok=True)
    (folder / f'{_name(outcome)}.json').write_text(json.dumps(document, indent=1) + '\n', 'utf8')
    if as_json:
        print(json.dumps(document))
        return
    table = Table('measure', 'result', title='burst')
    for measure, found in document.items():
        table.add_row(measure, str(found))
    Console(file=sys.stdout).print(table)
