"""Load of one entry process: requests and streamed tokens per second, and their cost.

One entry, four engines and a plain service. The target is three times the load of a node
in the design size (11 requests and 5,200 tokens per second), on one core: 33 requests
per second, each streaming 473 tokens (the load uses 472, as the quotient is rounded down).
"""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from bench.fakes.engine import EngineOptions
from bench.harness.callers import CustomerLoad, start_callers, summarise_latency
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind
from bench.harness.plan import Customer, Deployment
from bench.harness.serving import generate_path, serve_release

NODE_REQUESTS_PER_SECOND = 11.0
NODE_TOKENS_PER_SECOND = 5200.0
TARGET_MULTIPLE = 3
# 10 % above the target, because the rate within a window varies with the arrivals.
REQUESTS_PER_SECOND = 1.1 * NODE_REQUESTS_PER_SECOND * TARGET_MULTIPLE
TOKENS_PER_REQUEST = int(NODE_TOKENS_PER_SECOND / NODE_REQUESTS_PER_SECOND)
LOAD_SECONDS = 30.0
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 10.0
CUSTOMERS = tuple(f'customer-{number}' for number in range(6))
DIRECT_CALLS = 60
ENGINE = EngineOptions(
    capacity=256, cold_limit=256, step_seconds=0.025, tokens_per_step=1, slowdown_per_request=0
)


@dataclass(frozen=True)
class LoadResult:
    """The fields of ``--json``; processor times are of the entry process."""

    requests_per_second: float
    tokens_per_second: float
    entry_core_share: float
    agent_core_share: float
    processor_ms_per_request: float
    processor_us_per_token: float
    answered: int
    wrong_answers: int
    refused_or_lost: int
    added_p95_ms: float
    direct_p95_ms: float
    entry_rss_mb: float


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Loads one entry; exit status 0 means that it sustained three times the design load."""
    with running_fleet(_deployment()) as fleet:
        serve_release(fleet, 'model-1', CUSTOMERS[0])
        result = _measure(fleet)
    Path('results').mkdir(exist_ok=True)
    Path('results/load.json').write_text(json.dumps(asdict(result), indent=1), 'utf8')
    print(json.dumps(asdict(result), indent=None if as_json else 1))
    return 0 if _meets_targets(result) else 1


def _deployment() -> Deployment:
    no_limit = Customer(requests_per_second=1000, max_concurrent=2000)
    return Deployment(
        zones={'zone-a': 'region-a'},
        engines_per_zone=4,
        entries_per_zone=1,
        customers={name: no_limit for name in CUSTOMERS},
        engine=ENGINE,
        agent_cold_limit=ENGINE.capacity,
    )


def _measure(fleet: Fleet) -> LoadResult:
    direct_ms, through_ms = _measure_latency(fleet)
    rate = REQUESTS_PER_SECOND / len(CUSTOMERS)
    options = {'max_tokens': TOKENS_PER_REQUEST, 'deadline_seconds': 60, 'retry_refused': False}
    loads = [CustomerLoad(name, rate, options=options) for name in CUSTOMERS]
    # Several caller processes, so that the callers are not the bottleneck.
    groups = [loads[:2], loads[2:4], loads[4:]]
    callers = [
        start_callers(fleet, group, LOAD_SECONDS, seed=number, name=f'callers-{number}')
        for number, group in enumerate(groups)
    ]
    time.sleep(TOKENS_PER_REQUEST * ENGINE.step_seconds + SETTLE_SECONDS)
    entry = fleet.children[fleet.names(ProcessKind.entry)[0]]
    agent = fleet.children[fleet.names(ProcessKind.agent)[0]]
    start_usage, agent_start_usage, start_time = entry.usage(), agent.usage(), time.time()
    start_tokens = _forwarded_tokens(fleet)
    time.sleep(MEASURE_SECONDS)
    end_usage, agent_end_usage, end_time = entry.usage(), agent.usage(), time.time()
    tokens_per_second = (_forwarded_tokens(fleet) - start_tokens) / (end_time - start_time)
    records = [record for group in callers for record in group.wait()]
    answered = [record for record in records if record['status'] == 200]
    scheduled = [
        record for record in records if start_time <= record['scheduled_seconds'] < end_time
    ]
    requests_per_second = len(scheduled) / (end_time - start_time)
    core_share = (end_usage.processor_seconds - start_usage.processor_seconds) / (
        end_time - start_time
    )
    agent_share = (agent_end_usage.processor_seconds - agent_start_usage.processor_seconds) / (
        end_time - start_time
    )
    return LoadResult(
        requests_per_second=round(requests_per_second, 1),
        tokens_per_second=round(tokens_per_second),
        entry_core_share=round(core_share, 3),
        agent_core_share=round(agent_share, 3),
        processor_ms_per_request=round(1000 * core_share / max(1, requests_per_second), 2),
        processor_us_per_token=round(1e6 * core_share / max(1, tokens_per_second), 1),
        answered=len(answered),
        wrong_answers=sum(not record['correct'] for record in answered),
        refused_or_lost=len(records) - len(answered),
        added_p95_ms=round(through_ms - direct_ms, 2),
        direct_p95_ms=round(direct_ms, 2),
        entry_rss_mb=round(end_usage.resident_bytes / 1e6, 1),
    )


def _forwarded_tokens(fleet: Fleet) -> int:
    """Returns the number of tokens that the entry has forwarded, from its own metric."""
    address = fleet.entry_addresses()[0]
    text = call('GET', address, '/metrics').body.decode()
    lines = [line for line in text.splitlines() if line.startswith('jackdawsail_tokens_total')]
    return int(sum(float(line.rpartition(' ')[2]) for line in lines))


def _measure_latency(fleet: Fleet) -> tuple[float, float]:
    """Returns the p95 of short calls in ms: direct to an engine, and through the entry."""
    engine = fleet.names(ProcessKind.engine)[0]
    direct_address = fleet.layout.processes[engine].listen_address(0)
    entry_address = fleet.entry_addresses()[0]
    body = {'prompt': 'short', 'max_tokens': 2}
    direct_body: dict[str, Any] = {**body, 'release': 'model-1', 'priority': 'live'}
    direct, through_entry = [], []
    for number in range(DIRECT_CALLS):
        direct_request = {**direct_body, 'request_id': f'direct-{number}', 'resume_from': 0}
        call_start = time.monotonic()
        call('POST', direct_address, '/v1/generate', direct_request)
        direct.append(time.monotonic() - call_start)
        call_start = time.monotonic()
        fleet.call_entry(entry_address, CUSTOMERS[0], 'POST', generate_path(fleet), body)
        through_entry.append(time.monotonic() - call_start)
    return 1000 * summarise_latency(direct).p95_seconds, 1000 * summarise_latency(
        through_entry
    ).p95_seconds


def _meets_targets(result: LoadResult) -> bool:
    targets = (
        result.requests_per_second >= TARGET_MULTIPLE * NODE_REQUESTS_PER_SECOND,
        result.tokens_per_second >= TARGET_MULTIPLE * NODE_TOKENS_PER_SECOND,
        result.entry_core_share <= 1,
        result.wrong_answers == 0,
        result.refused_or_lost == 0,
    )
    return all(targets)
