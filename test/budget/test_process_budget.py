"""The budget bounds what is held, and closes the largest and slowest; no network is needed."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.budget.limits import CONNECTION_BYTES, BudgetLimits, make_limits
from jackdawsail.budget.process_budget import (
    SMALL_REQUEST_BYTES,
    Holding,
    HoldReason,
    ProcessBudget,
)

LIMIT_BYTES = 1_000_000


class World:
    """A budget on a clock of its own, and the connections that it has closed."""

    def __init__(self, held_bytes=LIMIT_BYTES, connections=8):
        self.now_seconds = 0.0
        self.closed = []
        limits = BudgetLimits(held_bytes, connections)
        self.budget = ProcessBudget(limits, lambda: self.now_seconds)

    def open(self):
        holding = Holding(lambda reason: self.closed.append(holding))
        return holding if self.budget.open(holding) else None


@pytest.mark.parametrize('memory_mb', [0, -1, 1, 64, 128, 200])
def test_one_body_of_the_largest_size_always_fits(memory_mb):
    # A limit of zero, or too small to be of use, must not refuse every caller.
    limits = make_limits(memory_mb, 0)
    world = World(limits.held_bytes, limits.connections)
    assert world.budget.admits(4_194_304)
    assert world.budget.begin_request(world.open(), 4_194_304)


def test_the_largest_and_slowest_is_closed_first():
    world = World()
    slow, large, small = [world.open() for _ in range(3)]
    world.budget.set_unfinished(slow, 300_000)
    world.now_seconds = 2.0
    world.budget.set_unfinished(large, 400_000)
    world.budget.set_unfinished(small, 10_000)
    world.now_seconds = 2.1
    world.budget.set_unfinished(large, 800_000)
    assert world.closed == [slow]
    world.budget.set_unfinished(large, 990_000)
    assert world.closed == [slow, large]


def test_a_request_that_is_served_is_not_closed_and_small_ones_still_fit():
    world = World()
    served, small, large = [world.open() for _ in range(3)]
    assert world.budget.begin_request(served, LIMIT_BYTES - 3 * CONNECTION_BYTES)
    assert not world.budget.admits(SMALL_REQUEST_BYTES + 1)
    assert not world.budget.begin_request(large, SMALL_REQUEST_BYTES + 1)
    assert world.budget.begin_request(small, SMALL_REQUEST_BYTES)
    assert not world.closed
    world.budget.end_request(served)
    assert world.budget.begin_request(large, 100_000)


def test_the_connection_that_is_idle_for_longest_is_closed_before_they_run_out():
    world = World(connections=8)
    connections = [world.open() for _ in range(8)]
    assert world.closed == [connections[0]]
    assert world.open() is None
    world.budget.closed(connections[0])
    assert world.open() is not None


def test_answers_of_closed_connections_count_until_their_transports_have_ended():
    world = World()
    unread = world.open()
    world.budget.set_answer(unread, 900_000)
    assert not world.budget.admits_answer(500_000)
    assert world.closed == [unread]
    assert not world.budget.admits_answer(500_000)
    world.budget.closed(unread)
    assert world.budget.admits_answer(500_000)


STEPS = st.lists(
    st.tuples(st.integers(0, 5), st.sampled_from('ubeac'), st.integers(0, 600_000)), max_size=60
)


@given(STEPS)
def test_counts_are_exact_and_what_can_give_way_never_exceeds_the_limit(steps):
    world = World(connections=6)
    holdings = [world.open() for _ in range(5)]
    for index, action, size_bytes in steps:
        world.now_seconds += 0.1
        holding = holdings[index % 5]
        if not holding.is_open:
            continue
        _step(world.budget, holding, action, size_bytes)
        budget = world.budget
        assert budget.held_bytes == sum(budget.held_by_reason.values())
        assert min(budget.held_by_reason.values()) >= 0
        giving = (
            budget.held_by_reason[HoldReason.unfinished] + budget.held_by_reason[HoldReason.answer]
        )
        assert giving == 0 or budget.held_bytes <= LIMIT_BYTES * 9 / 8
    for holding in holdings:
        world.budget.closed(holding)
    assert world.budget.held_bytes == 0
    assert world.budget.connections == 0


def _step(budget, holding, action, size_bytes):
    if action == 'u':
        budget.set_unfinished(holding, size_bytes)
    elif action == 'b' and not holding.request_bytes:
        budget.begin_request(holding, size_bytes)
    elif action == 'e':
        budget.end_request(holding)
    elif action == 'a':
        budget.set_answer(holding, size_bytes)
    elif action == 'c':
        budget.closed(holding)
