"""Measures a process over a time window: processor share, memory and link bytes."""

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
    """Link counters of one process: bytes by message, messages by ``direction/message``."""

    sent_bytes: dict[str, float]
    received_bytes: dict[str, float]
    messages: dict[str, float]

    def total_bytes(self) -> float:
        """Returns the bytes of all messages in both directions."""
        return sum(self.sent_bytes.values()) + sum(self.received_bytes.values())


@dataclass(frozen=True)
class WindowUsage:
    """What a process used in a time window; ``sent_bytes`` is keyed by message."""

    seconds: float
    processor_seconds: float
    resident_bytes: float
    link_bytes: float
    sent_bytes: dict[str, float]

    @property
    def processor_share(self) -> float:
        """Mean share of one core, 1 for a fully used core."""
        return self.processor_seconds / self.seconds

    @property
    def bytes_per_second(self) -> float:
        """Mean link bytes per second in both directions."""
        return self.link_bytes / self.seconds


def read_traffic(address: str) -> Traffic:
    """Reads the link counters from a process's ``/metrics``."""
    text = call('GET', address, '/metrics').body.decode()
    sent: dict[str, float] = {}
    received: dict[str, float] = {}
    messages: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            if sample.name == BYTES_METRIC:
                bytes_by_message = sent if sample.labels['direction'] == 'sent' else received
                bytes_by_message[sample.labels['message']] = sample.value
            elif sample.name == MESSAGES_METRIC:
                name = f'{sample.labels["direction"]}/{sample.labels["message"]}'
                messages[name] = sample.value
    return Traffic(sent, received, messages)


def measure_window(child: Child, address: str, seconds: float) -> WindowUsage:
    """Blocks for some seconds and returns what a process used meanwhile."""
    before, traffic_before = child.usage(), read_traffic(address)
    started = time.monotonic()
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    after, traffic_after = child.usage(), read_traffic(address)
    sent_before = traffic_before.sent_bytes
    return WindowUsage(
        seconds=elapsed,
        processor_seconds=after.processor_seconds - before.processor_seconds,
        resident_bytes=after.resident_bytes,
        link_bytes=traffic_after.total_bytes() - traffic_before.total_bytes(),
        sent_bytes={
            message: count - sent_before.get(message, 0)
            for message, count in traffic_after.sent_bytes.items()
        },
    )


def make_slope(points: list[tuple[float, float]], unit: str, per: str, part: str) -> Slope:
    """Fits a line to points of one part of ``python -m bench slopes``.

    The points must be in rising order of their counts.
    """
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
