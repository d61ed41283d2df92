"""The compared usage sketch behaves as its paper says; exact slots beat it on bytes."""

import random

import pytest

from bench.usage import PRIME, WINDOW_SECONDS, Observation, WindowSketch, run


def make_sketch(size, seed=3):
    rng = random.Random(seed)
    return WindowSketch(size, rng.randrange(1, PRIME), rng.randrange(PRIME))


def test_doubled_and_reordered_observations_change_nothing():
    seen = [Observation(0, 5, float(number % 10), number) for number in range(200)]
    once, shuffled = make_sketch(50), make_sketch(50)
    for observation in seen:
        once.observe(observation)
    mixed = seen * 2
    random.Random(1).shuffle(mixed)
    for observation in mixed:
        shuffled.observe(observation)
    shuffled.merge(once.levels)
    assert shuffled.total(WINDOW_SECONDS) == once.total(WINDOW_SECONDS)


def test_estimate_is_near_the_sum_when_samples_are_discarded():
    sketch = make_sketch(size=600)
    for number in range(3000):
        sketch.observe(Observation(0, 10, 0.1 + number % 9, number))
    assert sketch.total(WINDOW_SECONDS) == pytest.approx(30000, rel=0.2)


def test_exact_slots_need_fewer_bytes():
    figures = run(requests=400)['customers_10']
    assert (
        figures['exact']['bytes_per_node_round'] < figures['sketch_1500']['bytes_per_node_round']
    )
