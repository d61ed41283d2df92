"""Service while a data centre is taken out of service, put back, and then cut off abruptly.

Three data centres with two engines and a plain service each carry live requests, long
batch requests of the customer ``label``, and bookings. The ``p95_ratio_`` figures compare
the latency with the lowest that the engines in service could reach.
"""

import json
import sys
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from bench.fakes.engine import EngineOptions
from bench.harness.callers import CallersProcess, CustomerLoad, start_callers
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Customer, Deployment, Shaping
from bench.harness.releases import require_accepted, roll_out
from bench.harness.series import save_series
from bench.harness.waiting import wait_until
from bench.ideal import Arrival, ideal_latencies

ZONES = {'attica-a': 'attica', 'macedonia-a': 'macedonia', 'crete-a': 'crete'}
ENGINES_PER_ZONE = 2
LEAVING_ZONE = 'crete-a'
PHASE_SECONDS = 12.0
SETTLE_SECONDS = 3.0
TAIL_SECONDS = 8.0
ENGINE = EngineOptions(step_seconds=0.08, tokens_per_step=4, cold_limit=4)
LIVE_TOKENS = 32
BATCH_TOKENS = 96
PROMPT_CHARACTERS = 200
P95_SHARE = 0.95
CALLER_DELAY_SECONDS = 0.003
HELD_CALL_SECONDS = 5.0
MEBIBYTE = 1024 * 1024
TARGET_NEW_WORK_SECONDS = 3.0
TARGET_RATIO = 1.3


@dataclass(frozen=True)
class Marks:
    """Unix times of the operator's commands and of the fault."""

    begin: float
    out: float
    complete: float
    back: float
    cut: float
    end: float


@dataclass(frozen=True)
class ServiceResult:
    """The fields of ``--json``.

    ``cut_requests``, ``cut_failed``, ``cut_unknown``, ``cut_held_by_entry`` and
    ``cut_placed_seconds`` cover the requests scheduled after the cut,
    ``cut_in_flight_failed`` those in flight at the cut, ``cut_wrong_answers`` both.
    ``failed``, ``cut_off`` (outcome unknown) and ``wrong_answers`` count requests that ended
    before the cut.
    """

    requests: int
    failed: int
    cut_off: int
    wrong_answers: int
    new_work_after_seconds: float
    zone_out_complete_seconds: float
    p95_before_seconds: float
    p95_out_seconds: float
    p95_back_seconds: float
    p95_ratio_before: float
    p95_ratio_out: float
    p95_ratio_back: float
    cut_requests: int
    cut_failed: int
    cut_unknown: int
    cut_wrong_answers: int
    cut_in_flight_failed: int
    cut_held_by_entry: int
    cut_placed_seconds: float
    bookings_run_twice: int
    failures: dict[str, int]

    def meets_targets(self) -> bool:
        """Returns whether every target is met; after the cut, requests may fail but not be wrong."""
        targets = (
            not self.failed,
            not self.cut_off,
            not self.wrong_answers,
            not self.cut_wrong_answers,
            not self.bookings_run_twice,
            self.new_work_after_seconds <= TARGET_NEW_WORK_SECONDS,
            self.p95_ratio_out <= TARGET_RATIO,
            self.p95_ratio_back <= TARGET_RATIO,
        )
        return all(targets)


def run(
    *,
    as_json: Annotated[bool, Parameter(name='--json', negative=())] = False,
    cut: str = 'partition',
    seed: int = 1,
) -> int:
    """Runs the experiment; ``cut`` is ``partition`` or ``kill``."""
    with running_fleet(_deployment()) as fleet:
        fleet.wait_leader()
        require_accepted(fleet.command('apply', document=_document(fleet)))
        roll_out(fleet, 'critique-1', MEBIBYTE)
        _wait_healthy(fleet)
        seconds = 4 * PHASE_SECONDS + TAIL_SECONDS
        callers = start_callers(fleet, _loads(), seconds, seed)
        marks = _run_phases(fleet, callers, cut)
        result = _build_result(fleet, callers.wait(), marks)
        save_series(fleet, 'service', asdict(marks))
    Path('results').mkdir(exist_ok=True)
    text = json.dumps(asdict(result))
    Path('results/service.json').write_text(f'{text}\n', 'utf8')
    print(text if as_json else json.dumps(asdict(result), indent=1))
    return 0 if result.meets_targets() else 1


