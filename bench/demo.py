"""Runs a whole deployment on this machine and rolls out a new model under load.

Starts three control voters, an entry and two engines in each of three data centres,
a plain service and an origin. Creates customers, a site and releases through the
command line. Prints a table; the exit status is 0 if every target is met.
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
LARGE_CUSTOMER_COUNT = 2
BOOKING_CUSTOMER_COUNT = 4
MODEL_BYTES = 8 * MEBIBYTE
LOAD_SECONDS = 16.0
LOAD_BEFORE_SECONDS = 2.0
ROLLOUT_TIMEOUT_SECONDS = 30.0
MAX_ORIGIN_COPIES = 4.0
FIRST_RELEASE, SECOND_RELEASE = 'critique-1', 'critique-2'


@dataclass(frozen=True)
class DemoResult:
    """The measures of the demo, printed by ``--json`` under these names."""

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

    def meets_targets(self) -> bool:
        """Returns whether every target of the demo is met."""
        targets = (
            self.replicas == self.engines,
            self.origin_copies <= MAX_ORIGIN_COPIES,
            self.requests == self.answered,
            self.answered > 0,
            self.wrong_answers == 0,
            self.bookings == self.bookings_run,
            self.bookings_not_once == 0,
            self.bookings > 0,
        )
        return all(targets)


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Runs the demo; exit status 0 means that every target was met."""
    signal.signal(signal.SIGTERM, signal.getsignal(signal.SIGINT))
    console = Console(stderr=True, quiet=as_json)
    start = time.monotonic()
    with running_fleet(_deployment()) as fleet:
        console.print(f'{len(fleet.children)} processes are running on this machine')
        _prepare(fleet, console)
        outcome = _release_under_load(fleet, console, start)
    if as_json:
        print(json.dumps(asdict(outcome)))
    else:
        _print_table(outcome)
    return 0 if outcome.meets_targets() else 1


def _deployment() -> Deployment:
    customers = {
        name: Customer(weight=LARGE_WEIGHT if number < LARGE_CUSTOMER_COUNT else 1)
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
    """Applies the settings and rolls the first release out to every engine."""
    fleet.wait_leader()
    _run_cli(fleet, 'apply', str(fleet.files.base_path), '--yes', '--wait')
    _run_cli(fleet, 'customer', 'put', 'spetses-sessions', '--weight', '2')
    backends = ('--backend', 'critique-models', '--backend', 'bookings-app')
    _run_cli(fleet, 'site', 'put', 'attica', '--zone', 'attica-a', *backends)
    _create_release(fleet, FIRST_RELEASE)
    _run_cli(fleet, 'release', 'start', FIRST_RELEASE)
    wait_engines_serving(fleet, FIRST_RELEASE, timeout_seconds=ROLLOUT_TIMEOUT_SECONDS)
    console.print(
        f'every engine serves {FIRST_RELEASE}; {len(CUSTOMERS)} customers start to send requests'
    )


def _release_under_load(fleet: Fleet, console: Console, start: float) -> DemoResult:
    callers = start_callers(fleet, _loads(), LOAD_SECONDS)
    time.sleep(LOAD_BEFORE_SECONDS)
    _create_release(fleet, SECOND_RELEASE)
    release_start = time.monotonic()
    _run_cli(fleet, 'release', 'start', SECOND_RELEASE)
    seconds_to_all = _show_progress(fleet, callers, console, release_start)
    records = callers.wait()
    save_series(fleet, 'demo')
    return _build_result(fleet, records, seconds_to_all, time.monotonic() - start)


def _loads() -> list[CustomerLoad]:
    generate_loads = [
        CustomerLoad(name, requests_per_second=4 if number < LARGE_CUSTOMER_COUNT else 2)
        for number, name in enumerate(CUSTOMERS)
    ]
    booking_loads = [
        CustomerLoad(name, requests_per_second=0.5, kind='book')
        for name in CUSTOMERS[:BOOKING_CUSTOMER_COUNT]
    ]
    return [*generate_loads, *booking_loads]


def _show_progress(
    fleet: Fleet, callers: CallersProcess, console: Console, release_start: float
) -> float:
    """Shows progress until every engine serves the new release or the time limit is reached.

    Returns the seconds since the start of the release.
    """
    engines = len(fleet.names(ProcessKind.engine))
    columns = (
        TextColumn('{task.description}'),
        BarColumn(),
        TextColumn('{task.completed}/{task.total} engines, {task.fields[answered]} answered'),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console) as progress:
        task = progress.add_task(f'{SECOND_RELEASE} reaches', total=engines, answered=0)
        while time.monotonic() - release_start < ROLLOUT_TIMEOUT_SECONDS:
            count = len(engines_serving(fleet, SECOND_RELEASE))
            progress.update(task, completed=count, answered=len(callers.records()))
            if count == engines:
                return time.monotonic() - release_start
            time.sleep(0.1)
    return ROLLOUT_TIMEOUT_SECONDS


def _build_result(
    fleet: Fleet, records: list[dict[str, Any]], seconds_to_all: float, run_seconds: float
) -> DemoResult:
    summary = summarise_requests(records)
    bytes_by_path = fleet.get_from_fake('origin', '/admin/counts')['bytes_by_path']
    runs = Counter(
        service_run['slot'] for service_run in fleet.all_records(fleet.names(ProcessKind.service))
    )
    booking_ids = [record['id'] for record in records if record['kind'] == 'book']
    return DemoResult(
        replicas=len(engines_serving(fleet, SECOND_RELEASE)),
        engines=len(fleet.names(ProcessKind.engine)),
        seconds_to_all=round(seconds_to_all, 2),
        origin_copies=round(bytes_by_path.get(f'/{SECOND_RELEASE}.bin', 0) / MODEL_BYTES, 3),
        requests=summary.requests,
        answered=summary.answered,
        wrong_answers=summary.wrong_answers,
        p95_seconds=round(summary.latency.p95_seconds, 3),
        bookings=len(booking_ids),
        bookings_run=sum(runs.values()),
        bookings_not_once=sum(runs[slot] != 1 for slot in booking_ids),
        run_seconds=round(run_seconds, 1),
    )


def _create_release(fleet: Fleet, release: str) -> None:
    published = fleet.publish(release, MODEL_BYTES)
    chunk_bytes = str(fleet.deployment.chunk_bytes)
    command = ('release', 'create', release, '--backend', fleet.deployment.engine_backend)
    file = ('--file', str(published.file), '--origin-path', published.path)
    _run_cli(fleet, *command, *file, '--chunk-bytes', chunk_bytes)


def _run_cli(fleet: Fleet, *arguments: str) -> None:
    completed = fleet.run_cli(*arguments)
    if completed.returncode:
        print(f'jackdawsail {" ".join(arguments)}: {completed.stderr}', file=sys.stderr)
        sys.exit(1)


def _print_table(outcome: DemoResult) -> None:
    table = Table('measure', 'result', title='jackdawsail demo')
    table.add_row('replicas', f'{outcome.replicas} of {outcome.engines}')
    table.add_row('seconds to all', f'{outcome.seconds_to_all:.2f}')
    table.add_row('copies fetched from the origin', f'{outcome.origin_copies:.2f}')
    table.add_row('requests answered', f'{outcome.answered} of {outcome.requests}')
    table.add_row('wrong answers', str(outcome.wrong_answers))
    table.add_row('p95 latency of an answer', f'{outcome.p95_seconds:.3f} s')
    table.add_row('bookings made and run', f'{outcome.bookings}, {outcome.bookings_run}')
    table.add_row('whole run', f'{outcome.run_seconds:.1f} s')
    Console().print(table)
