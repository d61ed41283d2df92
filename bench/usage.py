"""Compares two ways to spread per-customer usage among the entries of a data centre.

Each node observes requests ``(customer, tokens, time)`` and sends its summary to
the others, over links that lose and double messages. *Exact* sends one decayed
counter a customer, kept by the receiver in a slot of the sender, so that a
doubled message changes nothing. *Sketch* is the duplicate-insensitive sketch of
Cormode, Tirthapura and Xu, "Time-Decaying Sketches for Sensor Data Aggregation"
(PODC 2007), in its sliding-window form (section 4.1): for every customer and
level ``i`` the ``size`` most recent observations of those points that a pairwise
independent hash selects with probability ``2 ** -i``.

Example::

    python -m bench usage --json
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
DOUBLE_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class Observation:
    """One request as its entry saw it; ``points`` counts units of 64 tokens."""

    customer: int
    points: int
    at_seconds: float
    number: int


@dataclass(slots=True)
class LevelSample:
    """The most recent observations of one level, and when the newest discarded one was."""

    kept: dict[int, tuple[float, int]] = field(default_factory=dict)
    discarded_seconds: float = -math.inf

    def add(self, number: int, at_seconds: float, points: int, size: int) -> None:
        """Adds an observation once, and discards the oldest ones above the size."""
        if at_seconds <= self.discarded_seconds:
            return
        self.kept[number] = (at_seconds, points)
        while len(self.kept) > size:
            at, oldest = min((entry[0], key) for key, entry in self.kept.items())
            self.kept.pop(oldest)
            self.discarded_seconds = max(self.discarded_seconds, at)


class WindowSketch:
    """The sliding-window sketch of one customer's usage."""

    def __init__(self, size: int, multiplier: int, offset: int) -> None:
        self.levels = [LevelSample() for _ in range(LEVELS)]
        self._size = size
        self._multiplier = multiplier
        self._offset = offset

    def observe(self, seen: Observation) -> None:
        """Adds one observation to each level that selects one of its points."""
        selected = [0 for _ in range(LEVELS)]
        first = seen.number * POINTS_PER_ID
        for point in range(first, first + seen.points):
            hashed = (self._multiplier * point + self._offset) % PRIME
            for level in range(min(LEVELS, 61 - hashed.bit_length() + 1)):
                selected[level] += 1
        for level, points in enumerate(selected):
            if points:
                self.levels[level].add(seen.number, seen.at_seconds, points, self._size)

    def merge(self, levels: list[LevelSample]) -> None:
        """Takes over what another node has sampled; a second time changes nothing."""
        for own, other in zip(self.levels, levels, strict=True):
            for number, (at_seconds, points) in other.kept.items():
                own.add(number, at_seconds, points, self._size)
            own.discarded_seconds = max(own.discarded_seconds, other.discarded_seconds)

    def total(self, now_seconds: float) -> float:
        """Estimates the points of the window from the lowest level that is complete."""
        start_seconds = now_seconds - WINDOW_SECONDS
        for level, sample in enumerate(self.levels):
            if sample.discarded_seconds <= start_seconds:
                recent = (points for at, points in sample.kept.values() if at > start_seconds)
                return float(sum(recent) << level)
        return math.nan

    def encoded(self) -> bytes:
        """Encodes the levels as they would be sent."""
        return cbor2.dumps(
            [
                [[n, at, points] for n, (at, points) in sample.kept.items()]
                for sample in self.levels
            ]
        )


def make_observations(rng: random.Random, customers: int, count: int) -> list[Observation]:
    """Draws requests over one window; customer 0 sends a third of them."""
    return [
        Observation(
            customer=0 if rng.random() < 1 / 3 else rng.randrange(customers),
            points=rng.randint(1, POINTS_PER_ID - 1),
            at_seconds=rng.uniform(0, WINDOW_SECONDS),
            number=number,
        )
        for number in range(count)
    ]


def deliveries(rng: random.Random) -> int:
    """Returns how often one message arrives: lost, once, or doubled."""
    drawn = rng.random()
    if drawn < LOSS_SHARE:
        return 0
    return 2 if drawn < LOSS_SHARE + DOUBLE_SHARE else 1


def measure_exact(rng: random.Random, by_node: list[list[Observation]]) -> dict[str, float]:
    """Sends every node's decayed counters to node 0, twice over lossy links."""
    started = time.process_time()
    sent_bytes = 0
    slots: list[dict[int, float]] = [{} for _ in by_node]
    for node, seen in enumerate(by_node):
        counters: dict[int, float] = defaultdict(float)
        for observation in seen:
            counters[observation.customer] += observation.points
        message = cbor2.dumps(dict(counters))
        sent_bytes += len(message)
        if node == 0 or _arrives(rng):
            slots[node] = cbor2.loads(message)
    totals: dict[int, float] = defaultdict(float)
    for slot in slots:
        for customer, points in slot.items():
            totals[customer] += points
    return _figures(totals, by_node, sent_bytes, time.process_time() - started)


def measure_sketch(
    rng: random.Random, by_node: list[list[Observation]], size: int
) -> dict[str, float]:
    """Sends every node's sketches to node 0 over the same kind of links."""
    started = time.process_time()
    multiplier, offset = rng.randrange(1, PRIME), rng.randrange(PRIME)
    merged: dict[int, WindowSketch] = {}
    sent_bytes = 0
    for node, seen in enumerate(by_node):
        sketches: dict[int, WindowSketch] = {}
        for observation in seen:
            if observation.customer not in sketches:
                sketches[observation.customer] = WindowSketch(size, multiplier, offset)
            sketches[observation.customer].observe(observation)
        sent_bytes += sum(len(sketch.encoded()) for sketch in sketches.values())
        if node == 0 or _arrives(rng):
            _merge_all(merged, sketches, size, multiplier, offset)
    totals = {customer: sketch.total(WINDOW_SECONDS) for customer, sketch in merged.items()}
    return _figures(totals, by_node, sent_bytes, time.process_time() - started)


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


def _arrives(rng: random.Random) -> bool:
    # Each summary is sent in two rounds; one arrival of either is enough for both ways.
    return deliveries(rng) + deliveries(rng) > 0


def _figures(
    totals: dict[int, float],
    by_node: list[list[Observation]],
    sent_bytes: int,
    processor_seconds: float,
) -> dict[str, float]:
    truth: dict[int, float] = defaultdict(float)
    for observed in by_node:
        for observation in observed:
            truth[observation.customer] += observation.points
    errors = [abs(totals.get(customer, 0) - points) / points for customer, points in truth.items()]
    largest = abs(totals.get(0, 0) - truth[0]) / truth[0]
    return {
        'bytes_per_node_round': round(sent_bytes / len(by_node), 1),
        'processor_microseconds_per_request': round(
            processor_seconds * 1e6 / sum(map(len, by_node)), 2
        ),
        'mean_error': round(sum(errors) / len(errors), 4),
        'largest_customer_error': round(largest, 4),
    }


def run(seed: int = 7, requests: int = 4000) -> dict[str, object]:
    """Measures both ways at 20 nodes with 10, 100 and 2,000 customers."""
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
