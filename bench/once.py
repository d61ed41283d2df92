"""At most once: bookings under kills of entries, agents and the control leader.

Three data centres behind the fault-injecting proxy, three voters. Bookings carry
keys and are sent again, to another entry, when an answer is lost; generations
run beside them. Every run at the plain services is recorded by the services
themselves and compared with what the callers were told.
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
BOOKING_RATE = 8.0
GENERATE_RATE = 1.0
CHAOS_SECONDS = 45.0
PAUSE_SECONDS = 1.5
BACK_SECONDS = 1.0
MIN_BOOKINGS = 2000
MAX_CLAIM_ROUND_TRIPS = 2.0
MAX_RUNS = 1
CLAIM_SAMPLES = 200
CLAIM_WARM = 20


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
    """What a claim adds to a call, in milliseconds."""

    p50_ms: float
    p95_ms: float
    round_trip_ms: float


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Books under kills; exit status 0 means that every promise was kept."""
    with running_fleet(_deployment()) as fleet:
        serve_release(fleet, 'model-1', CUSTOMERS[0])
        cost = _claim_cost(fleet)
        callers = start_callers(fleet, _loads(), CHAOS_SECONDS)
        kills = _disturb(fleet, callers)
        result = _sum_up(fleet, callers.wait(), cost, kills)
    Path('results').mkdir(exist_ok=True)
    Path('results/once.json').write_text(json.dumps(asdict(result), indent=1), 'utf8')
    print(json.dumps(asdict(result), indent=None if as_json else 1))
    return 0 if _met(result) else 1


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
    bookings = [CustomerLoad(name, BOOKING_RATE, kind='book') for name in CUSTOMERS]
    return [*bookings, *(CustomerLoad(name, GENERATE_RATE) for name in CUSTOMERS[:3])]


def _disturb(fleet: Fleet, callers: CallersProcess) -> dict[str, int]:
    """Kills one process after another and brings each back a little later."""
    rng = random.Random(7)
    kills: Counter[str] = Counter()
    until = time.monotonic() + CHAOS_SECONDS - 2 * PAUSE_SECONDS
    kinds = [ProcessKind.entry, ProcessKind.agent, ProcessKind.control]
    turn = 0
    while time.monotonic() < until and callers.child.is_running():
        kind = kinds[turn % len(kinds)]
        turn += 1
        name = _leader(fleet) if kind is ProcessKind.control else rng.choice(fleet.names(kind))
        fleet.kill(name)
        kills[str(kind)] += 1
        time.sleep(BACK_SECONDS)
        fleet.restart(name)
        time.sleep(PAUSE_SECONDS)
    return dict(kills)


def _leader(fleet: Fleet) -> str:
    for place in fleet.layout.of_kind(ProcessKind.control):
        status = _status(fleet, place.public_address(1))
        if status.get('consensus', {}).get('role') == 'leader':
            return place.name
    return fleet.names(ProcessKind.control)[0]


def _status(fleet: Fleet, address: str) -> dict[str, Any]:
    from bench.harness.http import call
    from bench.harness.settings_files import BOOTSTRAP_TOKEN

    headers = {'Authorization': f'Bearer {BOOTSTRAP_TOKEN}'}
    reply = call('GET', address, '/v1/status', None, headers, timeout_seconds=1)
    return reply.content if reply.status == 200 else {}


