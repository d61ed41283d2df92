"""Compares two ways to exchange per-customer usage among the entries of a data centre.

Each node observes requests ``(customer, tokens, time)`` and sends its summary to the
others over links that lose and duplicate messages. *Exact* sends one decayed counter
per customer; the receiver stores it under the sender, so that a duplicate message
changes nothing. *Sketch* is the duplicate-insensitive sketch of
Cormode, Tirthapura and Xu, "Time-Decaying Sketches for Sensor Data Aggregation"
(PODC 2007), in its sliding-window form (section 4.1): for every customer and
level ``i`` the ``size`` most recent observations of those points that a pairwise
independent hash selects with probability ``2 ** -i``.

Example::

    python -m bench.usage
"""

import json
import math
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

import cbor2

PRIME = (1 << 61) - 1
POINTS_PER_ID = 64
LEVELS = 20
TOKENS_PER_POINT = 64
NODES = 20
WINDOW_SECONDS = 10.0
LOSS_SHARE = 0.1
DUPLICATE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Observation:
    """One request as its entry observed it; ``points`` counts units of 64 tokens."""

    customer: int
    points: int
    at_seconds: float
    number: int


@dataclass(slots=True)
class LevelSample:
    """The most recent observations of one level, and the time of the newest discarded one."""

    samples: dict[int, tuple[float, int]] = field(default_factory=dict)
    discarded_seconds: float = -math.inf

    def add(self, number: int, at_seconds: float, points: int, size: int) -> None:
        """Adds an observation once, and discards the oldest ones above ``size``."""
        if at_seconds <= self.discarded_seconds:
            return
        self.samples[number] = (at_seconds, points)
        while len(self.samples) > size:
            oldest_seconds, oldest = min((sample[0], key) for key, sample in self.samples.items())
            self.samples.pop(oldest)
            self.discarded_seconds = max(self.discarded_seconds, oldest_seconds)


class WindowSketch:
    """The sliding-window sketch of one customer's usage."""

    def __init__(self, size: int, multiplier: int, offset: int) -> None:
        self.levels = [LevelSample() for _ in range(LEVELS)]
        self._size = size
        self._multiplier = multiplier
        self._offset = offset

    def observe(self, observation: Observation) -> None:
        """Adds one observation to each level that selects one of its points."""
        selected = [0 for _ in range(LEVELS)]
        first = observation.number * POINTS_PER_ID
        for point in range(first, first + observation.points):
            hashed = (self._multiplier * point + self._offset) % PRIME
            for level in range(min(LEVELS, 61 - hashed.bit_length() + 1)):
                selected[level] += 1
        for level, points in enumerate(selected):
            if points:
                self.levels[level].add(
                    observation.number, observation.at_seconds, points, self._size
                )

    def merge(self, levels: list[LevelSample]) -> None:
        """Merges the samples of another node; merging them again changes nothing."""
        for own_sample, other_sample in zip(self.levels, levels, strict=True):
            for number, (at_seconds, points) in other_sample.samples.items():
                own_sample.add(number, at_seconds, points, self._size)
            own_sample.discarded_seconds = max(
                own_sample.discarded_seconds, other_sample.discarded_seconds
            )

    def total(self, now_seconds: float) -> float:
        """Estimates the points of the window from the lowest level that covers it whole.

        Returns NaN if every level has discarded observations of the window.
        """
        start_seconds = now_seconds - WINDOW_SECONDS
        for level, sample in enumerate(self.levels):
            if sample.discarded_seconds <= start_seconds:
                recent = (points for at, points in sample.samples.values() if at > start_seconds)
                return float(sum(recent) << level)
        return math.nan

    def encode(self) -> bytes:
        """Encodes the levels in CBOR, as they would be sent."""
        return cbor2.dumps(
            [
                [[n, at, points] for n, (at, points) in sample.samples.items()]
                for sample in self.levels
            ]
        )


def make_observations(rng: random.Random, customers: int, count: int) -> list[Observation]:
    """Generates random requests over one window; customer 0 sends a third of them."""
    return [
        Observation(
            customer=0 if rng.random() < 1 / 3 else rng.randrange(customers),
            points=rng.randint(1, POINTS_PER_ID - 1),
            at_seconds=rng.uniform(0, WINDOW_SECONDS),
            number=number,
        )
        for number in range(count)
    ]


