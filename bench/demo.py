"""The whole path on this machine: a new model reaches every engine while customers ask.

Starts three control voters, an entry and two engines in each of three data
centres, a plain service and an origin; creates customers, a site and releases
through the command line; ends in a table and an exit status that tells success.
"""

import json
import signal
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Annotated, Any

from cyclopts import Parameter
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from bench.fakes.engine import EngineOptions
from bench.harness.callers import CallersProcess, CustomerLoad, start_callers, summarise_requests
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import MEBIBYTE, Customer, Deployment
from bench.harness.releases import engines_serving, wait_engines_serving
from bench.harness.series import save_series

CUSTOMERS = (
    'aegean-records',
    'thessaloniki-masters',
    'piraeus-vinyl',
    'rethymno-sound',
    'volos-tapes',
    'kavala-studio',
    'ioannina-folk',
    'patras-jazz',
    'chania-lyra',
    'larissa-live',
)
LARGE_WEIGHT = 4.0
LARGE_CUSTOMERS = 2
BOOKING_CUSTOMERS = 4
MODEL_BYTES = 8 * MEBIBYTE
LOAD_SECONDS = 16.0
BEFORE_SECONDS = 2.0
ROLLOUT_SECONDS = 30.0
MAX_ORIGIN_COPIES = 4.0
FIRST, SECOND = 'critique-1', 'critique-2'


