"""Engines that stand still for a time and go on, in the emulator with the product's decisions."""

import math
from pathlib import Path

import pytest

from bench.emulator.day_simulation import DaySimulation
from bench.emulator.deployment import ScheduledChange, read_deployment
from bench.emulator.engine import EmulatedEngine, EngineStream
from bench.emulator.policies import POLICIES
from bench.emulator.simulation import Simulation
from bench.silence import WAKING_ORDERS, find_late_calls, play

SEEDS = {'rising-load': (2, 10), 'queue-overload': (2,)}
MODEL = read_deployment(Path('rising-load')).engine


@pytest.mark.parametrize('waking_order', WAKING_ORDERS)
@pytest.mark.parametrize('site', SEEDS)
def test_no_call_begins_on_old_weights_after_the_limit_while_engines_fall_silent(
    site, waking_order
):
    late = [
        (seed, call)
        for seed in SEEDS[site]
        for call in find_late_calls(play(Path(site), waking_order, seed))
    ]
    assert late == []


def test_a_day_without_silence_has_no_call_on_old_weights_after_the_limit():
    day = DaySimulation(read_deployment(Path('rising-load')), POLICIES['product'], seed=2)
    day.run()
    assert list(find_late_calls(day)) == []


class OneEngine:
    """An engine on version 1 with its simulation; ``ended`` and ``refused`` list what it answered."""

    def __init__(self, slots=16):
        self.simulation = Simulation()
        model = MODEL.model_copy(update={'places': slots})
        self.engine = EmulatedEngine(self.simulation, model, 'i-0', 'a', 'ra')
        self.ended = []
        self.refused = []

    def send(self, tokens=6, expected_version=0):
        stream = EngineStream(
            prompt_tokens=300,
            answer_tokens=tokens,
            rank=3,
            on_event=lambda events: None,
            on_end=lambda complete: self.ended.append(self.simulation.seconds()),
            on_refused=self.refused.append,
            expected_version=expected_version,
        )
        self.engine.receive(stream)
        return stream

    def fall_silent(self, for_seconds, reads_first=False):
        self.engine.fall_silent(for_seconds, reads_first=reads_first)


def test_a_silence_delays_all_that_the_engine_does_by_its_length():
    calm, silent = OneEngine(), OneEngine()
    for each in (calm, silent):
        each.send(tokens=60)
        each.simulation.run(0.1)
    silent.fall_silent(1.5)
    for each in (calm, silent):
        each.simulation.run(5)
    assert silent.ended == pytest.approx([calm.ended[0] + 1.5])


def test_the_first_token_of_a_pass_that_a_silence_interrupts_comes_after_it():
    site = OneEngine()
    stream = site.send()
    due_seconds = stream.first_token_seconds
    site.simulation.run(due_seconds / 2)
    site.fall_silent(1)
    site.simulation.run(5)
    assert stream.first_token_seconds == pytest.approx(due_seconds + 1)


def test_an_engine_that_starts_its_queue_first_begins_a_call_that_was_cancelled_meanwhile():
    site = OneEngine(slots=1)
    site.send(tokens=1)
    waiting = site.send()
    site.simulation.run(0.01)
    site.fall_silent(1)
    site.engine.cancel(waiting)
    site.simulation.run(5)
    assert 1 < waiting.started_seconds < 1.2
    assert 1 < waiting.first_token_seconds < 1.2


def test_an_engine_that_reads_first_does_not_begin_a_waiting_call_that_was_cancelled_meanwhile():
    site = OneEngine(slots=1)
    site.send(tokens=1)
    waiting = site.send()
    site.simulation.run(0.01)
    site.fall_silent(1, reads_first=True)
    site.engine.cancel(waiting)
    site.simulation.run(5)
    assert waiting.started_seconds == math.inf


@pytest.mark.parametrize(('reads_first', 'began'), [(True, True), (False, False)])
def test_an_engine_that_reads_first_begins_a_call_before_it_reads_the_cancellation_behind_it(
    reads_first, began
):
    site = OneEngine()
    site.fall_silent(1, reads_first=reads_first)
    unread = site.send(tokens=60)
    site.simulation.run(0.5)
    site.engine.cancel(unread)
    site.simulation.run(5)
    assert (unread.first_token_seconds < math.inf) is began
    assert site.ended == []


def test_an_order_to_load_weights_waits_unread_behind_the_calls_before_it():
    site = OneEngine()
    site.fall_silent(1)
    before = site.send()
    site.engine.start_changeover(2)
    site.send()
    site.simulation.run(5)
    assert before.version == 1
    assert site.refused == [False]
    assert site.engine.version == 2


def test_an_engine_refuses_a_call_that_expects_another_version_as_not_run():
    site = OneEngine()
    site.send(expected_version=2)
    site.send(expected_version=1)
    site.simulation.run(5)
    assert site.refused == [True]
    assert [stream.version for stream in site.engine.started] == [1]


def test_a_silent_engine_sends_no_reports_and_stays_registered():
    deployment = read_deployment(Path('rising-load')).model_copy(
        update={
            'length_seconds': 4.0,
            'changes': [
                ScheduledChange(at_seconds=10, kind='silence', zone='c', count=1, for_seconds=3)
            ],
        }
    )
    day = DaySimulation(deployment, POLICIES['product'], seed=1)
    day.run()
    silent = next(engine for engine in day.engines if engine.zone == 'c')
    assert silent.is_silent
    upstream = day.entries[0].context.upstreams.get(silent.name)
    assert 9.9 < upstream.last_report.received_seconds < 10.1
    service = upstream.registration.service
    usable = day.entries[0].context.upstreams.usable(service, day.simulation.seconds())
    assert upstream in list(usable)
