"""Placement of calls of different sizes at engines of different speeds."""

import random
from dataclasses import replace
from pathlib import Path
from statistics import fmean

from hypothesis import given
from hypothesis import strategies as st

from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import read_deployment
from bench.emulator.figures import day_figures
from bench.emulator.policies import POLICIES, choose_by_queues
from jackdawsail.routing.placement import Choice, PlacedCall, Refusal, choose_engine
from jackdawsail.routing.sizes import CallSize, EngineState, SentSizes, fits_memory, size_of
from jackdawsail.routing.upstreams import ReceivedLoad
from test.routing.test_placement import NOW, make_upstream
from test.site.documents import ENGINE

USUAL = size_of(0, 0, 0, ENGINE)
LARGE = size_of(3880, 400, 0, ENGINE)
CALL = PlacedCall(0.4, 'r', size=USUAL, longest_pause_seconds=0.3)
TOKENS = st.integers(0, 10**9)


def make_engine(number, running=2, pace=1.0, memory_share=0.0):
    upstream = make_upstream(number, running=running)
    load = replace(upstream.last_report.load, pace=pace, memory_share=memory_share)
    upstream.last_report = ReceivedLoad(load, NOW)
    return upstream


def choose(candidates, call=CALL, engine=ENGINE, seed=1):
    return choose_engine(call, engine, candidates, NOW, random.Random(seed))


@given(TOKENS, TOKENS, TOKENS)
def test_a_false_token_count_is_bounded(prompt, most_answer, likely):
    size = size_of(prompt, most_answer, likely, ENGINE)
    assert ENGINE.usual_prompt_tokens / 4 <= size.prompt_tokens <= ENGINE.memory_tokens
    assert 0 < size.answer_tokens <= ENGINE.memory_tokens


def test_a_slow_engine_gets_no_call_while_a_fuller_one_starts_it_earlier():
    slow, fuller = make_engine(1, running=2, pace=2.5), make_engine(2, running=8)
    assert choose([slow, fuller]).upstream is fuller
    assert choose([slow, fuller], replace(CALL, size=None)).upstream is slow


def test_an_engine_that_is_slow_but_in_time_serves_when_the_others_are_full():
    slow, full = make_engine(1, running=2, pace=2.5), make_engine(2, running=40)
    assert choose([slow, full]).upstream is slow


def test_a_call_too_large_to_be_in_time_takes_only_room_to_spare():
    call = replace(CALL, size=LARGE)
    busy, idle = make_engine(1, running=13, pace=4.0), make_engine(2, running=3, pace=4.0)
    assert isinstance(choose([busy], call), Refusal)
    assert choose([busy, idle], call).upstream is idle
    assert choose([busy], replace(call, is_begun=True)).upstream is busy


def test_a_long_prompt_goes_where_it_makes_no_pause():
    slow = [make_engine(number, pace=1.3) for number in (1, 2)]
    slow[0].sent_sizes.record(LARGE, NOW + 0.01)
    call = replace(CALL, size=LARGE)
    assert {choose(slow, call, seed=seed).upstream.name for seed in range(20)} == {'i-2'}


@given(
    st.lists(st.tuples(st.integers(0, 20), st.booleans()), min_size=1, max_size=6),
    st.integers(1, 4000),
    st.integers(0, 2**32),
)
def test_engines_of_the_usual_pace_are_chosen_as_without_sizes(engines, prompt, seed):
    candidates = [
        make_engine(number, running, pace=1.2 if is_noisy else 1.0)
        for number, (running, is_noisy) in enumerate(engines)
    ]
    call = replace(CALL, size=size_of(prompt, 0, 0, ENGINE))
    before = choose_by_queues(call, ENGINE, candidates, NOW, random.Random(seed))
    assert choose(candidates, call, seed=seed) == before


@given(st.lists(TOKENS, max_size=40), st.integers(0, 12), st.floats(0, 1), st.integers(1, 40))
def test_what_is_sent_between_reports_never_exceeds_the_memory(prompts, running, share, entries):
    engine = replace(ENGINE, memory_tokens=20_000, usual_prompt_tokens=500)
    sent = SentSizes()
    taken: list[CallSize] = []
    for prompt in prompts:
        size = size_of(prompt, 200, 0, engine)
        state = EngineState(1.0, running, 12, share, tuple(sent.since(NOW)), entries)
        if fits_memory(size, engine, state):
            sent.record(size, NOW + 0.01)
            taken.append(size)
    held = share * engine.memory_tokens
    assert not taken or held + sum(size.held_tokens for size in taken) <= engine.memory_tokens


def test_a_call_that_an_engine_cannot_hold_goes_to_another():
    engine = replace(ENGINE, memory_tokens=20_000)
    held, free = make_engine(1, running=1, memory_share=0.95), make_engine(2, running=9)
    assert choose([held, free], engine=engine).upstream is free
    assert isinstance(choose([held], engine=engine), Refusal)


def test_an_engine_without_a_recent_report_is_judged_by_its_queue_alone():
    silent = make_upstream(1)
    assert isinstance(choose([silent], replace(CALL, size=LARGE)), Choice)


def test_callers_at_uneven_engines_are_served_in_time_more_often():
    whole = read_deployment(Path('uneven-engines'))
    steps = [(at_seconds, 0.8 * factor) for at_seconds, factor in whole.steps]
    day = whole.model_copy(update={'length_seconds': 20.0, 'steps': steps})
    in_time = {
        name: fmean(
            day_figures(DaySimulation(day, POLICIES[name], seed).run(), 0).in_time
            for seed in range(1, 7)
        )
        for name in ('product', 'queues-only')
    }
    assert in_time['product'] > in_time['queues-only']