def _claim_cost(fleet: Fleet) -> ClaimCost:
    """Times calls with a key and without one; the difference is the claim.

    One quorum round trip is the time of a claim that the ledger refuses (it is
    committed like any other, but nothing is run) less that of a call whose token
    is refused, both at the median.
    """
    address = fleet.entry_addresses()[0]
    path = call_path(fleet, 'book')
    plain, claimed = [], []
    for number in range(CLAIM_SAMPLES):
        content = {'slot': f'cost-{number}', 'customer': 'cost'}
        for durations, headers in ((plain, {}), (claimed, {'Idempotency_Key': f'cost-{number}'})):
            began = time.monotonic()
            fleet.call_entry(address, CUSTOMERS[0], 'POST', path, content, **headers)
            durations.append(time.monotonic() - began)
    round_trips, refused = [], []
    for number in range(CLAIM_SAMPLES):
        began = time.monotonic()
        content = {'slot': 'other', 'customer': 'cost'}
        fleet.call_entry(
            address, CUSTOMERS[0], 'POST', path, content, Idempotency_Key=f'cost-{number}'
        )
        round_trips.append(time.monotonic() - began)
        began = time.monotonic()
        fleet.call_entry(address, 'nobody', 'POST', path, content)
        refused.append(time.monotonic() - began)
    without = summarise_latency(plain[CLAIM_WARM:])
    with_claim = summarise_latency(claimed[CLAIM_WARM:])
    return ClaimCost(
        1000 * (with_claim.p50_seconds - without.p50_seconds),
        1000 * (with_claim.p95_seconds - without.p95_seconds),
        1000
        * (
            summarise_latency(round_trips[CLAIM_WARM:]).p50_seconds
            - summarise_latency(refused).p50_seconds
        ),
    )


def _sum_up(
    fleet: Fleet, lines: list[dict[str, Any]], cost: ClaimCost, kills: dict[str, int]
) -> OnceResult:
    booked = [line for line in lines if line['kind'] == 'book']
    runs = defaultdict(list)
    for record in fleet.all_records(fleet.names(ProcessKind.service)):
        runs[record['slot']].append(record)
    outcomes = Counter(line['outcome'] if line['status'] else 'lost' for line in booked)
    asked = summarise_requests(lines)
    broken = [line for line in lines if line['status'] == 200 and not line['correct']]
    truncated = [line for line in broken if line['kind'] == 'generate']
    total = max(1, len(booked))
    booked_ids = {line['id'] for line in booked}
    counts = [len(runs[slot]) for slot in booked_ids]
    print(f'{outcomes} {kills}', file=sys.stderr)
    return OnceResult(
        bookings=len(booked),
        runs_max_per_key=max(counts, default=0),
        runs=sum(counts),
        told_not_run_but_ran=sum(_told_wrong(line, runs[line['id']]) for line in booked),
        done_but_not_run=sum(line['status'] == 200 and not runs[line['id']] for line in booked),
        wrong_answers=len(broken),
        truncated_as_whole=len(truncated),
        unknown_share=round((outcomes['unknown'] + outcomes['lost']) / total, 4),
        done_share=round(outcomes['done'] / total, 4),
        claim_p50_ms=round(cost.p50_ms, 2),
        claim_p95_ms=round(cost.p95_ms, 2),
        quorum_round_trip_ms=round(cost.round_trip_ms, 2),
        claim_p95_round_trips=round(cost.p95_ms / cost.round_trip_ms, 2),
        kills=kills,
        generations=asked.requests,
        generations_answered=asked.answered,
    )


def _told_wrong(line: dict[str, Any], runs: list[dict[str, Any]]) -> bool:
    """Tells whether ``not-run`` was said of a booking that had run, or that ran later."""
    began = [run['started_seconds'] for run in runs]
    if line['told'] and line['told'][-1][1] == 'not-run' and runs:
        return True
    return any(
        outcome == 'not-run' and any(second < told_seconds for second in began)
        for told_seconds, outcome, _ in line['told']
    )


def _met(result: OnceResult) -> bool:
    targets = (
        result.bookings >= MIN_BOOKINGS,
        result.runs_max_per_key <= MAX_RUNS,
        result.told_not_run_but_ran == 0,
        result.done_but_not_run == 0,
        result.wrong_answers == 0,
        result.truncated_as_whole == 0,
        result.claim_p95_round_trips <= MAX_CLAIM_ROUND_TRIPS,
    )
    return all(targets)
