"""Streams with much left move off engines that change over, spread over time."""

import random

import pytest

from jackdawsail.routing.moving import MOVES_PER_SECOND, MoveShare, should_move
from jackdawsail.routing.shares import EntryShares
from test.routing.test_shares import make_shares


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


@pytest.mark.parametrize('entries', [1, 7, 20, 33])
def test_all_entries_together_respect_the_move_rate_of_each_engine_in_any_second(entries):
    engines, span_seconds = 5, 10.0
    parts = [(MoveShare('s'), shares) for shares in make_shares(entries)]
    rng = random.Random(1)
    times = sorted(rng.uniform(0, span_seconds) for _ in range(20_000))
    moves = []
    for time in times:
        share, shares = rng.choice(parts)
        if share.take(shares, engines, time):
            moves.append(time)
    assert max(sum(start <= time < start + 1 for time in moves) for start in moves) <= (
        MOVES_PER_SECOND * engines
    )
    assert len(moves) > MOVES_PER_SECOND * engines * span_seconds / 2


def test_without_a_known_engine_the_share_is_still_bounded():
    share = MoveShare('s')
    [shares] = make_shares(1)
    assert share.take(shares, 0, 1.0)
    assert not share.take(shares, 0, 1.0)


def test_an_entry_that_is_not_listed_moves_nothing():
    assert not MoveShare('s').take(EntryShares('10.9.9.9'), 5, 1.0)
