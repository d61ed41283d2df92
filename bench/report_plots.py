"""Draws the plots of the report, each with a function that returns a new figure."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram
from matplotlib.figure import Figure

MICROSECONDS_PER_SECOND = 1_000_000
MAX_LATENCY_MICROSECONDS = 600 * MICROSECONDS_PER_SECOND
SIGNIFICANT_DIGITS = 3
PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100)
STATUS_OK = 200
PERCENTILE_95 = 95
FIGURE_INCHES = (9, 3.6)


@dataclass(frozen=True)
class Request:
    """One request of a series; times are in seconds since the first event of the series."""

    scheduled_seconds: float
    first_seconds: float
    end_seconds: float
    status: int
    customer: str
    kind: str


def read_requests(series: dict[str, Any]) -> list[Request]:
    """Decodes the requests of a series."""
    return [Request(*fields) for fields in series['requests']]


def draw_all(series: dict[str, Any]) -> Iterator[tuple[str, Figure]]:
    """Yields the title and the figure of every plot that a series has data for."""
    requests = read_requests(series)
    if series['loads']:
        yield 'Time to replicas', draw_replicas(series)
    if requests:
        yield 'Latency of each customer', draw_customers(requests)
        yield 'Service over time', draw_service(requests, series['marks'])


def draw_replicas(series: dict[str, Any]) -> Figure:
    """Draws how many engines have loaded each release, over time."""
    figure = Figure(FIGURE_INCHES)
    axes = figure.add_subplot()
    by_release: dict[str, list[float]] = defaultdict(list)
    for at, release in series['loads']:
        by_release[release].append(at)
    for release, times in by_release.items():
        ordered = sorted(times)
        axes.step(ordered, range(1, len(ordered) + 1), where='post', label=release)
    axes.axhline(series['engines'], linestyle=':', color='grey')
    _label_axes(axes, 'seconds', 'engines that have loaded it')
    return figure


def draw_customers(requests: list[Request]) -> Figure:
    """Draws the latency percentiles of each customer's generations, from HDR histograms."""
    figure = Figure(FIGURE_INCHES)
    axes = figure.add_subplot()
    for customer in sorted({request.customer for request in requests}):
        customer_requests = [request for request in requests if request.customer == customer]
        completed = [
            each
            for each in customer_requests
            if each.status == STATUS_OK and each.kind == 'generate'
        ]
        if not completed:
            continue
        histogram = _histogram(completed)
        positions = range(len(PERCENTILES))
        axes.plot(
            positions,
            [_percentile_seconds(histogram, each) for each in PERCENTILES],
            'o-',
            label=customer,
        )
    axes.set_xticks(range(len(PERCENTILES)), [f'{each:g}' for each in PERCENTILES])
    axes.set_yscale('log')
    _label_axes(axes, 'percentile', 'seconds from the scheduled time')
    return figure


def draw_service(requests: list[Request], marks: dict[str, float]) -> Figure:
    """Draws the answers and failures per second, and the p95 latency of each second."""
    figure = Figure(FIGURE_INCHES)
    axes = figure.add_subplot()
    answered: dict[int, list[Request]] = defaultdict(list)
    failed: dict[int, int] = defaultdict(int)
    for request in requests:
        second = int(request.scheduled_seconds)
        if request.status == STATUS_OK:
            answered[second].append(request)
        else:
            failed[second] += 1
    seconds = sorted({*answered, *failed})
    axes.bar(seconds, [len(answered[each]) for each in seconds], color='#9ecae1', label='answered')
    axes.bar(seconds, [failed[each] for each in seconds], color='#d62728', label='failed')
    _label_axes(axes, 'seconds', 'requests a second')
    latency_axes = axes.twinx()
    timed = [each for each in seconds if answered[each]]
    latency_axes.plot(
        timed,
        [_percentile_seconds(_histogram(answered[each]), PERCENTILE_95) for each in timed],
        color='black',
    )
    latency_axes.set_ylabel('p95 in seconds')
    for label, at in marks.items():
        axes.axvline(at, linestyle='--', color='green')
        axes.annotate(label, (at, axes.get_ylim()[1]), rotation=90, va='top', fontsize=8)
    return figure


def _histogram(requests: list[Request]) -> Any:
    histogram: Any = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for request in requests:
        latency_seconds = request.end_seconds - request.scheduled_seconds
        histogram.record_value(max(1, int(latency_seconds * MICROSECONDS_PER_SECOND)))
    return histogram


def _percentile_seconds(histogram: Any, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / MICROSECONDS_PER_SECOND


def _label_axes(axes: Any, x_label: str, y_label: str) -> None:
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.grid(alpha=0.3)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(fontsize=7, loc='upper left')
