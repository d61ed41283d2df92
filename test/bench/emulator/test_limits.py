"""Engines that name a limit on their calls, in the emulator with the product's decisions."""

import pytest

from bench.limits import WINDOW_SECONDS, most_calls


@pytest.mark.parametrize('entries', [9, 48])
@pytest.mark.parametrize('limit', [0, 1, 1.6])
def test_a_limit_is_kept_while_an_entry_restarts_and_another_is_cut_off(entries, limit):
    assert (
        most_calls(entries, limit, seed=1, length_seconds=18) <= 1.5 * limit * WINDOW_SECONDS + 5
    )
