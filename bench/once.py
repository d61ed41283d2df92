"""At-most-once execution of bookings while entries, agents and the control leader are killed.

Three data centres behind the fault-injecting proxy, three voters. Bookings carry
idempotency keys; a caller whose answer is lost sends the booking again to another entry.
Generations run at the same time. The plain services record every run themselves; the
experiment compares these records with the outcomes that the callers received.
"""

import json
import random
import sys
import time
from collections import Counter, defaultdict
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from bench.harness.callers import (
    CallersProcess,
    CustomerLoad,
    start_callers,
    summarise_latency,
    summarise_requests,
)
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Customer, Deployment, Shaping
from bench.harness.serving import call_path, serve_release

CUSTOMERS = tuple(f'customer-{number}' for number in range(6))
BOOKINGS_PER_SECOND = 8.0
GENERATIONS_PER_SECOND = 1.0
CHAOS_SECONDS = 45.0
BETWEEN_KILLS_SECONDS = 1.5
RESTART_DELAY_SECONDS = 1.0
MIN_BOOKINGS = 2000
MAX_CLAIM_ROUND_TRIPS = 2.0
MAX_RUNS_PER_KEY = 1
CLAIM_SAMPLES = 200
CLAIM_WARMUP_SAMPLES = 20


@dataclass(frozen=True)
class OnceResult:
    """The fields of ``--json``."""

    bookings: int
    runs_max_per_key: int
    runs: int
    told_not_run_but_ran: int
    done_but_not_run: int
    wrong_answers: int
    truncated_as_whole: int
    unknown_share: float
    done_share: float
    claim_p50_ms: float
    claim_p95_ms: float
    quorum_round_trip_ms: float
    claim_p95_round_trips: float
    kills: dict[str, int]
    generations: int
    generations_answered: int


