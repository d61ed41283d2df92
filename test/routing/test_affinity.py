"""A prefix that an engine may hold is worth its reading time, and yields to waits and full engines."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.routing import affinity
from jackdawsail.routing.affinity import (
    HELD_HALF_LIFE_SECONDS,
    Hint,
    PrefixAffinity,
    PrefixEngine,
    PrefixMark,
    PrefixRun,
    expected_saving_seconds,
    make_marks,
    weigh_hint,
)
from jackdawsail.routing.prefix_evidence import MIN_CALLS, PrefixEvidence
from jackdawsail.routing.read_speed import ReadSpeed

RUN = PrefixRun('a', 'r1/1', 0)
HELD = PrefixEngine('a', 'r1/1', 0.2, 0, 5_000, 0.0)
OTHER = PrefixEngine('b', 'r1/1', 0.1, 0, 5_000, 0.0)
LONG, SHORT = Hint(RUN, 1_000), Hint(RUN, 40)


@pytest.mark.parametrize(
    ('hint', 'changes', 'result'),
    [
        (LONG, {}, 'used'),
        (LONG, {'wait_seconds': 0.19}, 'used'),
        (LONG, {'wait_seconds': 0.21}, 'wait'),
        (SHORT, {'wait_seconds': 0.01}, 'wait'),
        (LONG, {'busy_share': 0.9}, 'used'),
        (SHORT, {'busy_share': 0.9}, 'wait'),
        (LONG, {'busy_share': 1.0}, 'full'),
        (LONG, {'memory_share': 1.0}, 'wait'),
        (LONG, {'generation': 'r2/1'}, 'restarted'),
        (LONG, {'name': 'c'}, 'gone'),
    ],
)
def test_hint_is_used_if_it_saves_more_than_it_costs(hint, changes, result):
    assert weigh_hint(hint, [replace(HELD, **changes), OTHER], 0) == result


@pytest.mark.parametrize(('tokens_per_second', 'saved_ms'), [(20_700, 1.93), (31_900, 1.25)])
def test_forty_tokens_save_less_than_two_milliseconds(tokens_per_second, saved_ms):
    engine = replace(HELD, read_tokens_per_second=tokens_per_second)
    assert expected_saving_seconds(SHORT, engine, 0) * 1000 == pytest.approx(saved_ms, abs=0.01)


def test_saving_halves_with_the_half_life_and_ends_with_another_generation():
    fresh = expected_saving_seconds(LONG, HELD, 0)
    assert expected_saving_seconds(LONG, HELD, HELD_HALF_LIFE_SECONDS) == pytest.approx(
        fresh / 2, rel=1e-4
    )
    assert expected_saving_seconds(LONG, replace(HELD, generation='r1/2'), 0) == 0


@given(st.floats(0, 1e4), st.floats(0, 2), st.floats(0, 2), st.floats(0, 1e5))
def test_longer_wait_or_fuller_memory_never_makes_a_hint_better(age, wait, memory, tokens):
    hint = Hint(RUN, tokens)
    worse = replace(HELD, wait_seconds=wait, memory_share=memory)
    if weigh_hint(hint, [worse, OTHER], age) == 'used':
        assert weigh_hint(hint, [HELD, OTHER], age) == 'used'


def test_longest_shared_prefix_is_found_and_old_ones_are_forgotten(monkeypatch):
    monkeypatch.setattr(affinity, 'MAX_PREFIXES', 4)
    prefixes = PrefixAffinity()
    prompt = 'x' * 5000
    prefixes.record_run('s', make_marks(prompt), RUN)
    assert prefixes.find('s', make_marks(prompt)) == Hint(RUN, 1024)
    assert prefixes.find('s', make_marks(prompt[:300] + 'y' * 1000)) == Hint(RUN, 64)
    assert prefixes.find('other', make_marks(prompt)) is None
    prefixes.record_run('s', [PrefixMark('one', 1)], RUN)
    assert prefixes.find('s', make_marks(prompt[:64])) is None


def test_shorter_prompts_have_one_mark():
    assert [mark.tokens for mark in make_marks('x' * 8)] == [2]
    assert len(make_marks('')) == 1


def record(evidence, recent_seconds, other_seconds, calls):
    for number in range(calls):
        noise_seconds = 0.01 * (number % 5)
        evidence.record(recent_seconds + noise_seconds, is_recent=True)
        evidence.record(other_seconds + noise_seconds, is_recent=False)


def test_evidence_needs_enough_calls_and_a_certain_difference():
    evidence = PrefixEvidence()
    record(evidence, 0.02, 0.06, MIN_CALLS - 1)
    assert evidence.saving_seconds == 0
    record(evidence, 0.02, 0.06, 50)
    assert evidence.saving_seconds == pytest.approx(0.04, rel=0.01)
    record(evidence, 0.05, 0.05, 500)
    assert evidence.saving_seconds == 0


@pytest.mark.parametrize('difference_seconds', [0, 0.0019, 0.004, -0.1])
def test_evidence_of_less_than_the_noise_is_none(difference_seconds):
    evidence = PrefixEvidence()
    record(evidence, 0.1, 0.1 + difference_seconds, 500)
    assert evidence.saving_seconds == 0


def test_read_speed_leaves_out_short_prompts():
    speed = ReadSpeed()
    speed.record(10, 0.1)
    assert speed.tokens_per_second == 0
    for _ in range(10):
        speed.record(1000, 0.2)
    assert speed.tokens_per_second == pytest.approx(5000)
