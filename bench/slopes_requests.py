"""Slopes by the rate of requests and by the tokens of their answers, for entry and agent."""

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from bench.capacity_slopes import Slope
from bench.fakes.engine import EngineOptions
from bench.harness.callers import CustomerLoad, start_callers, summarise_requests
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.plan import Deployment
from bench.harness.releases import apply_base_settings, roll_out
from bench.slopes_links import ONE_ZONE
from bench.slopes_sampling import WindowUsage, make_slope, measure_window

REQUEST_RATES = (2, 10, 20, 40)
TOKEN_COUNTS = (8, 64, 128, 256)
TOKEN_REQUEST_RATE = 15
WINDOW_SECONDS = 6.0
FAST_ENGINE = EngineOptions(capacity=64, cold_limit=64, slowdown_per_request=0)


@dataclass(frozen=True)
class WindowPair:
    """What the entry and the agent used in the same time window."""

    entry: WindowUsage
    agent: WindowUsage


def measure_requests() -> dict[str, Slope]:
    """Measures both programs under rising request rates, then under rising answer lengths."""
    deployment = Deployment(
        zones=ONE_ZONE,
        engines_per_zone=1,
        services=0,
        engine=FAST_ENGINE,
        agent_cold_limit=64,
    )
    with running_fleet(deployment) as fleet:
        fleet.wait_leader()
        apply_base_settings(fleet)
        roll_out(fleet, 'slopes-1')
        by_rate = [(rate, _measure_under_requests(fleet, rate, 1)) for rate in REQUEST_RATES]
        by_tokens = [
            (
                tokens * TOKEN_REQUEST_RATE,
                _measure_under_requests(fleet, TOKEN_REQUEST_RATE, tokens),
            )
            for tokens in TOKEN_COUNTS
        ]
    return {
        'entry_processor_per_request': make_slope(
            [(rate, pair.entry.processor_share) for rate, pair in by_rate],
            's',
            'request',
            'requests',
        ),
        'agent_processor_per_request': make_slope(
            [(rate, pair.agent.processor_share) for rate, pair in by_rate],
            's',
            'request',
            'requests',
        ),
        'entry_processor_per_token': make_slope(
            [(tokens, pair.entry.processor_share) for tokens, pair in by_tokens],
            's',
            'token',
            'requests',
        ),
        'agent_processor_per_token': make_slope(
            [(tokens, pair.agent.processor_share) for tokens, pair in by_tokens],
            's',
            'token',
            'requests',
        ),
    }


def _measure_under_requests(fleet: Fleet, rate: float, tokens: int) -> WindowPair:
    customer = next(iter(fleet.deployment.customers))
    load = CustomerLoad(customer, requests_per_second=rate, options={'max_tokens': tokens})
    name = f'callers-{rate}-{tokens}'
    callers = start_callers(fleet, [load], WINDOW_SECONDS + 4, name=name)
    time.sleep(2)
    with ThreadPoolExecutor(max_workers=2) as pool:
        entry = pool.submit(_measure_process, fleet, 'entry-zone-a-1')
        agent = pool.submit(_measure_process, fleet, 'agent-zone-a-1')
        pair = WindowPair(entry.result(), agent.result())
    summary = summarise_requests(callers.wait())
    if summary.answered < summary.requests:
        raise AssertionError(f'requests were not answered: {summary.codes}')
    return pair


def _measure_process(fleet: Fleet, name: str) -> WindowUsage:
    # An entry serves /metrics on its HTTP port, an agent on its chunk port: the first port of each.
    address = fleet.layout.processes[name].public_address(0)
    return measure_window(fleet.children[name], address, WINDOW_SECONDS)
