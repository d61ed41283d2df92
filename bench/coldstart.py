"""Cold-start window: engines that collapse above their limit of requests while cold.

The same load, more than the capacity of the engines, runs once with the agents' window
and once without it (cold limit = capacity). Meanwhile one engine is killed and restarts
cold. The engine itself counts a collapse.
"""

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import Parameter

from bench.fakes.engine import EngineOptions
from bench.harness.callers import CustomerLoad, start_callers, summarise_requests
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Customer, Deployment
from bench.harness.serving import serve_release
from bench.harness.waiting import wait_until

WARM_SECONDS = 6.0
CAPACITY = 8
LOAD_REQUESTS_PER_SECOND = 90.0
LOAD_SECONDS = 40.0
FULL_TIMEOUT_SECONDS = 20.0
MAX_WARM_RATIO = 1.3
SAMPLE_SECONDS = 0.02
CUSTOMERS = ('customer-1', 'customer-2')


@dataclass(frozen=True)
class Trial:
    """The measures of one run of the load."""

    collapses: int
    seconds_to_full: list[float]
    answered: int
    wrong_answers: int
    p95_seconds: float


@dataclass(frozen=True)
class ColdstartResult:
    """The fields of ``--json``; ``seconds_to_full`` counts from the end of the engine's load.

    ``baseline_`` marks the run without the window.
    """

    collapses: int
    seconds_to_full: float
    warm_seconds: float
    warm_ratio: float
    answered: int
    p95_seconds: float
    collapses_after_unannounced_cold: int
    wrong_answers: int
    baseline_collapses: int
    baseline_answered: int
    baseline_p95_seconds: float


def run(*, as_json: Annotated[bool, Parameter(name='--json', negative=())] = False) -> int:
    """Runs both trials.

    Exit status 0 means that with the window no engine collapsed, each was full in time, and
    that no answer was wrong in either trial.
    """
    windowed, unannounced = _run_trial(cold_limit=1, with_unannounced=True)
    baseline, _ = _run_trial(cold_limit=CAPACITY, with_unannounced=False)
    slowest = max(windowed.seconds_to_full)
    result = ColdstartResult(
        collapses=windowed.collapses,
        seconds_to_full=round(slowest, 2),
        warm_seconds=WARM_SECONDS,
        warm_ratio=round(slowest / WARM_SECONDS, 3),
        answered=windowed.answered,
        p95_seconds=round(windowed.p95_seconds, 3),
        collapses_after_unannounced_cold=unannounced,
        wrong_answers=windowed.wrong_answers + baseline.wrong_answers,
        baseline_collapses=baseline.collapses,
        baseline_answered=baseline.answered,
        baseline_p95_seconds=round(baseline.p95_seconds, 3),
    )
    Path('results').mkdir(exist_ok=True)
    Path('results/coldstart.json').write_text(json.dumps(asdict(result), indent=1), 'utf8')
    print(json.dumps(asdict(result), indent=None if as_json else 1))
    is_safe = result.collapses == 0 and result.wrong_answers == 0
    return 0 if is_safe and result.warm_ratio <= MAX_WARM_RATIO else 1


def _run_trial(cold_limit: int, with_unannounced: bool) -> tuple[Trial, int]:
    with running_fleet(_deployment(cold_limit)) as fleet:
        serve_release(fleet, 'model-1', CUSTOMERS[0])
        options = {'retry_refused': False, 'deadline_seconds': 3}
        rate = LOAD_REQUESTS_PER_SECOND / len(CUSTOMERS)
        loads = [CustomerLoad(name, rate, options=options) for name in CUSTOMERS]
        callers = start_callers(fleet, loads, LOAD_SECONDS)
        engine = fleet.names(ProcessKind.engine)[0]
        seconds_to_full = [_wait_full(fleet, engine)]
        fleet.restart(engine)
        seconds_to_full.append(_wait_full(fleet, engine))
        collapses = _count_collapses(fleet)
        if with_unannounced:
            fleet.post_to_fake(engine, '/admin/cold', {})
        callers.stop()
        summary = summarise_requests(callers.records())
        unannounced = _count_collapses(fleet) - collapses
        trial = Trial(
            collapses,
            seconds_to_full,
            summary.answered,
            summary.wrong_answers,
            summary.latency.p95_seconds,
        )
    return trial, unannounced


def _deployment(cold_limit: int) -> Deployment:
    no_limit = Customer(requests_per_second=1000, max_concurrent=1000)
    return Deployment(
        zones={'zone-a': 'region-a'},
        engines_per_zone=2,
        customers={name: no_limit for name in CUSTOMERS},
        engine=EngineOptions(
            capacity=CAPACITY, cold_limit=1, warm_seconds=WARM_SECONDS, slowdown_per_request=0.02
        ),
        agent_cold_limit=cold_limit,
    )


def _wait_full(fleet: Fleet, engine: str) -> float:
    """Waits until the engine is loaded and all its slots are busy.

    Returns the seconds since the record of its last load.
    """
    loads = len(fleet.records(engine, 'load'))
    generation = fleet.get_from_fake(engine, '/admin/state').get('generation')

    def loaded() -> list[dict[str, Any]]:
        state = fleet.get_from_fake(engine, '/admin/state')
        is_loaded = state.get('loaded') and state.get('generation') == generation
        return fleet.records(engine, 'load')[max(0, loads - 1) :] if is_loaded else []

    load = wait_until(loaded, FULL_TIMEOUT_SECONDS, f'{engine} loads')[-1]
    wait_until(
        lambda: fleet.get_from_fake(engine, '/admin/state').get('running') == CAPACITY,
        FULL_TIMEOUT_SECONDS,
        f'{engine} is full',
        SAMPLE_SECONDS,
    )
    return float(time.time() - load['time_seconds'])


def _count_collapses(fleet: Fleet) -> int:
    return len(fleet.all_records(fleet.names(ProcessKind.engine), 'collapse'))