def draw_delivery_count(rng: random.Random) -> int:
    """Returns how many copies of a message arrive: 0 if lost, 1, or 2 if duplicated."""
    draw = rng.random()
    if draw < LOSS_SHARE:
        return 0
    return 2 if draw < LOSS_SHARE + DUPLICATE_SHARE else 1


def measure_exact(rng: random.Random, by_node: list[list[Observation]]) -> dict[str, float]:
    """Measures the exact counters: each node sends them to node 0 twice over lossy links."""
    started = time.process_time()
    sent_bytes = 0
    received: list[dict[int, float]] = [{} for _ in by_node]
    for node, observations in enumerate(by_node):
        counters: dict[int, float] = defaultdict(float)
        for observation in observations:
            counters[observation.customer] += observation.points
        message = cbor2.dumps(dict(counters))
        sent_bytes += len(message)
        if node == 0 or _arrives_in_two_rounds(rng):
            received[node] = cbor2.loads(message)
    totals: dict[int, float] = defaultdict(float)
    for message_counters in received:
        for customer, points in message_counters.items():
            totals[customer] += points
    return _summarise(totals, by_node, sent_bytes, time.process_time() - started)


def measure_sketch(
    rng: random.Random, by_node: list[list[Observation]], size: int
) -> dict[str, float]:
    """Measures the sketches: each node sends them to node 0 twice over lossy links."""
    started = time.process_time()
    multiplier, offset = rng.randrange(1, PRIME), rng.randrange(PRIME)
    merged: dict[int, WindowSketch] = {}
    sent_bytes = 0
    for node, observations in enumerate(by_node):
        sketches: dict[int, WindowSketch] = {}
        for observation in observations:
            if observation.customer not in sketches:
                sketches[observation.customer] = WindowSketch(size, multiplier, offset)
            sketches[observation.customer].observe(observation)
        sent_bytes += sum(len(sketch.encode()) for sketch in sketches.values())
        if node == 0 or _arrives_in_two_rounds(rng):
            _merge_all(merged, sketches, size, multiplier, offset)
    totals = {customer: sketch.total(WINDOW_SECONDS) for customer, sketch in merged.items()}
    return _summarise(totals, by_node, sent_bytes, time.process_time() - started)


def _merge_all(
    merged: dict[int, WindowSketch],
    sketches: dict[int, WindowSketch],
    size: int,
    multiplier: int,
    offset: int,
) -> None:
    for customer, sketch in sketches.items():
        if customer not in merged:
            merged[customer] = WindowSketch(size, multiplier, offset)
        merged[customer].merge(sketch.levels)


def _arrives_in_two_rounds(rng: random.Random) -> bool:
    # Each summary is sent in two rounds; for counters and sketches one arrival is enough.
    return draw_delivery_count(rng) + draw_delivery_count(rng) > 0


def _summarise(
    totals: dict[int, float],
    by_node: list[list[Observation]],
    sent_bytes: int,
    processor_seconds: float,
) -> dict[str, float]:
    true_points: dict[int, float] = defaultdict(float)
    for observations in by_node:
        for observation in observations:
            true_points[observation.customer] += observation.points
    errors = [
        abs(totals.get(customer, 0) - points) / points for customer, points in true_points.items()
    ]
    largest = abs(totals.get(0, 0) - true_points[0]) / true_points[0]
    return {
        'bytes_per_node_round': round(sent_bytes / len(by_node), 1),
        'processor_microseconds_per_request': round(
            processor_seconds * 1e6 / sum(map(len, by_node)), 2
        ),
        'mean_error': round(sum(errors) / len(errors), 4),
        'largest_customer_error': round(largest, 4),
    }


def run(seed: int = 7, requests: int = 4000) -> dict[str, object]:
    """Compares both methods at 20 nodes with 10, 100 and 2,000 customers."""
    results: dict[str, object] = {'seed': seed, 'nodes': NODES, 'requests': requests}
    for customers in (10, 100, 2000):
        rng = random.Random(seed)
        by_node: list[list[Observation]] = [[] for _ in range(NODES)]
        for observation in make_observations(rng, customers, requests):
            by_node[rng.randrange(NODES)].append(observation)
        results[f'customers_{customers}'] = {
            'exact': measure_exact(random.Random(seed), by_node),
            'sketch_1500': measure_sketch(random.Random(seed), by_node, size=1500),
            'sketch_100': measure_sketch(random.Random(seed), by_node, size=100),
        }
    return results


if __name__ == '__main__':
    print(json.dumps(run()))
