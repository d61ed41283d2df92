"""Shares of scarce engines by urgency: sums, order, floors, and entries that fail to report."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.routing.rank_shares import (
    FLOOR_SHARES,
    MAX_CLASSES,
    MAX_CREDIT_CALLS,
    Demand,
    Fractions,
    RankShares,
    UrgencyClasses,
    admitted_fractions,
    call_work_seconds,
    make_fractions,
    max_wait_share,
)
from test.site.documents import ENGINE

AMOUNTS = st.lists(st.floats(0, 1000), min_size=MAX_CLASSES, max_size=MAX_CLASSES)
RANKS = st.integers(0, 10**30)
CLASSES = UrgencyClasses(((0, 0), (0, 1), (0, 2)))


def admit(shares, calls, now_seconds):
    """Asks for calls, as a list of their classes; returns how many each class may admit."""
    admitted = [0] * MAX_CLASSES
    for urgency in calls:
        shares.ask(urgency, 1, now_seconds)
        if shares.standing(urgency, now_seconds).within_share:
            shares.record_admitted(urgency, 1, now_seconds)
            admitted[urgency] += 1
    return admitted


def scarce_shares(now_seconds):
    shares = RankShares(CLASSES)
    shares.refusals.record_refusal(now_seconds)
    return shares


@given(AMOUNTS, st.floats(0, 5000))
def test_fractions_keep_the_capacity_the_order_and_the_floors(asked, capacity):
    fractions = admitted_fractions(asked, capacity)
    granted = sum(amount * share for amount, share in zip(asked, fractions, strict=True))
    assert granted <= capacity * (1 + 1e-9) + 1e-9
    assert granted >= min(capacity, sum(asked)) * (1 - 1e-9) - 1e-9
    assert all(first >= second - 1e-9 for first, second in pairwise(fractions))
    overall = min(1, capacity / sum(asked)) if sum(asked) else 1
    for floor, share in zip(FLOOR_SHARES, fractions, strict=True):
        assert 0.5 * overall <= floor * overall <= share + 1e-9 <= 1 + 2e-9


@given(AMOUNTS, AMOUNTS)
def test_no_class_gets_more_than_a_more_urgent_one_was_admitted_but_its_floor(asked, admitted):
    admitted = [min(pair) for pair in zip(asked, admitted, strict=True)]
    fractions = make_fractions(Demand(tuple(asked), tuple(admitted), 100))
    for urgency, share in enumerate(fractions.shares):
        if share > fractions.floors[urgency]:
            for amount, served in zip(asked[:urgency], admitted[:urgency], strict=True):
                assert not amount or share <= served / amount
    assert all(0 <= part <= 1 for part in fractions.less_urgent)


@given(st.sets(st.tuples(RANKS, RANKS), min_size=2, max_size=20))
def test_classes_follow_the_ranks_however_many_there_are(ranks):
    classes = UrgencyClasses(tuple(sorted(ranks)))
    numbers = [classes.class_of(rank) for rank in classes.ranks]
    assert numbers == sorted(numbers)
    assert set(numbers) == set(range(classes.count))
    assert classes.class_of((max(ranks)[0] + 1, 0)) == classes.count - 1


@pytest.mark.parametrize('tokens', [-5, 0, 1, 10**12])
def test_false_sizes_count_at_most_four_times_the_usual_one(tokens):
    usual = call_work_seconds(ENGINE, 0, 0)
    assert 0 < call_work_seconds(ENGINE, tokens, tokens) <= 4 * usual + 1e-9


@given(st.integers(0, 2))
def test_without_refusals_every_call_is_within_its_share_and_may_wait_as_before(urgency):
    shares = RankShares(CLASSES)
    assert admit(shares, [urgency] * 50, 0)[urgency] == 50
    assert max_wait_share(CLASSES, urgency, shares.standing(urgency, 0)) >= 0.25


@given(st.floats(0, 1), st.integers(1, 200))
def test_a_class_admits_its_share_of_any_number_of_calls(share, calls):
    """Without a coin, so that few calls at each of many entries do not stray from the share."""
    shares = scarce_shares(10)
    shares.ask(1, 1, 10)
    shares.fractions = Fractions(shares=(1, share, share, share), floors=(share,) * MAX_CLASSES)
    admitted = admit(shares, [1] * calls, 10)[1]
    assert abs(admitted - share * calls) <= MAX_CREDIT_CALLS + 1


def test_an_entry_alone_divides_by_its_own_calls():
    shares = scarce_shares(10)
    for urgency in (0, 1, 2) * 20:
        shares.ask(urgency, 1, 10)
    for _ in range(20):
        shares.record_admitted(0, 1, 10)
    admitted = admit(shares, [0, 1, 2] * 40, 10.2)
    assert admitted[0] > admitted[1] >= admitted[2] > 0


def test_demand_of_others_counts_until_it_is_old_and_that_of_a_killed_entry_ages_out():
    """An entry that was killed while it refused most must not decide for the others for long."""
    shares = RankShares(CLASSES)
    demand = Demand((50, 50, 50, 0), (50, 0, 0, 0), 150)
    shares.receive('10.0.0.2', demand, 10, refuses=True)
    shares.ask(2, 1, 10)
    assert shares.is_scarce(10)
    assert shares.fractions.shares[2] < 0.5
    shares.ask(2, 1, 12.1)
    assert not shares.is_scarce(12.1)
    assert shares.fractions.shares[2] == 1
    assert not shares._reports


def test_a_restarted_entry_admits_by_wait_alone_until_it_has_data():
    shares = scarce_shares(10)
    assert admit(shares, [2] * 5, 10) == [0, 0, 5, 0]
