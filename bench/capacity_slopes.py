"""Reads the measured slopes and formats them as Markdown tables."""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted to measurements: ``value = intercept + slope * count``.

    ``first`` and ``last`` are the lowest and highest measured counts; ``per`` names
    what is counted, and ``command`` is the command line that repeats the measurement.
    """

    unit: str
    per: str
    slope: float
    intercept: float
    r_squared: float
    first: float
    last: float
    command: str


@dataclass(frozen=True, slots=True)
class RestFigures:
    """A program without load: seconds from start to ready, and resident bytes."""

    ready_seconds: float
    resident_bytes: float


@dataclass(frozen=True, slots=True)
class Slopes:
    """All measurements that the capacity page is computed from, by name."""

    machine: str
    measured_on: str
    by_name: dict[str, Slope]
    rest: dict[str, RestFigures]

    def of(self, name: str) -> float:
        """Returns the slope of a measurement; raises ``KeyError`` if the file lacks it."""
        return self.by_name[name].slope

    def intercept_of(self, name: str) -> float:
        """Returns the fitted value at a count of zero, but at least zero."""
        return max(0, self.by_name[name].intercept)


def read_slopes(path: Path) -> Slopes:
    """Reads the JSON file that ``python -m bench slopes`` writes."""
    content: dict[str, Any] = json.loads(path.read_text('utf8'))
    return Slopes(
        machine=content['machine'],
        measured_on=content['measured_on'],
        by_name={name: Slope(**fields) for name, fields in content['slopes'].items()},
        rest={name: RestFigures(**fields) for name, fields in content['rest'].items()},
    )


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Fits a line by least squares; returns slope, intercept and r squared."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    squares_y = sum((y - mean_y) ** 2 for _, y in points)
    products = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = products / squares_x if squares_x else 0
    r_squared = products**2 / (squares_x * squares_y) if squares_x and squares_y else 1
    return slope, mean_y - slope * mean_x, r_squared


def make_measured_table(slopes: Slopes) -> str:
    """Returns the table of slopes, each with its range, fit and command."""
    lines = [
        f'Measured on {slopes.measured_on}, {slopes.machine}.',
        '',
        '| slope | value | range | r² | command |',
        '| --- | --- | --- | --- | --- |',
    ]
    for name, slope in sorted(slopes.by_name.items()):
        value = f'{slope.slope:.4g} {slope.unit} per {slope.per}'
        measured_range = f'{slope.first:g} to {slope.last:g}'
        lines.append(
            f'| `{name}` | {value} | {measured_range} | {slope.r_squared:.3f} | `{slope.command}` |'
        )
    return '\n'.join(lines)


def make_rest_table(slopes: Slopes) -> str:
    """Returns the table of each program's start time and memory without load."""
    lines = ['| program | start to ready | resident at rest |', '| --- | --- | --- |']
    for name, rest in sorted(slopes.rest.items()):
        resident_mib = rest.resident_bytes / 2**20
        lines.append(f'| `{name}` | {rest.ready_seconds:.2f} s | {resident_mib:.0f} MiB |')
    return '\n'.join(lines)
