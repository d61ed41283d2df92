"""Calls that an engine with a named limit gets in any 4 s, in the emulator.

Three engines of three data centres name a limit at 6 s. One entry starts again at 12 s, and
one is cut off from the others at 8 s. Counted are all calls from 3 s after the limit on.
"""

from pathlib import Path

from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import Deployment, ScheduledChange, read_deployment
from bench.emulator.policies import POLICIES
from jackdawsail.events import configure_logging

LIMIT_SECONDS = 6.0
JUDGED_SECONDS = 9.0
WINDOW_SECONDS = 4.0
LENGTH_SECONDS = 34.0


def run(seeds: int = 5) -> int:
    """Prints the most calls in a window for each number of entries and limit."""
    configure_logging('bench', 'limits', 'error')
    for entries in (9, 48):
        for limit in (0, 0.4, 1, 1.6, 5):
            most = max(most_calls(entries, limit, seed) for seed in range(1, seeds + 1))
            allowed = 1.5 * limit * WINDOW_SECONDS + 5
            print(  # noqa: T201
                f'{entries:3} entries, limit {limit}: at most {most} in {WINDOW_SECONDS:.0f} s, '
                f'allowed {allowed:.1f}, named {limit * WINDOW_SECONDS:.1f}'
            )
    return 0


def most_calls(
    entries: int, limit: float, seed: int, length_seconds: float = LENGTH_SECONDS
) -> int:
    """Simulates a day; returns the most calls that one of the engines got in a window."""
    deployment = limit_day(entries, limit).model_copy(update={'length_seconds': length_seconds})
    day = DaySimulation(deployment, POLICIES['product'], seed)
    day.run()
    limited = [engine for engine in day.engines if engine.limit is not None]
    return max(_most_in_window(engine.arrived_seconds) for engine in limited)


def limit_day(entries: int, limit: float) -> Deployment:
    """Returns the day of the emulator's many-entries site with these entries and limits."""
    deployment = read_deployment(Path('many-entries'))
    zones = [zone.model_copy(update={'entries': entries // 3}) for zone in deployment.zones[:3]]
    changes = [
        ScheduledChange(
            at_seconds=LIMIT_SECONDS, kind='limit', zone=zone.name, count=1, calls_per_second=limit
        )
        for zone in zones
    ]
    changes.append(ScheduledChange(at_seconds=8, kind='cut', zone=zones[0].name, count=1))
    changes.append(ScheduledChange(at_seconds=12, kind='restart', zone=zones[1].name, count=1))
    return deployment.model_copy(update={'zones': zones, 'changes': changes})


def _most_in_window(arrived_seconds: list[float]) -> int:
    judged = [seconds for seconds in arrived_seconds if seconds >= JUDGED_SECONDS]
    return max(
        (sum(start <= each < start + WINDOW_SECONDS for each in judged) for start in judged),
        default=0,
    )