def _deployment() -> Deployment:
    return Deployment(
        zones=ZONES,
        engines_per_zone=ENGINES_PER_ZONE,
        services=3,
        voters=3,
        customers={'label': Customer(weight=4), 'producer': Customer(), 'studio': Customer()},
        engine=ENGINE,
        agent_cold_limit=4,
        shaping=Shaping(
            zone_delay_seconds=0.0015,
            region_delay_seconds=0.003,
            caller_delay_seconds=CALLER_DELAY_SECONDS,
            region_bits_per_second=10_000_000,
        ),
    )


def _document(fleet: Fleet) -> dict[str, Any]:
    import yaml

    document = yaml.safe_load(fleet.files.base_path.read_text('utf8'))
    sections = ('backends', 'customers', 'zones', 'sites', 'weights')
    return {name: document[name] for name in sections if name in document}


def _loads() -> list[CustomerLoad]:
    batch_options = {'max_tokens': BATCH_TOKENS, 'priority': 'batch', 'stream': False}
    return [
        CustomerLoad('label', 1.5, options=batch_options),
        CustomerLoad('producer', 4, options={'max_tokens': LIVE_TOKENS}),
        CustomerLoad('studio', 4, options={'max_tokens': LIVE_TOKENS}),
        CustomerLoad('producer', 0.7, kind='book'),
        CustomerLoad('studio', 0.7, kind='book'),
    ]


def _wait_healthy(fleet: Fleet) -> None:
    def serving() -> bool:
        zones = fleet.admin('GET', '/v1/status').content['zones']
        counts = [
            zone['backends'].get(fleet.deployment.engine_backend, {}).get('serving', 0)
            for zone in zones
        ]
        return all(count == ENGINES_PER_ZONE for count in counts)

    wait_until(serving, 30, 'every engine serves')


def _run_phases(fleet: Fleet, callers: CallersProcess, cut: str) -> Marks:
    begin = time.time()
    time.sleep(PHASE_SECONDS)
    out = time.time()
    require_accepted(fleet.command('zone-out', name=LEAVING_ZONE))
    complete = _wait_zone_status(fleet, lambda zone: bool(zone['complete']))
    time.sleep(max(0, out + PHASE_SECONDS - time.time()))
    back = time.time()
    require_accepted(fleet.command('zone-in', name=LEAVING_ZONE))
    time.sleep(PHASE_SECONDS)
    cut_at = time.time()
    _cut_zone(fleet, cut)
    time.sleep(PHASE_SECONDS)
    end = time.time()
    if fleet.proxy is not None:
        fleet.proxy.heal()
    return Marks(begin, out, complete, back, cut_at, end)


def _wait_zone_status(fleet: Fleet, condition: Callable[[dict[str, Any]], bool]) -> float:
    def check() -> bool:
        reply = fleet.admin('GET', f'/v1/zones/{LEAVING_ZONE}')
        return reply.status == 200 and condition(reply.content)

    wait_until(check, 30, f'{LEAVING_ZONE} complete')
    return time.time()


def _cut_zone(fleet: Fleet, cut: str) -> None:
    if cut == 'partition' and fleet.proxy is not None:
        fleet.proxy.isolate(LEAVING_ZONE)
        return
    for process in fleet.layout.processes.values():
        if process.zone == LEAVING_ZONE and process.kind is not ProcessKind.origin:
            fleet.kill(process.name)


def _build_result(fleet: Fleet, records: list[dict[str, Any]], marks: Marks) -> ServiceResult:
    # Requests in flight at the cut are reported separately from those that ended before it.
    before_cut = [record for record in records if record['end_seconds'] < marks.cut]
    in_flight = [
        record
        for record in records
        if record['scheduled_seconds'] < marks.cut <= record['end_seconds']
    ]
    after = [record for record in records if marks.cut <= record['scheduled_seconds'] < marks.end]
    # Callers with an address in the cut data centre may connect there and get no reply.
    not_held = [record for record in after if _first_outcome_seconds(record) < HELD_CALL_SECONDS]
    before = _between(records, marks.begin, marks.out)
    out = _between(records, marks.out, marks.back)
    back = _between(records, marks.back, marks.cut)
    all_engines = len(ZONES) * ENGINES_PER_ZONE
    failures = [record for record in records if not record['correct']]
    return ServiceResult(
        requests=len(records),
        failed=_count_failed(before_cut),
        cut_off=sum(record['outcome'] == 'unknown' for record in before_cut),
        wrong_answers=_count_wrong(before_cut),
        new_work_after_seconds=round(_last_new_work_time(fleet, marks) - marks.out, 3),
        zone_out_complete_seconds=round(marks.complete - marks.out, 3),
        p95_before_seconds=_p95(_live(before)),
        p95_out_seconds=_p95(_live(out)),
        p95_back_seconds=_p95(_live(back)),
        p95_ratio_before=_ratio_to_ideal(before, all_engines),
        p95_ratio_out=_ratio_to_ideal(out, all_engines - ENGINES_PER_ZONE),
        p95_ratio_back=_ratio_to_ideal(back, all_engines),
        cut_requests=len(after),
        cut_failed=_count_failed(after),
        cut_unknown=sum(record['outcome'] == 'unknown' for record in after),
        cut_wrong_answers=_count_wrong(after) + _count_wrong(in_flight),
        cut_in_flight_failed=_count_failed(in_flight),
        cut_held_by_entry=len(after) - len(not_held),
        cut_placed_seconds=_max_seconds_to_first(_live(not_held)),
        bookings_run_twice=_count_run_twice(fleet),
        failures=dict(Counter(_failure_label(record, marks) for record in failures)),
    )


