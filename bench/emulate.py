"""Simulates a day under one or more policies, with several seeds.

Example::

    python -m bench emulate queue-overload --seeds 20 --compare no-memory --json
"""

import json as json_format
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

from bench.emulator.bound import worth_upper_bound
from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import read_deployment
from bench.emulator.figures import DayFigures, day_figures, intervals, plot, worth_by_window
from bench.emulator.policies import POLICIES

WORKER_PROCESSES = 4  # half the cores of a common machine
PRODUCT = 'product'


def run(
    site: Path,
    *,
    seeds: int = 8,
    compare: tuple[str, ...] = (),
    json: bool = False,
    plot_to: Path | None = None,
) -> int:
    """Simulates ``site`` (a TOML file, or the name of one of the emulator's own).

    Prints the mean of each figure over the seeds with its 95 % interval, for the
    product's policy and each of ``compare``. Exit status 2 for an unknown policy.
    """
    unknown = [name for name in compare if name not in POLICIES]
    if unknown:
        print(f'unknown policy {unknown[0]!r}; known: {", ".join(POLICIES)}', file=sys.stderr)
        return 2
    names = [PRODUCT, *(name for name in compare if name != PRODUCT)]
    days = simulate_days(site, names, seeds)
    if json:
        print(_format_json(days))
    else:
        _print_table(days)
    if plot_to is not None:
        deployment = read_deployment(site)
        series = {
            name: worth_by_window(DaySimulation(deployment, POLICIES[name], 1).run())
            for name in names
        }
        plot(series, plot_to)
    return 0


def simulate_days(site: Path, names: list[str], seeds: int) -> dict[str, list[DayFigures]]:
    """Simulates a day for every policy and seed, ``WORKER_PROCESSES`` days at a time.

    Seeds count from 1; the figures of a policy are in the order of its seeds.
    """
    tasks = [(site, name, seed) for name in names for seed in range(1, seeds + 1)]
    figures_by_policy: dict[str, list[DayFigures]] = {name: [] for name in names}
    with ProcessPoolExecutor(WORKER_PROCESSES) as workers:
        results = workers.map(_simulate_day, tasks)
        for number, (task, figures) in enumerate(zip(tasks, results, strict=True), 1):
            figures_by_policy[task[1]].append(figures)
            print(f'\r{number} of {len(tasks)} days', end='', file=sys.stderr)
    print(file=sys.stderr)
    return figures_by_policy


def _simulate_day(task: tuple[Path, str, int]) -> DayFigures:
    site, name, seed = task
    deployment = read_deployment(site)
    requests = DaySimulation(deployment, POLICIES[name], seed).run()
    return day_figures(requests, worth_upper_bound(deployment, requests))


def _format_json(days: dict[str, list[DayFigures]]) -> str:
    content = {
        name: {figure: asdict(interval) for figure, interval in intervals(figures).items()}
        for name, figures in days.items()
    }
    return json_format.dumps(content, indent=2)


def _print_table(days: dict[str, list[DayFigures]]) -> None:
    for name, figures in days.items():
        print(name)
        for figure, interval in intervals(figures).items():
            print(f'  {figure:20} {interval.mean:9.3f} ± {interval.half_width:.3f}')
