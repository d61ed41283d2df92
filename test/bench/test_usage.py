"""Tests that the usage sketch behaves as in its paper and needs more bytes than exact counters."""

import random

import pytest

from bench.usage import PRIME, WINDOW_SECONDS, Observation, WindowSketch, run


def make_sketch(size, seed=3):
    rng = random.Random(seed)
    return WindowSketch(size, rng.randrange(1, PRIME), rng.randrange(PRIME))


def test_duplicated_and_reordered_observations_change_nothing():
    observations = [Observation(0, 5, float(number % 10), number) for number in range(200)]
    once, shuffled = make_sketch(50), make_sketch(50)
    for observation in observations:
        once.observe(observation)
    duplicated = observations * 2
    random.Random(1).shuffle(duplicated)
    for observation in duplicated:
        shuffled.observe(observation)
    shuffled.merge(once.levels)
    assert shuffled.total(WINDOW_SECONDS) == once.total(WINDOW_SECONDS)


def test_estimate_stays_near_the_sum_when_samples_are_discarded():
    sketch = make_sketch(size=600)
    for number in range(3000):
        sketch.observe(Observation(0, 10, 0.1 + number % 9, number))
    assert sketch.total(WINDOW_SECONDS) == pytest.approx(30000, rel=0.2)


def test_exact_counters_need_fewer_bytes_than_the_sketch():
    figures = run(requests=400)['customers_10']
    assert (
        figures['exact']['bytes_per_node_round'] < figures['sketch_1500']['bytes_per_node_round']
    )
