"""Calls to engines that ask for rest or say that they are leaving, in the emulator.

Two engines turn all calls away from 6 s to 14 s and ask for rest; another one says from 6 s on in
its answers that it is leaving. Judged is what each entry sends after the answers that it got itself.
"""

import statistics
from pathlib import Path

from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import Deployment, ScheduledChange, read_deployment
from bench.emulator.policies import POLICIES
from jackdawsail.events import configure_logging

CLOSED_SECONDS = 6.0
OPEN_SECONDS = 14.0
TOLERANCE_SECONDS = 0.5  # after an answer that asks for rest
WAVE_SECONDS = 0.5


def run(seeds: int = 5) -> int:
    """Prints the sends to resting and leaving engines for several lengths of rest."""
    configure_logging('bench', 'rest', 'error')
    for rest_seconds in (0, 0.8, 3):
        plays = [play(rest_seconds, seed) for seed in range(1, seeds + 1)]
        print(  # noqa: T201
            f'rest {rest_seconds}: sends of one entry to a resting engine at most '
            f'{max(most_in_rest(each) for each in plays)}, '
            f'turned away {statistics.mean(turned_away(each) for each in plays):.0f}, '
            f'sends of one entry to a leaving engine {max(after_leaving(each) for each in plays)}, '
            f'refused {statistics.mean(refused(each) for each in plays):.0f}, '
            f'most calls in a wave after the rest {max(largest_wave(each) for each in plays)}'
        )
    return 0


def play(rest_seconds: float, seed: int) -> DaySimulation:
    """Simulates a day; with 0 s the engines turn calls away without asking for rest."""
    day = DaySimulation(rest_day(rest_seconds), POLICIES['product'], seed)
    day.run()
    return day


def rest_day(rest_seconds: float) -> Deployment:
    """Returns a day of the emulator's many-entries site with resting and leaving engines."""
    deployment = read_deployment(Path('many-entries'))
    first, second, third = deployment.zones[:3]
    zones = [zone.model_copy(update={'entries': 3}) for zone in deployment.zones]
    rest = {'kind': 'rest', 'count': 1, 'at_seconds': CLOSED_SECONDS, 'rest_seconds': rest_seconds}
    again = {'kind': 'rest', 'count': 1, 'at_seconds': OPEN_SECONDS, 'rest_seconds': -1}
    changes = [
        ScheduledChange(zone=zone.name, **change)  # type: ignore[arg-type]
        for zone in (first, second)
        for change in (rest, again)
    ]
    changes.append(ScheduledChange(at_seconds=6, kind='leave', zone=third.name, count=1))
    return deployment.model_copy(
        update={'zones': zones, 'changes': changes, 'length_seconds': 24.0}
    )


def most_in_rest(day: DaySimulation) -> int:
    """Returns the most sends of an entry to an engine during a rest that it was asked for."""
    most = 0
    for entry in day.entries:
        for said_seconds, engine, head in entry.heads:
            if head.rest is not None and head.rest.rest_seconds:
                until_seconds = said_seconds + head.rest.rest_seconds
                since_seconds = said_seconds + TOLERANCE_SECONDS
                sends = [sent for sent, name in entry.sends if name == engine]
                most = max(most, sum(since_seconds < sent < until_seconds for sent in sends))
    return most


def after_leaving(day: DaySimulation) -> int:
    """Returns the most sends of an entry to an engine after an answer that says that it is leaving."""
    most = 0
    for entry in day.entries:
        said = {name: seconds for seconds, name, head in reversed(entry.heads) if head.is_leaving}
        for engine, said_seconds in said.items():
            sends = [sent for sent, name in entry.sends if name == engine]
            most = max(most, sum(sent > said_seconds for sent in sends))
    return most


def turned_away(day: DaySimulation) -> int:
    """Returns how many calls engines turned away while they wanted none."""
    return sum(head.not_run for entry in day.entries for _seconds, _engine, head in entry.heads)


def refused(day: DaySimulation) -> int:
    """Returns how many calls the entries refused."""
    return sum(entry.refused for entry in day.entries)


def largest_wave(day: DaySimulation) -> int:
    """Returns the most calls that an engine got within WAVE_SECONDS once it was open again."""
    heads = [head for entry in day.entries for head in entry.heads]
    rested = {engine for _seconds, engine, head in heads if head.rest is not None}
    return max((_largest_wave(_sends_after(day, engine)) for engine in rested), default=0)


def _largest_wave(sends: list[float]) -> int:
    return max(
        (sum(start <= sent < start + WAVE_SECONDS for sent in sends) for start in sends), default=0
    )


def _sends_after(day: DaySimulation, engine: str) -> list[float]:
    return sorted(
        sent
        for entry in day.entries
        for sent, name in entry.sends
        if name == engine and OPEN_SECONDS <= sent < OPEN_SECONDS + 4
    )
