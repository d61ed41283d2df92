"""Engines that ask for rest or say that they leave, in the emulator with the product's decisions."""

import pytest

from bench.rest import after_leaving, most_in_rest, play

MAX_SENDS_IN_REST = 2


@pytest.mark.parametrize('rest_seconds', [0.8, 3.0])
def test_no_entry_sends_to_an_engine_that_rests_or_leaves(rest_seconds):
    day = play(rest_seconds, seed=1)
    assert any(head.rest for entry in day.entries for _seconds, _engine, head in entry.heads)
    assert most_in_rest(day) <= MAX_SENDS_IN_REST
    assert after_leaving(day) == 0
