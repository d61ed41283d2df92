"""Guards what calls of three ranks get while engines are scarce, in the emulator."""

from functools import cache
from pathlib import Path
from statistics import fmean

import pytest

from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import ScheduledChange, read_deployment
from bench.emulator.policies import POLICIES
from bench.ranks import LOADS, play

SEEDS = (1, 2)
SITE = Path('three-ranks')
WORTH_MARGIN = 0.15  # by which a less urgent kind may earn a larger share of its worth
SERVED_MARGIN = 0.05  # by which a less urgent kind may be served more often


@cache
def days(policy, load):
    return [play((SITE, policy, load, seed)) for seed in SEEDS]


def kind_means(policy, load, figure):
    """Returns the mean of a figure of each kind, the most urgent first."""
    kinds = days(policy, load)[0].kinds
    return [
        fmean(getattr(day.kinds[kind], figure) for day in days(policy, load)) for kind in kinds
    ]


@pytest.mark.parametrize('load', LOADS)
def test_more_urgent_kinds_are_served_at_least_as_well_and_none_starves(load):
    for figure, margin in (('answered', SERVED_MARGIN), ('worth', WORTH_MARGIN / 3)):
        first, second, third = kind_means('product', load, figure)
        assert first > second - margin
        assert second > third - margin
    answered = kind_means('product', load, 'answered')
    assert min(answered) > fmean(answered) / 3
    large = kind_means('product', load, 'large_answered')
    assert all(each > all_sizes / 2 for each, all_sizes in zip(large, answered, strict=True))


@pytest.mark.parametrize('load', LOADS)
def test_more_worth_is_earned_than_with_one_rank_and_never_more_than_the_bound(load):
    gained = fmean(day.worth for day in days('product', load))
    assert gained > fmean(day.worth for day in days('one-rank', load)) + 0.08
    assert all(day.worth <= day.bound for day in days('product', load))


def test_entries_that_are_cut_off_or_restart_together_keep_the_order():
    """A half of the entries loses its data, and a third of them hears nothing of the others."""
    changes = [
        ScheduledChange(at_seconds=2, kind='cut', zone='c', count=4),
        ScheduledChange(at_seconds=9, kind='restart', zone='a', count=4),
        ScheduledChange(at_seconds=9, kind='restart', zone='b', count=2),
    ]
    update = {'steps': [(0, 1.6)], 'changes': changes}
    deployment = read_deployment(SITE).model_copy(update=update)
    requests = DaySimulation(deployment, POLICIES['product'], 1).run()
    served = {
        kind.rank: fmean(request.answered for request in requests if request.kind == kind)
        for kind in deployment.kinds
    }
    assert served[0] > served[1] - SERVED_MARGIN
    assert served[1] > served[2] - SERVED_MARGIN
    assert served[2] > fmean(served.values()) / 3


def test_on_a_site_of_one_rank_every_request_gets_the_same_as_without_ranks():
    deployment = read_deployment(Path('queue-overload')).model_copy(update={'length_seconds': 14})
    first, second = (
        [
            (request.attempts, request.first_seconds, request.earned_worth)
            for request in DaySimulation(deployment, POLICIES[name], 1).run()
        ]
        for name in ('product', 'one-rank')
    )
    assert first == second
