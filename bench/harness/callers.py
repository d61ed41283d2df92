"""Runs simulated callers against a fleet and summarises their request records."""

import dataclasses
import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from hdrh.histogram import HdrHistogram

from bench.fakes.caller import CallerOptions
from bench.harness.child import Child
from bench.harness.fleet import Fleet
from bench.harness.settings_files import customer_token
from bench.harness.waiting import wait_until

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)
STOP_TIMEOUT_SECONDS = 120.0


@dataclass(frozen=True)
class CustomerLoad:
    """The load of one customer; ``options`` holds further fields of ``CallerOptions``.

    With ``token_customer`` the requests carry that customer's token, but are recorded
    under ``customer``. A caller in a zone tries the entries of that zone first.
    """

    customer: str
    requests_per_second: float = 1
    kind: str = 'generate'
    options: dict[str, Any] = dataclasses.field(default_factory=dict)
    zone: str = ''
    token_customer: str = ''


class CallersProcess:
    """A running process of callers; its records can be read while it runs."""

    def __init__(self, child: Child, result_path: Path, duration_seconds: float) -> None:
        self.child = child
        self._result_path = result_path
        self._duration_seconds = duration_seconds

    def records(self) -> list[dict[str, Any]]:
        """Returns one record for each request that has ended so far."""
        if not self._result_path.exists():
            return []
        complete_lines = self._result_path.read_text('utf8').rpartition('\n')[0]
        return [json.loads(line) for line in complete_lines.splitlines()]

    def stop(self) -> None:
        """Stops sending new requests and waits for those in flight."""
        self.child.stop(STOP_TIMEOUT_SECONDS)

    def wait(self) -> list[dict[str, Any]]:
        """Waits until the process has ended and returns all records."""
        timeout_seconds = self._duration_seconds + STOP_TIMEOUT_SECONDS
        wait_until(lambda: not self.child.is_running(), timeout_seconds, 'end of the callers')
        return self.records()


def start_callers(
    fleet: Fleet,
    loads: Iterable[CustomerLoad],
    duration_seconds: float,
    seed: int = 0,
    name: str = 'callers',
    entries: list[str] | None = None,
    **options: Any,
) -> CallersProcess:
    """Starts a process of callers and waits until it is ready.

    ``options`` are further fields of ``CallersOptions``.
    """
    result_path = fleet.folder / f'{name}.requests.jsonl'
    settings = {
        'entries': entries or fleet.entry_addresses(),
        'callers': [_caller_settings(fleet, load) for load in loads],
        'duration_seconds': duration_seconds,
        'digests_path': str(fleet.digests_path),
        'result_path': str(result_path),
        'source_address': fleet.layout.callers_address,
        'seed': seed,
        **options,
    }
    path = fleet.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(settings), 'utf8')
    child = fleet.add_child(name, 'bench.fakes.caller', ['--settings', str(path)])
    child.start()
    child.wait_ready()
    return CallersProcess(child, result_path, duration_seconds)


def _caller_settings(fleet: Fleet, load: CustomerLoad) -> dict[str, Any]:
    deployment = fleet.deployment
    is_booking = load.kind == 'book'
    backend = deployment.service_backend if is_booking else deployment.engine_backend
    caller = CallerOptions(
        name=load.customer,
        token=customer_token(load.token_customer or load.customer),
        backend=backend,
        kind=load.kind,
        requests_per_second=load.requests_per_second,
        entries=fleet.entry_addresses(load.zone) if load.zone else None,
        **load.options,
    )
    return dataclasses.asdict(caller)


@dataclass(frozen=True)
class Latency:
    """Percentiles and maximum of a set of durations."""

    count: int
    p50_seconds: float
    p95_seconds: float
    p99_seconds: float
    max_seconds: float


@dataclass(frozen=True)
class LoadSummary:
    """Counts by result, and latencies measured from the scheduled send time.

    ``refused`` counts the statuses 429 and 503, ``lost`` requests without a complete answer.
    """

    requests: int
    answered: int
    wrong_answers: int
    refused: int
    lost: int
    outcomes: dict[str, int]
    codes: dict[str, int]
    latency: Latency
    first_token: Latency
    by_customer: dict[str, Latency]


def summarise_latency(seconds: Iterable[float]) -> Latency:
    """Returns the percentiles of durations in seconds, taken from an HDR histogram."""
    histogram: Any = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * MICROSECONDS_PER_SECOND)))
    percentiles = [
        histogram.get_value_at_percentile(each) / MICROSECONDS_PER_SECOND for each in PERCENTILES
    ]
    longest = histogram.get_max_value() / MICROSECONDS_PER_SECOND
    return Latency(
        histogram.get_total_count(), percentiles[0], percentiles[1], percentiles[2], longest
    )


def summarise_requests(records: list[dict[str, Any]], kind: str = 'generate') -> LoadSummary:
    """Summarises the records of one kind of request."""
    chosen = [record for record in records if record['kind'] == kind]
    answered = [record for record in chosen if record['status'] == 200]
    customers = sorted({record['customer'] for record in chosen})
    return LoadSummary(
        requests=len(chosen),
        answered=len(answered),
        wrong_answers=sum(not record['correct'] for record in answered),
        refused=sum(record['status'] in {429, 503} for record in chosen),
        lost=sum(record['status'] == 0 for record in chosen),
        outcomes=dict(Counter(record['outcome'] for record in chosen)),
        codes=dict(Counter(record['code'] or record['reason'] for record in chosen)),
        latency=summarise_latency(_durations(answered, 'end_seconds')),
        first_token=summarise_latency(_durations(answered, 'first_seconds')),
        by_customer={
            name: summarise_latency(_durations(_of_customer(answered, name), 'first_seconds'))
            for name in customers
        },
    )


def _of_customer(records: list[dict[str, Any]], customer: str) -> list[dict[str, Any]]:
    return [record for record in records if record['customer'] == customer]


def _durations(records: list[dict[str, Any]], end_field: str) -> list[float]:
    return [record[end_field] - record['scheduled_seconds'] for record in records]
