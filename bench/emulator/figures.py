"""Figures of played days: what callers got, with confidence intervals, and plots."""

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

from bench.emulator.callers import Asked

WINDOW_SECONDS = 2.0
WORST_WINDOWS = 2
INTERVAL_FACTOR = 1.96  # of the standard error, for 95 in 100
MILLISECONDS = 1000


@dataclass(frozen=True, slots=True)
class DayFigures:
    """What the callers of one played day got; shares are of what was asked or owed."""

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
    """A mean over days, and the half width of its confidence interval."""

    mean: float
    half_width: float


def day_figures(asked: Sequence[Asked], possible_worth: float) -> DayFigures:
    """Gathers the figures of a day."""
    firsts = sorted(
        one.first_seconds - one.asked_seconds
        for one in asked
        if one.answered and one.prompt_tokens
    )
    windows = sorted(_by(asked, lambda one: int(one.asked_seconds / WINDOW_SECONDS)).values())
    return DayFigures(
        worth=_worth(asked),
        worst_windows_worth=fmean(windows[:WORST_WINDOWS]),
        worst_kind_worth=min(_by(asked, lambda one: one.kind.name).values()),
        in_time=fmean(one.in_time for one in asked),
        answered=fmean(one.answered for one in asked),
        refused_again=fmean(one.refusals > 1 for one in asked),
        first_p50_ms=_at(firsts, 0.5) * MILLISECONDS,
        first_p99_ms=_at(firsts, 0.99) * MILLISECONDS,
        possible_worth=possible_worth,
    )


def intervals(days: Sequence[DayFigures]) -> dict[str, Interval]:
    """Returns the mean of each figure over days, with its interval."""
    rows = [asdict(day) for day in days]
    return {name: _interval([row[name] for row in rows]) for name in rows[0]}


def worth_by_window(asked: Sequence[Asked]) -> dict[float, float]:
    """Returns the share of what is owed that was earned, by the second it was asked in."""
    found = _by(asked, lambda one: int(one.asked_seconds / WINDOW_SECONDS))
    return {number * WINDOW_SECONDS: found[number] for number in sorted(found)}


def plot(series: dict[str, dict[float, float]], target: Path) -> None:
    """Draws the worth over time of each policy."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4))
    axes = figure.subplots()
    for name, by_window in series.items():
        axes.plot(list(by_window), list(by_window.values()), label=name, drawstyle='steps-post')
    axes.set_xlabel('seconds')
    axes.set_ylabel('share of the worth that was owed')
    axes.set_ylim(0, 1.05)
    axes.legend()
    figure.savefig(target, dpi=110, bbox_inches='tight')


def _by(asked: Sequence[Asked], key: Callable[[Asked], Any]) -> dict[Any, float]:
    groups: dict[Any, list[Asked]] = defaultdict(list)
    for one in asked:
        groups[key(one)].append(one)
    return {name: _worth(group) for name, group in groups.items()}


def _worth(asked: Sequence[Asked]) -> float:
    owed = sum(one.owed for one in asked)
    return sum(one.earned for one in asked) / owed if owed else 0


def _at(ordered: Sequence[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0


def _interval(found: Sequence[float]) -> Interval:
    if len(found) < 2:
        return Interval(found[0], 0)
    return Interval(fmean(found), INTERVAL_FACTOR * stdev(found) / math.sqrt(len(found)))