@dataclass(frozen=True)
class ClaimCost:
    """Latency that a claim adds to a call, and the quorum round trip, in milliseconds."""

    p50_ms: float
    p95_ms: float
    round_trip_ms: float


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Runs the experiment; exit status 0 means that every target was met."""
    with running_fleet(_deployment()) as fleet:
        serve_release(fleet, 'model-1', CUSTOMERS[0])
        cost = _measure_claim_cost(fleet)
        callers = start_callers(fleet, _loads(), CHAOS_SECONDS)
        kills = _kill_processes(fleet, callers)
        result = _build_result(fleet, callers.wait(), cost, kills)
    Path('results').mkdir(exist_ok=True)
    Path('results/once.json').write_text(json.dumps(asdict(result), indent=1), 'utf8')
    print(json.dumps(asdict(result), indent=None if as_json else 1))
    return 0 if _meets_targets(result) else 1


def _deployment() -> Deployment:
    no_limit = Customer(requests_per_second=1000, max_concurrent=1000)
    return Deployment(
        engines_per_zone=1,
        services=3,
        voters=3,
        entries_per_zone=2,
        customers={name: no_limit for name in CUSTOMERS},
        shaping=Shaping(zone_delay_seconds=0.001, region_delay_seconds=0.003),
    )


def _loads() -> list[CustomerLoad]:
    booking_loads = [CustomerLoad(name, BOOKINGS_PER_SECOND, kind='book') for name in CUSTOMERS]
    return [
        *booking_loads,
        *(CustomerLoad(name, GENERATIONS_PER_SECOND) for name in CUSTOMERS[:3]),
    ]


def _kill_processes(fleet: Fleet, callers: CallersProcess) -> dict[str, int]:
    """Kills one process after another and restarts each shortly after.

    Returns the number of kills of each kind of process.
    """
    rng = random.Random(7)
    kills: Counter[str] = Counter()
    deadline = time.monotonic() + CHAOS_SECONDS - 2 * BETWEEN_KILLS_SECONDS
    kinds = [ProcessKind.entry, ProcessKind.agent, ProcessKind.control]
    kill_number = 0
    while time.monotonic() < deadline and callers.child.is_running():
        kind = kinds[kill_number % len(kinds)]
        kill_number += 1
        name = (
            _leader_name(fleet) if kind is ProcessKind.control else rng.choice(fleet.names(kind))
        )
        fleet.kill(name)
        kills[str(kind)] += 1
        time.sleep(RESTART_DELAY_SECONDS)
        fleet.restart(name)
        time.sleep(BETWEEN_KILLS_SECONDS)
    return dict(kills)


def _leader_name(fleet: Fleet) -> str:
    for process in fleet.layout.of_kind(ProcessKind.control):
        status = _status(fleet, process.public_address(1))
        if status.get('consensus', {}).get('role') == 'leader':
            return process.name
    return fleet.names(ProcessKind.control)[0]


def _status(fleet: Fleet, address: str) -> dict[str, Any]:
    from bench.harness.http import call
    from bench.harness.settings_files import BOOTSTRAP_TOKEN

    headers = {'Authorization': f'Bearer {BOOTSTRAP_TOKEN}'}
    reply = call('GET', address, '/v1/status', None, headers, timeout_seconds=1)
    return reply.content if reply.status == 200 else {}


def _measure_claim_cost(fleet: Fleet) -> ClaimCost:
    """Times calls with an idempotency key and without one; the difference is the cost of a claim.

    The quorum round trip is the median time of a claim that the ledger refuses (it is
    committed like any other, but nothing is run) minus the median time of a call whose
    token is refused.
    """
    address = fleet.entry_addresses()[0]
    path = call_path(fleet, 'book')
    without_key, with_key = [], []
    for number in range(CLAIM_SAMPLES):
        content = {'slot': f'cost-{number}', 'customer': 'cost'}
        for durations, headers in (
            (without_key, {}),
            (with_key, {'Idempotency_Key': f'cost-{number}'}),
        ):
            start = time.monotonic()
            fleet.call_entry(address, CUSTOMERS[0], 'POST', path, content, **headers)
            durations.append(time.monotonic() - start)
    claim_refused, token_refused = [], []
    for number in range(CLAIM_SAMPLES):
        start = time.monotonic()
        content = {'slot': 'other', 'customer': 'cost'}
        fleet.call_entry(
            address, CUSTOMERS[0], 'POST', path, content, Idempotency_Key=f'cost-{number}'
        )
        claim_refused.append(time.monotonic() - start)
        start = time.monotonic()
        fleet.call_entry(address, 'nobody', 'POST', path, content)
        token_refused.append(time.monotonic() - start)
    plain_latency = summarise_latency(without_key[CLAIM_WARMUP_SAMPLES:])
    claim_latency = summarise_latency(with_key[CLAIM_WARMUP_SAMPLES:])
    return ClaimCost(
        1000 * (claim_latency.p50_seconds - plain_latency.p50_seconds),
        1000 * (claim_latency.p95_seconds - plain_latency.p95_seconds),
        1000
        * (
            summarise_latency(claim_refused[CLAIM_WARMUP_SAMPLES:]).p50_seconds
            - summarise_latency(token_refused).p50_seconds
        ),
    )


def _build_result(
    fleet: Fleet, records: list[dict[str, Any]], cost: ClaimCost, kills: dict[str, int]
) -> OnceResult:
    bookings = [record for record in records if record['kind'] == 'book']
    runs = defaultdict(list)
    for service_run in fleet.all_records(fleet.names(ProcessKind.service)):
        runs[service_run['slot']].append(service_run)
    outcomes = Counter(record['outcome'] if record['status'] else 'lost' for record in bookings)
    summary = summarise_requests(records)
    wrong = [record for record in records if record['status'] == 200 and not record['correct']]
    truncated = [record for record in wrong if record['kind'] == 'generate']
    total = max(1, len(bookings))
    booking_ids = {record['id'] for record in bookings}
    counts = [len(runs[slot]) for slot in booking_ids]
    print(f'{outcomes} {kills}', file=sys.stderr)
    return OnceResult(
        bookings=len(bookings),
        runs_max_per_key=max(counts, default=0),
        runs=sum(counts),
        told_not_run_but_ran=sum(
            _is_wrong_not_run(record, runs[record['id']]) for record in bookings
        ),
        done_but_not_run=sum(
            record['status'] == 200 and not runs[record['id']] for record in bookings
        ),
        wrong_answers=len(wrong),
        truncated_as_whole=len(truncated),
        unknown_share=round((outcomes['unknown'] + outcomes['lost']) / total, 4),
        done_share=round(outcomes['done'] / total, 4),
        claim_p50_ms=round(cost.p50_ms, 2),
        claim_p95_ms=round(cost.p95_ms, 2),
        quorum_round_trip_ms=round(cost.round_trip_ms, 2),
        claim_p95_round_trips=round(cost.p95_ms / cost.round_trip_ms, 2),
        kills=kills,
        generations=summary.requests,
        generations_answered=summary.answered,
    )


def _is_wrong_not_run(record: dict[str, Any], runs: list[dict[str, Any]]) -> bool:
    """Returns whether the caller received ``not-run`` for a booking that had run or ran later."""
    run_starts = [run['started_seconds'] for run in runs]
    if record['told'] and record['told'][-1][1] == 'not-run' and runs:
        return True
    return any(
        outcome == 'not-run' and any(start < told_seconds for start in run_starts)
        for told_seconds, outcome, _ in record['told']
    )


def _meets_targets(result: OnceResult) -> bool:
    targets = (
        result.bookings >= MIN_BOOKINGS,
        result.runs_max_per_key <= MAX_RUNS_PER_KEY,
        result.told_not_run_but_ran == 0,
        result.done_but_not_run == 0,
        result.wrong_answers == 0,
        result.truncated_as_whole == 0,
        result.claim_p95_round_trips <= MAX_CLAIM_ROUND_TRIPS,
    )
    return all(targets)
