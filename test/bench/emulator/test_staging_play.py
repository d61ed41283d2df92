"""New weights reach the engines of large sites in the time of one copy over their own links."""

import pytest

from bench.emulator.staging_play import SCENARIOS, StagingPlay

NAMES = {scenario.name: scenario for scenario in SCENARIOS}
BOUND_RATIO = 1.25


@pytest.mark.parametrize('name', ['9 x 6', '27 x 46', '27 x 46, two versions', '97 x 54'])
def test_new_weights_do_not_wait_for_the_link_of_a_single_entry(name):
    figures = StagingPlay(NAMES[name]).run()
    assert figures.staged_seconds[-1] <= BOUND_RATIO * figures.bound_seconds
    assert figures.border_copies <= 1.05
    assert figures.origin_copies <= 1.05


@pytest.mark.parametrize('name', ['27 x 46, a relay lost', '97 x 54, a relay lost'])
def test_new_weights_arrive_in_time_though_a_relay_loses_power(name):
    scenario = NAMES[name]
    assert StagingPlay(scenario).run().staged_seconds[-1] <= scenario.within_seconds
