"""Streams with much left move off engines that change over, spread over time."""

import random

import pytest

from jackdawsail.routing.moving import MOVES_PER_SECOND, MoveShare, should_move


@pytest.mark.parametrize(
    ('forwarded', 'likely', 'moves'),
    [
        (0, 20, True),
        (4, 20, True),
        (18, 20, False),
        (20, 20, False),
        (25, 20, True),
        (0, 2, False),
    ],
)
def test_a_stream_moves_only_if_it_has_much_left(forwarded, likely, moves):
    assert should_move(forwarded, likely) is moves


@pytest.mark.parametrize('entries', [1, 7, 33])
def test_all_entries_together_respect_the_move_rate_of_each_engine(entries):
    engines, span_seconds = 5, 10.0
    shares = [MoveShare() for _ in range(entries)]
    rng = random.Random(1)
    times = sorted(rng.uniform(0, span_seconds) for _ in range(20_000))
    moves = sum(rng.choice(shares).take(entries, engines, time) for time in times)
    assert moves <= MOVES_PER_SECOND * engines * span_seconds + entries
    assert moves > MOVES_PER_SECOND * engines * span_seconds / 2


def test_without_a_known_engine_or_entry_the_share_is_still_bounded():
    share = MoveShare()
    assert share.take(0, 0, 1.0)
    assert not share.take(0, 0, 1.0)
