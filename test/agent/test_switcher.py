"""The switcher dispatches no work between two releases, whatever the engine does."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jackdawsail.agent.engine_admin import EngineState
from jackdawsail.agent.switcher import (
    ATTEMPTS_BEFORE_REPORT,
    FENCELESS_WAIT_SECONDS,
    Authority,
    CloseGate,
    Load,
    OpenGate,
    Phase,
    ReadyRelease,
    RequestPermit,
    Switcher,
)

LIVE = Authority(is_live=True, fence=7)
NEW = ReadyRelease('new', '/model', 'd')
BOTH = frozenset({'old', 'new'})


def loaded(release, generation=1):
    return EngineState(generation=generation, release=release, loaded=True)


EMPTY = EngineState(generation=1)


@pytest.fixture
def serving_old():
    switcher = Switcher(checks_fence=True, now=0)
    switcher.set_target(None, BOTH)
    switcher.record_engine_state(loaded('old'))
    assert switcher.step(LIVE, 0) == [OpenGate('old')]
    switcher.set_target(NEW, BOTH)
    return switcher


def test_switch_waits_for_permit_running_work_and_confirmation(serving_old):
    switcher = serving_old
    assert switcher.step(LIVE, 1) == [RequestPermit('new')]
    switcher.record_permit('new', 20)
    assert switcher.step(LIVE, 2) == [CloseGate('release changes')]
    assert switcher.step(LIVE, 3) == []
    switcher.gate_closed()
    (load,) = switcher.step(LIVE, 4)
    assert (load.order.release, load.order.fence) == ('new', 7)
    assert switcher.step(LIVE, 5) == []
    switcher.load_ended(load.attempt, '', 6)
    assert switcher.step(LIVE, 6) == []
    switcher.record_engine_state(loaded('new'))
    assert switcher.step(LIVE, 7) == [OpenGate('new')]


def test_expired_permit_or_permit_for_another_release_has_no_effect(serving_old):
    serving_old.record_permit('new', 2)
    assert serving_old.step(LIVE, 3) == [RequestPermit('new')]
    serving_old.record_permit('other', 20)
    assert not any(isinstance(each, CloseGate) for each in serving_old.step(LIVE, 5))


def test_engine_restart_closes_the_gate_and_the_engine_is_loaded_without_permit(serving_old):
    serving_old.record_engine_state(EngineState(generation=2))
    (close,) = serving_old.step(LIVE, 1)
    assert isinstance(close, CloseGate)
    serving_old.gate_closed()
    (load,) = serving_old.step(LIVE, 2)
    assert load.order.release == 'new'


def test_engine_that_restarts_between_load_and_confirmation_is_loaded_again():
    switcher = Switcher(checks_fence=True, now=0)
    switcher.set_target(NEW, BOTH)
    switcher.record_engine_state(EMPTY)
    (load,) = switcher.step(LIVE, 0)
    switcher.load_ended(load.attempt, '', 1)
    switcher.record_engine_state(EngineState(generation=2))
    assert switcher.step(LIVE, 1) == []
    assert isinstance(switcher.step(LIVE, 5)[0], Load)


def test_failing_loads_back_off_and_are_reported():
    switcher = Switcher(checks_fence=True, now=0)
    switcher.set_target(NEW, BOTH)
    switcher.record_engine_state(EMPTY)
    now, loads = 0, 0
    while not switcher.problem:
        effects = switcher.step(LIVE, now)
        for effect in effects:
            loads += 1
            switcher.load_ended(effect.attempt, 'no memory', now)
        now += 0.1
    assert loads == ATTEMPTS_BEFORE_REPORT
    assert now > 1.4
    assert switcher.problem == 'no memory'


def test_no_load_order_without_lease_and_engine_without_fences_waits_for_one_lease():
    switcher = Switcher(checks_fence=False, now=0)
    switcher.set_target(NEW, BOTH)
    switcher.record_engine_state(EMPTY)
    assert switcher.step(LIVE, FENCELESS_WAIT_SECONDS - 0.1) == []
    assert switcher.step(Authority(is_live=False, fence=7), 10) == []
    assert isinstance(switcher.step(LIVE, 11)[0], Load)


class SwitcherMachine(RuleBasedStateMachine):
    """Drives the switcher with an engine that loads, fails and restarts at any moment."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.generation, self.release = 1, 'old'
        self.gate = ''
        self.running_load = None
        self.switcher = Switcher(checks_fence=True, now=0)
        self.switcher.set_target(NEW, BOTH)

    @rule()
    def poll(self):
        state = EngineState(
            generation=self.generation, release=self.release, loaded=bool(self.release)
        )
        self.switcher.record_engine_state(state)
        self.step()

    @rule(seconds=st.sampled_from([0.1, 1, 5]))
    def wait(self, seconds):
        self.now += seconds
        self.step()

    @rule()
    def record_permit(self):
        self.switcher.record_permit('new', self.now + 10)

    @rule()
    def restart(self):
        self.generation += 1
        self.release = ''

    @rule()
    def drain(self):
        self.switcher.gate_closed()

    @rule(fault=st.sampled_from(['', 'failed']))
    def end_load(self, fault):
        if self.running_load is None:
            return
        if not fault:
            self.release = self.running_load.order.release
        self.switcher.load_ended(self.running_load.attempt, fault, self.now)
        self.running_load = None

    def step(self):
        for effect in self.switcher.step(LIVE, self.now):
            if isinstance(effect, CloseGate):
                self.gate = ''
            elif isinstance(effect, OpenGate):
                assert self.running_load is None
                self.gate = effect.release
            elif isinstance(effect, Load):
                assert not self.gate, 'loaded under an open gate'
                self.running_load = effect

    @invariant()
    def gate_is_open_only_while_serving(self):
        assert bool(self.gate) is (self.switcher.phase is Phase.serving)

    def teardown(self):
        for _ in range(60):
            self.end_load('')
            self.record_permit()
            self.poll()
            self.drain()
            self.wait(1)
        assert self.gate == 'new'


TestSwitcher = SwitcherMachine.TestCase
TestSwitcher.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=30, deadline=None
)
