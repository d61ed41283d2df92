"""Starts callers on a fleet and sums up what they met."""

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

MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 600 * MICROSECONDS
DIGITS = 3
PERCENTILES = (50, 95, 99)
END_SECONDS = 120.0


@dataclass(frozen=True)
class CustomerLoad:
    """The load of one customer, in the words of ``CallerOptions``.

    With ``token_customer`` it is sent in another customer's name, under its own label.
    A caller in a zone asks the entries of that zone first.
    """

    customer: str
    requests_per_second: float = 1
    kind: str = 'generate'
    options: dict[str, Any] = dataclasses.field(default_factory=dict)
    zone: str = ''
    token_customer: str = ''


class CallersProcess:
    """One process of callers; results come in while it runs."""

    def __init__(self, child: Child, result_path: Path, duration_seconds: float) -> None:
        self.child = child
        self._result_path = result_path
        self._duration_seconds = duration_seconds

    def records(self) -> list[dict[str, Any]]:
        """Returns one record for each request that has ended so far."""
        if not self._result_path.exists():
            return []
        whole = self._result_path.read_text('utf8').rpartition('\n')[0]
        return [json.loads(line) for line in whole.splitlines()]

    def stop(self) -> None:
        """Plans no more requests and waits for those under way."""
        self.child.stop(END_SECONDS)

    def wait(self) -> list[dict[str, Any]]:
        """Waits until the callers have ended, and returns all records."""
        timeout_seconds = self._duration_seconds + END_SECONDS
        wait_until(lambda: not self.child.is_running(), timeout_seconds, 'callers end')
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
    """Starts one process of callers; waits until it sends."""
    result_path = fleet.folder / f'{name}.requests.jsonl'
    settings = {
        'entries': entries or fleet.entry_addresses(),
        'callers': [_describe(fleet, load) for load in loads],
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


def _describe(fleet: Fleet, load: CustomerLoad) -> dict[str, Any]:
    deployment = fleet.deployment
    books = load.kind == 'book'
    backend = deployment.service_backend if books else deployment.engine_backend
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
    """Seconds at the percentiles 50, 95 and 99, and the longest."""

    count: int
    p50_seconds: float
    p95_seconds: float
    p99_seconds: float
    max_seconds: float


@dataclass(frozen=True)
class LoadSummary:
    """What the callers met, and how long it took from the scheduled time."""

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
    """Records durations in an HDR histogram and reads the percentiles."""
    histogram: Any = HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * MICROSECONDS)))
    at = [histogram.get_value_at_percentile(each) / MICROSECONDS for each in PERCENTILES]
    longest = histogram.get_max_value() / MICROSECONDS
    return Latency(histogram.get_total_count(), at[0], at[1], at[2], longest)


def summarise_requests(lines: list[dict[str, Any]], kind: str = 'generate') -> LoadSummary:
    """Sums up the records of one kind of request."""
    chosen = [line for line in lines if line['kind'] == kind]
    answered = [line for line in chosen if line['status'] == 200]
    customers = sorted({line['customer'] for line in chosen})
    return LoadSummary(
        requests=len(chosen),
        answered=len(answered),
        wrong_answers=sum(not line['correct'] for line in answered),
        refused=sum(line['status'] in {429, 503} for line in chosen),
        lost=sum(line['status'] == 0 for line in chosen),
        outcomes=dict(Counter(line['outcome'] for line in chosen)),
        codes=dict(Counter(line['code'] or line['reason'] for line in chosen)),
        latency=summarise_latency(_durations(answered, 'end_seconds')),
        first_token=summarise_latency(_durations(answered, 'first_seconds')),
        by_customer={
            name: summarise_latency(_durations(_of(answered, name), 'first_seconds'))
            for name in customers
        },
    )


def _of(lines: list[dict[str, Any]], customer: str) -> list[dict[str, Any]]:
    return [line for line in lines if line['customer'] == customer]


def _durations(lines: list[dict[str, Any]], until: str) -> list[float]:
    return [line[until] - line['scheduled_seconds'] for line in lines]
