"""Plays scarce capacity under several loads and shows what each kind of call gets.

Example::

    python -m bench ranks three-ranks --loads 1.2,1.6,2.4 --seeds 8 --compare one-rank
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from statistics import fmean

from bench.emulator.bound import worth_upper_bound
from bench.emulator.callers import CallerRequest
from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import read_deployment
from bench.emulator.policies import POLICIES
from jackdawsail.events import configure_logging

WORKER_PROCESSES = 2
LOADS = (1.2, 1.6, 2.4)  # times the capacity of the engines
LARGE_SHARE = 0.1  # the largest calls of a kind


@dataclass(frozen=True, slots=True)
class KindFigures:
    """What the calls of a kind got, as shares: in time, answered, of their worth, largest answered."""

    in_time: float
    answered: float
    worth: float
    large_answered: float


@dataclass(frozen=True, slots=True)
class LoadFigures:
    """A day at one load: its kinds by name, and the shares of worth earned and possible at most."""

    kinds: dict[str, KindFigures]
    worth: float
    bound: float


def run(
    site: Path,
    *,
    loads: tuple[float, ...] = LOADS,
    seeds: int = 4,
    compare: tuple[str, ...] = (),
) -> int:
    """Prints a table of what each kind gets, for the product's policy and each of ``compare``."""
    configure_logging('bench', 'ranks', 'error')
    names = ['product', *compare]
    days_played = product(loads, names, range(1, seeds + 1))
    tasks = [(site, name, load, seed) for load, name, seed in days_played]
    with ProcessPoolExecutor(WORKER_PROCESSES) as workers:
        days = list(workers.map(play, tasks))
    for start in range(0, len(tasks), seeds):
        _, name, load, _ = tasks[start]
        _print_load(name, load, days[start : start + seeds])
    return 0


def play(task: tuple[Path, str, float, int]) -> LoadFigures:
    """Plays a site under a policy, a load factor and a seed."""
    site, name, load, seed = task
    deployment = read_deployment(site).model_copy(update={'steps': [(0, load)]})
    requests = DaySimulation(deployment, POLICIES[name], seed).run()
    kinds = {
        kind.name: _kind_figures([request for request in requests if request.kind == kind])
        for kind in sorted(deployment.kinds, key=lambda kind: kind.rank)
    }
    return LoadFigures(kinds, _worth(requests), worth_upper_bound(deployment, requests))


def _kind_figures(requests: list[CallerRequest]) -> KindFigures:
    by_size = sorted(requests, key=lambda request: request.size, reverse=True)
    largest = by_size[: max(1, int(len(by_size) * LARGE_SHARE))]
    return KindFigures(
        in_time=fmean(request.in_time for request in requests),
        answered=fmean(request.answered for request in requests),
        worth=_worth(requests),
        large_answered=fmean(request.answered for request in largest),
    )


def _worth(requests: list[CallerRequest]) -> float:
    return sum(request.earned_worth for request in requests) / sum(
        request.full_worth for request in requests
    )


def _print_load(name: str, load: float, days: list[LoadFigures]) -> None:
    worth, bound = fmean(day.worth for day in days), fmean(day.bound for day in days)
    print(f'{name} at {load}: worth {worth:.3f}, bound {bound:.3f}')
    for kind in days[0].kinds:
        of_kind = [day.kinds[kind] for day in days]
        print(
            f'  {kind:16}',
            f'in time {fmean(each.in_time for each in of_kind):.3f}',
            f'answered {fmean(each.answered for each in of_kind):.3f}',
            f'worth {fmean(each.worth for each in of_kind):.3f}',
            f'largest answered {fmean(each.large_answered for each in of_kind):.3f}',
        )