@dataclass(frozen=True)
class DemoResult:
    """What the demo shows; the fields of ``--json``."""

    replicas: int
    engines: int
    seconds_to_all: float
    origin_copies: float
    requests: int
    answered: int
    wrong_answers: int
    p95_seconds: float
    bookings: int
    bookings_run: int
    bookings_not_once: int
    run_seconds: float

    def succeeded(self) -> bool:
        """Tells whether every promise of the demo was kept."""
        kept = (
            self.replicas == self.engines,
            self.origin_copies <= MAX_ORIGIN_COPIES,
            self.requests == self.answered,
            self.answered > 0,
            self.wrong_answers == 0,
            self.bookings == self.bookings_run,
            self.bookings_not_once == 0,
            self.bookings > 0,
        )
        return all(kept)


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Runs the demo; exit status 0 means that all of it went well."""
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    console = Console(stderr=True, quiet=as_json)
    begin = time.monotonic()
    with running_fleet(_deployment()) as fleet:
        console.print(f'{len(fleet.children)} processes run on this machine')
        _prepare(fleet, console)
        outcome = _release_under_load(fleet, console, begin)
    if as_json:
        print(json.dumps(asdict(outcome)))
    else:
        _show(outcome)
    return 0 if outcome.succeeded() else 1


def _deployment() -> Deployment:
    customers = {
        name: Customer(weight=LARGE_WEIGHT if number < LARGE_CUSTOMERS else 1)
        for number, name in enumerate(CUSTOMERS)
    }
    zones = {'attica-a': 'attica', 'macedonia-a': 'macedonia', 'crete-a': 'crete'}
    return Deployment(
        zones=zones,
        engines_per_zone=2,
        voters=3,
        customers=customers,
        engine=EngineOptions(step_seconds=0.02, tokens_per_step=4),
    )


def _prepare(fleet: Fleet, console: Console) -> None:
    """Applies the settings and brings the first release to every engine."""
    fleet.wait_leader()
    _cli(fleet, 'apply', str(fleet.files.base_path), '--yes', '--wait')
    _cli(fleet, 'customer', 'put', 'spetses-sessions', '--weight', '2')
    backends = ('--backend', 'critique-models', '--backend', 'bookings-app')
    _cli(fleet, 'site', 'put', 'attica', '--zone', 'attica-a', *backends)
    _create(fleet, FIRST)
    _cli(fleet, 'release', 'start', FIRST)
    wait_engines_serving(fleet, FIRST, timeout_seconds=ROLLOUT_SECONDS)
    console.print(f'every engine serves {FIRST}; {len(CUSTOMERS)} customers begin to ask')


def _release_under_load(fleet: Fleet, console: Console, begin: float) -> DemoResult:
    callers = start_callers(fleet, _loads(), LOAD_SECONDS)
    time.sleep(BEFORE_SECONDS)
    _create(fleet, SECOND)
    started = time.monotonic()
    _cli(fleet, 'release', 'start', SECOND)
    seconds_to_all = _watch(fleet, callers, console, started)
    lines = callers.wait()
    save_series(fleet, 'demo')
    return _sum_up(fleet, lines, seconds_to_all, time.monotonic() - begin)


def _loads() -> list[CustomerLoad]:
    asking = [
        CustomerLoad(name, requests_per_second=4 if number < LARGE_CUSTOMERS else 2)
        for number, name in enumerate(CUSTOMERS)
    ]
    booking = [
        CustomerLoad(name, requests_per_second=0.5, kind='book')
        for name in CUSTOMERS[:BOOKING_CUSTOMERS]
    ]
    return [*asking, *booking]


def _watch(fleet: Fleet, callers: CallersProcess, console: Console, started: float) -> float:
    """Shows progress until every engine serves the new release; returns the seconds."""
    engines = len(fleet.names(ProcessKind.engine))
    columns = (
        TextColumn('{task.description}'),
        BarColumn(),
        TextColumn('{task.completed}/{task.total} engines, {task.fields[answered]} answered'),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console) as progress:
        task = progress.add_task(f'{SECOND} reaches', total=engines, answered=0)
        while time.monotonic() - started < ROLLOUT_SECONDS:
            count = len(engines_serving(fleet, SECOND))
            progress.update(task, completed=count, answered=len(callers.records()))
            if count == engines:
                return time.monotonic() - started
            time.sleep(0.1)
    return ROLLOUT_SECONDS


def _sum_up(
    fleet: Fleet, lines: list[dict[str, Any]], seconds_to_all: float, run_seconds: float
) -> DemoResult:
    asked = summarise_requests(lines)
    drawn = fleet.get_from_fake('origin', '/admin/counts')['bytes_by_path']
    runs = Counter(run['slot'] for run in fleet.all_records(fleet.names(ProcessKind.service)))
    booked = [line['id'] for line in lines if line['kind'] == 'book']
    return DemoResult(
        replicas=len(engines_serving(fleet, SECOND)),
        engines=len(fleet.names(ProcessKind.engine)),
        seconds_to_all=round(seconds_to_all, 2),
        origin_copies=round(drawn.get(f'/{SECOND}.bin', 0) / MODEL_BYTES, 3),
        requests=asked.requests,
        answered=asked.answered,
        wrong_answers=asked.wrong_answers,
        p95_seconds=round(asked.latency.p95_seconds, 3),
        bookings=len(booked),
        bookings_run=sum(runs.values()),
        bookings_not_once=sum(runs[slot] != 1 for slot in booked),
        run_seconds=round(run_seconds, 1),
    )


def _create(fleet: Fleet, release: str) -> None:
    published = fleet.publish(release, MODEL_BYTES)
    chunk_bytes = str(fleet.deployment.chunk_bytes)
    named = ('release', 'create', release, '--backend', fleet.deployment.engine_backend)
    file = ('--file', str(published.file), '--origin-path', published.path)
    _cli(fleet, *named, *file, '--chunk-bytes', chunk_bytes)


def _cli(fleet: Fleet, *arguments: str) -> None:
    done = fleet.run_cli(*arguments)
    if done.returncode:
        print(f'jackdawsail {" ".join(arguments)}: {done.stderr}', file=sys.stderr)
        sys.exit(1)


def _show(outcome: DemoResult) -> None:
    table = Table('measure', 'result', title='jackdawsail demo')
    table.add_row('replicas', f'{outcome.replicas} of {outcome.engines}')
    table.add_row('seconds to all', f'{outcome.seconds_to_all:.2f}')
    table.add_row('copies drawn from the origin', f'{outcome.origin_copies:.2f}')
    table.add_row('requests answered', f'{outcome.answered} of {outcome.requests}')
    table.add_row('wrong answers', str(outcome.wrong_answers))
    table.add_row('p95 of an answer', f'{outcome.p95_seconds:.3f} s')
    table.add_row('bookings made and run', f'{outcome.bookings}, {outcome.bookings_run}')
    table.add_row('whole run', f'{outcome.run_seconds:.1f} s')
    Console().print(table)
