"""Service while a data centre is taken out, comes back, and is cut off hard.

Three data centres with two engines and a plain service each carry live work,
a label's long night work and bookings. The last lines of the result compare the
latency with the lowest that the engines in service could have given.
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
from bench.ideal import Arrival, ideal_seconds

ZONES = {'attica-a': 'attica', 'macedonia-a': 'macedonia', 'crete-a': 'crete'}
ENGINES_PER_ZONE = 2
LEAVING = 'crete-a'
PHASE_SECONDS = 12.0
SETTLE_SECONDS = 3.0
TAIL_SECONDS = 8.0
ENGINE = EngineOptions(step_seconds=0.08, tokens_per_step=4, cold_limit=4)
LIVE_TOKENS = 32
NIGHT_TOKENS = 96
PROMPT_CHARACTERS = 200
PERCENT_95 = 0.95
CALLER_DELAY_SECONDS = 0.003
HELD_SECONDS = 5.0
MIB = 1024 * 1024
TARGET_NEW_WORK_SECONDS = 3.0
TARGET_RATIO = 1.3


@dataclass(frozen=True)
class Marks:
    """Wall times of what the operator and the fault did."""

    begin: float
    out: float
    complete: float
    back: float
    cut: float
    end: float


@dataclass(frozen=True)
class ServiceResult:
    """The fields of ``--json``; ``cut_*`` are of requests planned after the hard cut."""

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

    def succeeded(self) -> bool:
        """Tells whether every target of the planned changes is met."""
        kept = (
            not self.failed,
            not self.cut_off,
            not self.wrong_answers,
            not self.cut_wrong_answers,
            not self.bookings_run_twice,
            self.new_work_after_seconds <= TARGET_NEW_WORK_SECONDS,
            self.p95_ratio_out <= TARGET_RATIO,
            self.p95_ratio_back <= TARGET_RATIO,
        )
        return all(kept)


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
        roll_out(fleet, 'critique-1', MIB)
        _wait_healthy(fleet)
        seconds = 4 * PHASE_SECONDS + TAIL_SECONDS
        callers = start_callers(fleet, _loads(), seconds, seed)
        marks = _play(fleet, callers, cut)
        result = _sum_up(fleet, callers.wait(), marks)
        save_series(fleet, 'service', asdict(marks))
    Path('results').mkdir(exist_ok=True)
    text = json.dumps(asdict(result))
    Path('results/service.json').write_text(f'{text}\n', 'utf8')
    print(text if as_json else json.dumps(asdict(result), indent=1))
    return 0 if result.succeeded() else 1


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
    night = {'max_tokens': NIGHT_TOKENS, 'priority': 'batch', 'stream': False}
    return [
        CustomerLoad('label', 1.5, options=night),
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


def _play(fleet: Fleet, callers: CallersProcess, cut: str) -> Marks:
    begin = time.time()
    time.sleep(PHASE_SECONDS)
    out = time.time()
    require_accepted(fleet.command('zone-out', name=LEAVING))
    complete = _wait_zone(fleet, lambda zone: bool(zone['complete']))
    time.sleep(max(0, out + PHASE_SECONDS - time.time()))
    back = time.time()
    require_accepted(fleet.command('zone-in', name=LEAVING))
    time.sleep(PHASE_SECONDS)
    cut_at = time.time()
    _cut_off(fleet, cut)
    time.sleep(PHASE_SECONDS)
    end = time.time()
    if fleet.proxy is not None:
        fleet.proxy.heal()
    return Marks(begin, out, complete, back, cut_at, end)


def _wait_zone(fleet: Fleet, is_so: Callable[[dict[str, Any]], bool]) -> float:
    def look() -> bool:
        reply = fleet.admin('GET', f'/v1/zones/{LEAVING}')
        return reply.status == 200 and is_so(reply.content)

    wait_until(look, 30, f'{LEAVING} complete')
    return time.time()


def _cut_off(fleet: Fleet, cut: str) -> None:
    if cut == 'partition' and fleet.proxy is not None:
        fleet.proxy.isolate(LEAVING)
        return
    for place in fleet.layout.processes.values():
        if place.zone == LEAVING and place.kind is not ProcessKind.origin:
            fleet.kill(place.name)


def _sum_up(fleet: Fleet, lines: list[dict[str, Any]], marks: Marks) -> ServiceResult:
    # What was under way at the cut is reported apart from what was planned.
    planned = [line for line in lines if line['end_seconds'] < marks.cut]
    in_flight = [
        line for line in lines if line['scheduled_seconds'] < marks.cut <= line['end_seconds']
    ]
    after = [line for line in lines if marks.cut <= line['scheduled_seconds'] < marks.end]
    # Callers with an address in the cut data centre may connect there and hear nothing.
    heard = [line for line in after if _first_told_seconds(line) < HELD_SECONDS]
    before = _between(lines, marks.begin, marks.out)
    out = _between(lines, marks.out, marks.back)
    back = _between(lines, marks.back, marks.cut)
    all_engines = len(ZONES) * ENGINES_PER_ZONE
    failures = [line for line in lines if not line['correct']]
    return ServiceResult(
        requests=len(lines),
        failed=_failed(planned),
        cut_off=sum(line['outcome'] == 'unknown' for line in planned),
        wrong_answers=_wrong(planned),
        new_work_after_seconds=round(_last_new_work(fleet, marks) - marks.out, 3),
        zone_out_complete_seconds=round(marks.complete - marks.out, 3),
        p95_before_seconds=_p95(_live(before)),
        p95_out_seconds=_p95(_live(out)),
        p95_back_seconds=_p95(_live(back)),
        p95_ratio_before=_ratio(before, all_engines),
        p95_ratio_out=_ratio(out, all_engines - ENGINES_PER_ZONE),
        p95_ratio_back=_ratio(back, all_engines),
        cut_requests=len(after),
        cut_failed=_failed(after),
        cut_unknown=sum(line['outcome'] == 'unknown' for line in after),
        cut_wrong_answers=_wrong(after) + _wrong(in_flight),
        cut_in_flight_failed=_failed(in_flight),
        cut_held_by_entry=len(after) - len(heard),
        cut_placed_seconds=_longest_to_first(_live(heard)),
        bookings_run_twice=_run_twice(fleet),
        failures=dict(Counter(_describe(line, marks) for line in failures)),
    )


def _between(lines: list[dict[str, Any]], begin: float, end: float) -> list[dict[str, Any]]:
    return [line for line in lines if begin <= line['scheduled_seconds'] < end]


def _live(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return [line for line in lines if line['kind'] == 'generate' and line['customer'] != 'label']


def _failed(lines: list[dict[str, Any]]) -> int:
    return sum(not line['correct'] for line in lines)


def _wrong(lines: list[dict[str, Any]]) -> int:
    return sum(
        line['status'] == 200 and line['outcome'] == 'done' and not line['correct']
        for line in lines
    )


def _p95(lines: list[dict[str, Any]]) -> float:
    return round(_percentile([_took(line) for line in lines if line['correct']]), 3)


def _took(line: dict[str, Any]) -> float:
    return float(line['end_seconds'] - line['scheduled_seconds'])


def _first_told_seconds(line: dict[str, Any]) -> float:
    return float(line['told'][0][0] - line['scheduled_seconds'])


def _percentile(seconds: list[float]) -> float:
    return sorted(seconds)[int(len(seconds) * PERCENT_95)] if seconds else 0


def _ratio(lines: list[dict[str, Any]], engines: int) -> float:
    """Compares the live requests with one perfect queue under the same arrivals."""
    arrivals = [_arrival(line) for line in lines if line['kind'] == 'generate']
    ideal = ideal_seconds(arrivals, engines, ENGINE)
    live = [took for took, arrival in zip(ideal, arrivals, strict=True) if not arrival.is_batch]
    lowest = _percentile(live) + 2 * CALLER_DELAY_SECONDS
    return round(_p95(_live(lines)) / lowest, 3)


def _arrival(line: dict[str, Any]) -> Arrival:
    is_night = line['customer'] == 'label'
    tokens = NIGHT_TOKENS if is_night else LIVE_TOKENS
    return Arrival(line['scheduled_seconds'], PROMPT_CHARACTERS, tokens, is_night)


def _last_new_work(fleet: Fleet, marks: Marks) -> float:
    kinds = (ProcessKind.engine, ProcessKind.service)
    upstreams = [name for kind in kinds for name in fleet.names(kind, LEAVING)]
    times = [found['time_seconds'] for found in fleet.all_records(upstreams)]
    return max([moment for moment in times if marks.out <= moment < marks.back], default=marks.out)


def _longest_to_first(lines: list[dict[str, Any]]) -> float:
    waits = [
        (line['first_seconds'] or line['end_seconds']) - line['scheduled_seconds']
        for line in lines
    ]
    return round(max(waits, default=0), 3)


def _run_twice(fleet: Fleet) -> int:
    slots = Counter(found['slot'] for found in fleet.all_records(fleet.names(ProcessKind.service)))
    return sum(count > 1 for count in slots.values())


def _describe(line: dict[str, Any], marks: Marks) -> str:
    moments = (marks.out, marks.back, marks.cut, marks.end)
    phase = sum(line['scheduled_seconds'] >= moment for moment in moments)
    phases = ('before', 'out', 'back', 'cut', 'healed')
    return f'{phases[phase]} {line["kind"]} {line["outcome"]} {line["code"] or line["reason"]}'


if __name__ == '__main__':
    sys.exit(run())