def _between(records: list[dict[str, Any]], begin: float, end: float) -> list[dict[str, Any]]:
    return [record for record in records if begin <= record['scheduled_seconds'] < end]


def _live(records: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [
        record
        for record in records
        if record['kind'] == 'generate' and record['customer'] != 'label'
    ]


def _count_failed(records: list[dict[str, Any]]) -> int:
    return sum(not record['correct'] for record in records)


def _count_wrong(records: list[dict[str, Any]]) -> int:
    return sum(
        record['status'] == 200 and record['outcome'] == 'done' and not record['correct']
        for record in records
    )


def _p95(records: list[dict[str, Any]]) -> float:
    return round(
        _percentile([_duration_seconds(record) for record in records if record['correct']]), 3
    )


def _duration_seconds(record: dict[str, Any]) -> float:
    return float(record['end_seconds'] - record['scheduled_seconds'])


def _first_outcome_seconds(record: dict[str, Any]) -> float:
    return float(record['told'][0][0] - record['scheduled_seconds'])


def _percentile(seconds: list[float]) -> float:
    return sorted(seconds)[int(len(seconds) * P95_SHARE)] if seconds else 0


def _ratio_to_ideal(records: list[dict[str, Any]], engines: int) -> float:
    """Returns the p95 of the live requests over that of an ideal queue with the same arrivals."""
    arrivals = [_arrival(record) for record in records if record['kind'] == 'generate']
    ideal = ideal_latencies(arrivals, engines, ENGINE)
    live = [
        seconds for seconds, arrival in zip(ideal, arrivals, strict=True) if not arrival.is_batch
    ]
    lowest = _percentile(live) + 2 * CALLER_DELAY_SECONDS
    return round(_p95(_live(records)) / lowest, 3)


def _arrival(record: dict[str, Any]) -> Arrival:
    is_batch = record['customer'] == 'label'
    tokens = BATCH_TOKENS if is_batch else LIVE_TOKENS
    return Arrival(record['scheduled_seconds'], PROMPT_CHARACTERS, tokens, is_batch)


def _last_new_work_time(fleet: Fleet, marks: Marks) -> float:
    kinds = (ProcessKind.engine, ProcessKind.service)
    upstreams = [name for kind in kinds for name in fleet.names(kind, LEAVING_ZONE)]
    times = [upstream_run['time_seconds'] for upstream_run in fleet.all_records(upstreams)]
    return max([moment for moment in times if marks.out <= moment < marks.back], default=marks.out)


def _max_seconds_to_first(records: list[dict[str, Any]]) -> float:
    waits = [
        (record['first_seconds'] or record['end_seconds']) - record['scheduled_seconds']
        for record in records
    ]
    return round(max(waits, default=0), 3)


def _count_run_twice(fleet: Fleet) -> int:
    slots = Counter(
        service_run['slot'] for service_run in fleet.all_records(fleet.names(ProcessKind.service))
    )
    return sum(count > 1 for count in slots.values())


def _failure_label(record: dict[str, Any], marks: Marks) -> str:
    moments = (marks.out, marks.back, marks.cut, marks.end)
    phase = sum(record['scheduled_seconds'] >= moment for moment in moments)
    phases = ('before', 'out', 'back', 'cut', 'healed')
    return f'{phases[phase]} {record["kind"]} {record["outcome"]} {record["code"] or record["reason"]}'


if __name__ == '__main__':
    sys.exit(run())
