"""Reads the measured slopes and shows them as tables."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Slope:
    """A straight line fitted to measurements: ``value = intercept + slope * count``."""

    unit: str
    per: str
    slope: float
    intercept: float
    r_squared: float
    first: float
    last: float
    command: str


@dataclass(frozen=True, slots=True)
class Rest:
    """A program at rest: seconds from start to ready, and resident bytes."""

    ready_seconds: float
    resident_bytes: float


@dataclass(frozen=True, slots=True)
class Slopes:
    """Everything that the capacity page is computed from."""

    machine: str
    measured_on: str
    by_name: dict[str, Slope]
    rest: dict[str, Rest]

    def of(self, name: str) -> float:
        """Returns the slope of a name; an unknown name is a broken file."""
        return self.by_name[name].slope

    def base(self, name: str) -> float:
        """Returns the value of a slope's line at zero, never below zero."""
        return max(0, self.by_name[name].intercept)


def read_slopes(path: Path) -> Slopes:
    """Reads the file that ``python -m bench slopes`` writes."""
    content: dict[str, Any] = json.loads(path.read_text('utf8'))
    return Slopes(
        machine=content['machine'],
        measured_on=content['measured_on'],
        by_name={name: Slope(**fields) for name, fields in content['slopes'].items()},
        rest={name: Rest(**fields) for name, fields in content['rest'].items()},
    )


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Fits a line by least squares; returns slope, intercept and r squared."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    spread_y = sum((y - mean_y) ** 2 for _, y in points)
    shared = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = shared / spread_x if spread_x else 0
    r_squared = shared**2 / (spread_x * spread_y) if spread_x and spread_y else 1
    return slope, mean_y - slope * mean_x, r_squared


def make_measured_table(slopes: Slopes) -> str:
    """Shows each slope with its range, fit and command."""
    lines = [
        f'Measured on {slopes.measured_on}, {slopes.machine}.',
        '',
        '| slope | value | range | r² | command |',
        '| --- | --- | --- | --- | --- |',
    ]
    for name, slope in sorted(slopes.by_name.items()):
        value = f'{slope.slope:.4g} {slope.unit} per {slope.per}'
        reach = f'{slope.first:g} to {slope.last:g}'
        lines.append(
            f'| `{name}` | {value} | {reach} | {slope.r_squared:.3f} | `{slope.command}` |'
        )
    return '\n'.join(lines)


def make_rest_table(slopes: Slopes) -> str:
    """Shows each program at rest."""
    lines = ['| program | start to ready | resident at rest |', '| --- | --- | --- |']
    for name, rest in sorted(slopes.rest.items()):
        resident = rest.resident_bytes / 2**20
        lines.append(f'| `{name}` | {rest.ready_seconds:.2f} s | {resident:.0f} MiB |')
    return '\n'.join(lines)
