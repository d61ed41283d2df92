"""Reads a process over a window: processor share, memory and bytes over links."""

import time
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families

from bench.capacity_slopes import Slope, fit_line
from bench.harness.child import Child
from bench.harness.http import call

BYTES_METRIC = 'jackdawsail_link_bytes_total'
MESSAGES_METRIC = 'jackdawsail_link_messages_total'
COMMAND = 'python -m bench slopes'


@dataclass(frozen=True)
class Traffic:
    """Counters of one process, by (direction, message)."""

    sent_bytes: dict[str, float]
    received_bytes: dict[str, float]
    messages: dict[str, float]

    def total_bytes(self) -> float:
        """Returns all bytes in both directions."""
        return sum(self.sent_bytes.values()) + sum(self.received_bytes.values())


@dataclass(frozen=True)
class Window:
    """What a process used in a window of time."""

    seconds: float
    processor_seconds: float
    resident_bytes: float
    link_bytes: float
    sent_bytes: dict[str, float]

    @property
    def processor_share(self) -> float:
        """Share of one core."""
        return self.processor_seconds / self.seconds

    @property
    def bytes_per_second(self) -> float:
        """Link bytes in both directions."""
        return self.link_bytes / self.seconds


def read_traffic(address: str) -> Traffic:
    """Scrapes the link counters of a process."""
    text = call('GET', address, '/metrics').body.decode()
    sent: dict[str, float] = {}
    received: dict[str, float] = {}
    messages: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == BYTES_METRIC:
                target = sent if sample.labels['direction'] == 'sent' else received
                target[sample.labels['message']] = sample.value
            elif sample.name == MESSAGES_METRIC:
                name = f'{sample.labels["direction"]}/{sample.labels["message"]}'
                messages[name] = sample.value
    return Traffic(sent, received, messages)


def watch(child: Child, address: str, seconds: float) -> Window:
    """Watches a process for a time."""
    before, traffic_before = child.usage(), read_traffic(address)
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    after, traffic_after = child.usage(), read_traffic(address)
    earlier = traffic_before.sent_bytes
    return Window(
        seconds=elapsed,
        processor_seconds=after.processor_seconds - before.processor_seconds,
        resident_bytes=after.resident_bytes,
        link_bytes=traffic_after.total_bytes() - traffic_before.total_bytes(),
        sent_bytes={
            tag: count - earlier.get(tag, 0) for tag, count in traffic_after.sent_bytes.items()
        },
    )


def make_slope(points: list[tuple[float, float]], unit: str, per: str, part: str) -> Slope:
    """Fits a line to the points of one part of the slopes bench."""
    slope, intercept, r_squared = fit_line(points)
    return Slope(
        unit=unit,
        per=per,
        slope=slope,
        intercept=intercept,
        r_squared=r_squared,
        first=points[0][0],
        last=points[-1][0],
        command=f'{COMMAND} --only {part}',
    )
