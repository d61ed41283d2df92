"""Rolls out a new model to every engine under live load, with an optional fault.

The proxy shapes the links to the delays and rates of one of two installations. ``--json`` prints
the measures, the lower bound of the rollout time that they are compared with, and two
baselines on the same links: every engine fetches from the origin, or one seed in each
data centre does.
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

from bench.burst_baselines import Baseline, fetch_by_seeds, fetch_directly
from bench.burst_faults import FAULTS, Fault, make_fault
from bench.burst_figures import Meter, Windows, summarise_load
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
LOAD_BEFORE_SECONDS = 10.0
LOAD_AFTER_SECONDS = 5.0
TIMEOUT_FACTOR = 6
TIMEOUT_EXTRA_SECONDS = 60.0
POLL_SECONDS = 0.1
FIRST_RELEASE, SECOND_RELEASE = 'burst-1', 'burst-2'
TARGET_RATIO = 1.25
TARGET_COPIES = 3.2
TARGET_COPIES_FAULT = 4.0
TARGET_MACHINE_COPIES = 2.2
TARGET_P95_RATIO = 1.25


@dataclass(frozen=True)
class SiteProfile:
    """Zones and their regions, and link delays, of one installation.

    The links of every region carry 10 Mbit/s.
    """

    zones: dict[str, str]
    shaping: Shaping


SITES = {
    'kallergis': SiteProfile(
        {'attica-a': 'attica', 'macedonia-a': 'macedonia', 'crete-a': 'crete'},
        Shaping(0.0015, 0.003, 0.003, REGION_BITS_PER_SECOND),
    ),
    'habimana': SiteProfile(
        {'kigali-nyarugenge': 'kigali', 'musanze-muhoza': 'musanze', 'huye-ngoma': 'huye'},
        Shaping(0.001, 0.002, 0.001, REGION_BITS_PER_SECOND),
    ),
}


@dataclass(frozen=True)
class BurstResult:
    """The measures of one burst, printed by ``--json`` under these names.

    Copies are bytes divided by the size of the model.
    """

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

    def missed_targets(self) -> list[str]:
        """Returns the names of the measures that miss their target."""
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
    """Measures one rollout; exit status 0 means that every target was met."""
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    planned_fault = make_fault(fault)
    plan = _deployment(SITES[site], engines, zones)
    size_bytes = int(size_mib * MEBIBYTE)
    with running_fleet(plan) as fleet:
        _prepare(fleet)
        outcome = Burst(fleet, site, size_bytes, planned_fault, seed).run()
        save_series(fleet, _result_name(outcome))
        if baselines and not fault:
            figures = _measure_baselines(fleet, size_bytes)
            outcome = BurstResult(**{**asdict(outcome), 'baselines': figures})
    _write_result(outcome, as_json)
    return 1 if outcome.missed_targets() else 0


def _deployment(site: SiteProfile, engines: int, zones: int) -> Deployment:
    zone_regions = dict(list(site.zones.items())[:zones])
    for number in range(len(zone_regions), zones):
        zone_regions[f'zone-{number}'] = f'region-{number}'
    return Deployment(
        zones=zone_regions,
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
    wait_until(lambda: backend in _status_text(fleet), 20, 'the state holds the settings')
    create_release(fleet, FIRST_RELEASE, FIRST_MODEL_BYTES)
    start_release(fleet, FIRST_RELEASE)
    wait_engines_serving(fleet, FIRST_RELEASE, timeout_seconds=60)
    wait_until(
        lambda: _find_release(fleet, FIRST_RELEASE)['status'] == 'done',
        30,
        f'{FIRST_RELEASE} done',
    )


def _status_text(fleet: Fleet) -> str:
    return fleet.admin('GET', '/v1/status').body.decode()


def _find_release(fleet: Fleet, name: str) -> dict[str, Any]:
    items = fleet.admin('GET', '/v1/releases').content.get('items', [])
    return next((item for item in items if item['name'] == name), {'status': '', 'reason': ''})


class Burst:
    """Measures one rollout under load."""

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
        create_release(fleet, SECOND_RELEASE, self._size_bytes)
        loads = [
            CustomerLoad('large', 6),
            CustomerLoad('small-one', 3),
            CustomerLoad('small-two', 3),
        ]
        limit_seconds = self._limit_seconds()
        total_seconds = LOAD_BEFORE_SECONDS + limit_seconds + LOAD_AFTER_SECONDS
        callers = start_callers(fleet, loads, total_seconds, self._seed)
        time.sleep(LOAD_BEFORE_SECONDS)
        self._meter.begin()
        release_start = time.time()
        start_release(fleet, SECOND_RELEASE)
        seconds_to_all = self._wait_for_engines(limit_seconds)
        rollout_end = time.time()
        self._meter.end(seconds_to_all)
        time.sleep(LOAD_AFTER_SECONDS)
        callers.stop()
        windows = Windows(release_start - LOAD_BEFORE_SECONDS, release_start, rollout_end)
        return self._build_result(callers.wait(), windows, seconds_to_all)

    def _limit_seconds(self) -> float:
        return TIMEOUT_EXTRA_SECONDS + TIMEOUT_FACTOR * self._bound_seconds()

    def _bound_seconds(self) -> float:
        plan = self._fleet.deployment
        fetching_zones = min(ORIGIN_COPIES, len(plan.zones))
        slowest = min(
            ORIGIN_BITS_PER_SECOND / fetching_zones,
            REGION_BITS_PER_SECOND,
            MACHINE_BITS_PER_SECOND,
        )
        return self._size_bytes * BITS_PER_BYTE / slowest + LOAD_SECONDS

    def _wait_for_engines(self, limit_seconds: float) -> float:
        """Waits until the rollout is over; causes and heals the fault meanwhile.

        Returns the seconds since the start, or the limit if it is reached.
        """
        start = time.monotonic()
        while time.monotonic() - start < limit_seconds:
            elapsed_seconds = time.monotonic() - start
            if self._fault is not None:
                self._fault.step(self._fleet, self._fetched_share(), elapsed_seconds)
            if self._is_over():
                return time.monotonic() - start
            self._meter.sample()
            time.sleep(POLL_SECONDS)
        return limit_seconds

    def _is_over(self) -> bool:
        if self._fault is not None and not self._fault.is_over():
            return False
        if self._fault is not None and not self._fault.reaches_all:
            return _find_release(self._fleet, SECOND_RELEASE)['status'] == 'failed'
        return len(engines_serving(self._fleet, SECOND_RELEASE)) == self._count_live_engines()

    def _count_live_engines(self) -> int:
        lost = self._fault.lost_engines if self._fault else 0
        return len(self._fleet.names(ProcessKind.engine)) - lost

    def _fetched_share(self) -> float:
        zones = min(ORIGIN_COPIES, len(self._fleet.deployment.zones))
        return self._origin_bytes() / self._size_bytes / zones

    def _origin_bytes(self) -> int:
        counts = self._fleet.get_from_fake('origin', '/admin/counts')
        return int(counts.get('bytes_by_path', {}).get(f'/{SECOND_RELEASE}.bin', 0))

    def _build_result(
        self, records: list[dict[str, Any]], windows: Windows, seconds_to_all: float
    ) -> BurstResult:
        fleet = self._fleet
        load = summarise_load(records, windows)
        bound = self._bound_seconds()
        release = _find_release(fleet, SECOND_RELEASE)
        load_records = fleet.all_records(fleet.names(ProcessKind.engine), 'load')
        return BurstResult(
            site=self._site,
            fault=self._fault.name if self._fault else '',
            size_mib=self._size_bytes / MEBIBYTE,
            replicas=len(engines_serving(fleet, SECOND_RELEASE)),
            engines=self._count_live_engines(),
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
            wrong_loads=sum(record['digest'] != record['declared'] for record in load_records),
            release_status=release['status'],
            release_reason=release['reason'],
            tracker_messages_per_agent_second=round(self._meter.messages_per_agent_second, 2),
            agent_memory_max_bytes=self._meter.memory_max_bytes,
        )


def _measure_baselines(fleet: Fleet, size_bytes: int) -> dict[str, Any]:
    path = f'/{SECOND_RELEASE}.bin'
    measured = {
        'straight_from_origin': fetch_directly(fleet, path),
        'seed_per_zone': fetch_by_seeds(fleet, path),
    }
    return {name: _baseline_figures(baseline, size_bytes) for name, baseline in measured.items()}


def _baseline_figures(baseline: Baseline, size_bytes: int) -> dict[str, float]:
    return {
        'seconds_to_all': round(baseline.seconds + LOAD_SECONDS, 2),
        'origin_copies': round(baseline.origin_bytes / size_bytes, 3),
    }


def _result_name(outcome: BurstResult) -> str:
    parts = ('burst', outcome.site, str(outcome.engines), outcome.fault)
    return '-'.join(part for part in parts if part)


def _write_result(outcome: BurstResult, as_json: bool) -> None:
    document = {**asdict(outcome), 'misses': outcome.missed_targets()}
    folder = Path('results')
    folder.mkdir(exist_ok=True)
    (folder / f'{_result_name(outcome)}.json').write_text(
        json.dumps(document, indent=1) + '\n', 'utf8'
    )
    if as_json:
        print(json.dumps(document))
        return
    table = Table('measure', 'result', title='burst')
    for measure, figure in document.items():
        table.add_row(measure, str(figure))
    Console(file=sys.stdout).print(table)
