"""Figures of simulated days: what callers got, with confidence intervals, and plots."""

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

from bench.emulator.callers import CallerRequest

WINDOW_SECONDS = 2.0
WORST_WINDOWS_COUNT = 2
INTERVAL_FACTOR = 1.96  # times the standard error gives a 95 % confidence interval
MILLISECONDS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class DayFigures:
    """What the callers got on one day; worths are shares of the full worth.

    ``in_time``, ``answered`` and ``refused_again`` are shares of the requests.
    """

    worth: float
    worst_windows_worth: float
    worst_kind_worth: float
    in_time: float
    answered: float
    refused_again: float
    first_p50_ms: float
    first_p99_ms: float
    possible_worth: float


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean over days with the half width of its confidence interval."""

    mean: float
    half_width: float


def day_figures(requests: Sequence[CallerRequest], possible_worth: float) -> DayFigures:
    """Computes the figures of a day; ``requests`` must not be empty."""
    firsts = sorted(
        request.first_seconds - request.start_seconds
        for request in requests
        if request.answered and request.prompt_tokens
    )
    windows = sorted(
        _worth_by(requests, lambda request: int(request.start_seconds / WINDOW_SECONDS)).values()
    )
    return DayFigures(
        worth=_worth(requests),
        worst_windows_worth=fmean(windows[:WORST_WINDOWS_COUNT]),
        worst_kind_worth=min(_worth_by(requests, lambda request: request.kind.name).values()),
        in_time=fmean(request.in_time for request in requests),
        answered=fmean(request.answered for request in requests),
        refused_again=fmean(request.refusals > 1 for request in requests),
        first_p50_ms=_quantile(firsts, 0.5) * MILLISECONDS_PER_SECOND,
        first_p99_ms=_quantile(firsts, 0.99) * MILLISECONDS_PER_SECOND,
        possible_worth=possible_worth,
    )


def intervals(days: Sequence[DayFigures]) -> dict[str, Interval]:
    """Returns the mean of each figure over days, with its confidence interval."""
    rows = [asdict(day) for day in days]
    return {name: _interval([row[name] for row in rows]) for name in rows[0]}


def worth_by_window(requests: Sequence[CallerRequest]) -> dict[float, float]:
    """Returns the share of the full worth that was earned, by start of the time window."""
    by_window = _worth_by(requests, lambda request: int(request.start_seconds / WINDOW_SECONDS))
    return {number * WINDOW_SECONDS: by_window[number] for number in sorted(by_window)}


def plot(series: dict[str, dict[float, float]], target: Path) -> None:
    """Plots the worth over time for each policy into the image file ``target``."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    for name, by_window in series.items():
        axes.plot(list(by_window), list(by_window.values()), label=name, drawstyle='steps-post')
    axes.set_xlabel('seconds')
    axes.set_ylabel('share of the full worth earned')
    axes.set_ylim(0, 1.05)
    axes.legend()
    figure.savefig(target, dpi=110, bbox_inches='tight')


def _worth_by(
    requests: Sequence[CallerRequest], key: Callable[[CallerRequest], Any]
) -> dict[Any, float]:
    groups: dict[Any, list[CallerRequest]] = defaultdict(list)
    for request in requests:
        groups[key(request)].append(request)
    return {name: _worth(group) for name, group in groups.items()}


def _worth(requests: Sequence[CallerRequest]) -> float:
    full = sum(request.full_worth for request in requests)
    return sum(request.earned_worth for request in requests) / full if full else 0


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0


def _interval(figures: Sequence[float]) -> Interval:
    if len(figures) < 2:
        return Interval(figures[0], 0)
    return Interval(fmean(figures), INTERVAL_FACTOR * stdev(figures) / math.sqrt(len(figures)))
