"""No call runs on weights that the engine took from pieces which had been bad for over 3 s.

The agent stands still for any time at any step between the first read and the answer to the
order, and pieces turn bad at the beginning of that pause.
"""

import pytest
from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawsail.http1.fetch import NOT_SENT, TOO_LATE, FetchLimits, fetch
from jackdawsail.http1.messages import make_request
from jackdawsail.registry.registration import ModelVersion
from jackdawsail.staging import changeover as changeover_module
from jackdawsail.staging.engine import EngineReport
from jackdawsail.staging.engine_calls import CALL_LIMITS, OrderFailure
from test.staging.test_changeover import PIECES, Engine, World, piece

EXCUSED_SECONDS = 3.0
STEPS = ['before reading', *range(PIECES), 'before the order', 'at the order', 'at the answer']


class PausingEngine(Engine):
    """Stops the agent once at ``pause_at``, while the pieces in ``turns_bad`` turn bad."""

    def __init__(self, clock, pause_at, pause_seconds, turns_bad):
        super().__init__(version=1)
        self.clock = clock
        self.pause_at, self.pause_seconds, self.turns_bad = pause_at, pause_seconds, turns_bad
        self.bad_since = {}
        self.taken_bad_seconds = 0.0
        self.loses_answer = False
        self.born = 1
        self.accepted_orders = 3

    def pause(self, step):
        if step != self.pause_at or len(self.staged) < PIECES:
            return
        self.pause_at = None
        for index in self.turns_bad:
            self.staged[index] = b'corrupt'
            self.bad_since[index] = self.clock.seconds()
        self.clock.advance(self.pause_seconds)

    async def write_piece(self, model, index, body):
        self.bad_since.pop(index, None)
        return await super().write_piece(model, index, body)

    async def read_piece(self, model, index):
        if index == 0:
            self.pause('before reading')
        outcome = await super().read_piece(model, index)
        self.pause(index)
        return outcome

    async def order_load(self, order, send_by_seconds):
        self.pause('before the order')
        if self.clock.seconds() > send_by_seconds:
            return Failure(OrderFailure(TOO_LATE, maybe_accepted=False))
        self.pause('at the order')
        await super().order_load(order, send_by_seconds)
        now_seconds = self.clock.seconds()
        ages_seconds = [now_seconds - since for since in self.bad_since.values()]
        self.taken_bad_seconds = max(ages_seconds, default=0.0)
        self.pause('at the answer')
        if self.loses_answer:
            return Failure(OrderFailure('silent for 1.0 s', maybe_accepted=True))
        return Success(None)

    def report(self):
        models = (ModelVersion('m', self.loaded),) if self.loaded else ()
        layers = 16 if self.loaded else 0
        return EngineReport(models, layers, False, self.accepted_orders, 0, 2, 0, 1.0, self.born)


def pausing_world(pause_at, pause_seconds=4.0, turns_bad=(0, 4)):
    world = World(loaded=1)
    world.engine = PausingEngine(world.clock, pause_at, pause_seconds, turns_bad)
    world.changeover.calls = world.changeover.check.calls = world.engine
    world.announce_weights(2)
    return world


def serves_new_weights(world):
    return world.engine.loaded >= 2 and not world.changeover.switching


# An agent that froze while it verified had the engine load pieces that were bad for 4 s.
@pytest.mark.parametrize('pause_seconds', [0.2, 1.6, 2.9, 3.1, 4.0, 60.0])
@pytest.mark.parametrize('step', STEPS)
def test_engine_serves_no_weights_that_were_bad_too_long_after_a_pause_at_any_step(
    step, pause_seconds
):
    world = pausing_world(step, pause_seconds)
    for _ in range(8):
        world.report(1.1)
        if serves_new_weights(world):
            assert world.engine.taken_bad_seconds <= EXCUSED_SECONDS
    assert world.engine.pause_at is None
    # Pieces that turned bad at the order, or until a late answer, leave open what was taken.
    is_open = step == 'at the order' or (step == 'at the answer' and pause_seconds > 3.0)
    assert is_open or serves_new_weights(world)


@pytest.mark.parametrize('step', STEPS)
def test_engine_serves_whole_weights_after_a_pause_at_any_step(step):
    world = pausing_world(step, turns_bad=())
    for _ in range(4):
        world.report(1.1)
    assert serves_new_weights(world)
    assert world.engine.staged == {index: piece(2, index) for index in range(PIECES)}


def test_engine_whose_answer_was_lost_serves_once_its_pieces_are_read_back():
    world = pausing_world(None)
    world.engine.loses_answer = True
    world.report()
    assert world.engine.loaded == 2
    assert world.changeover.switching
    world.report()
    assert world.engine.read_back[-PIECES:] == list(range(PIECES))
    world.report(0.03)
    assert not world.changeover.switching


def test_engine_that_may_have_loaded_bad_pieces_serves_again_with_newer_weights(monkeypatch):
    written = []
    monkeypatch.setattr(
        changeover_module.events, 'log', lambda event, **details: written.append(event.number)
    )
    world = pausing_world('at the order')
    for _ in range(5):
        world.report()
    assert world.changeover.switching
    assert written.count(changeover_module.LOAD_UNCONFIRMED.number) == 1
    world.announce_weights(3)
    world.report()
    assert world.engine.loaded == 3
    world.report()
    assert not world.changeover.switching


def test_engine_that_was_started_again_is_not_held_to_what_it_had_loaded_before():
    world = pausing_world('at the order')
    world.report()
    world.report()
    assert world.changeover.switching
    world.engine.loaded, world.engine.born = 0, 2
    for _ in range(3):
        world.report()
    assert world.engine.loaded == 2
    assert not world.changeover.switching


# An engine whose reports name no time of birth is known to have started by its count of orders.
def test_engine_that_names_no_birth_and_was_started_again_is_not_held_to_what_it_had_loaded():
    world = pausing_world('at the order')
    world.engine.born = 0
    world.report()
    world.report()
    assert world.changeover.switching
    world.engine.loaded = 0
    world.engine.accepted_orders = 0
    for _ in range(3):
        world.report()
    assert world.engine.loaded == 2
    assert not world.changeover.switching


def test_pieces_that_were_staged_since_an_order_do_not_confirm_it():
    world = pausing_world(None)
    world.engine.loses_answer = True
    world.report()
    world.changeover.check.piece_staged()
    world.report()
    assert world.changeover.switching


class WaitingPool:
    """A pool whose connection opens when the test says so."""

    def __init__(self):
        self.clock = Clock()
        self.released = []
        self.opened = Deferred()

    def acquire(self, _address, on_opened):
        self.opened.addCallback(on_opened)

    def release(self, channel):
        self.released.append(channel)


def test_request_whose_connection_opens_too_late_is_not_sent():
    pool = WaitingPool()
    limits = FetchLimits(silent_seconds=5.0, total_seconds=5.0, send_by_seconds=1.0)
    outcomes = []
    fetch(pool, '10.0.0.1:1', make_request(b'POST', 'h', b'/'), limits).addCallback(
        outcomes.append
    )
    pool.clock.advance(1.1)
    pool.opened.callback('channel')
    assert outcomes == [Failure(TOO_LATE)]
    assert outcomes[0].failure() in NOT_SENT
    assert pool.released == ['channel']


class Channel:
    """A channel to an engine that answers when the test says so."""

    def __init__(self):
        self.reader = None
        self.cancelled = False

    def send(self, _request, reader):
        self.reader = reader

    def cancel(self):
        self.cancelled = True


# Timers run before sockets are read, so an answer that arrived during the pause comes too late.
def test_report_that_was_asked_for_before_a_pause_is_not_passed_on():
    pool, channel, outcomes = WaitingPool(), Channel(), []
    fetch(pool, '10.0.0.1:1', make_request(b'GET', 'h', b'/'), CALL_LIMITS).addCallback(
        outcomes.append
    )
    pool.opened.callback(channel)
    pool.clock.advance(4.0)
    assert isinstance(outcomes[0], Failure)
    channel.reader.answer_complete()
    assert len(outcomes) == 1
    assert channel.cancelled
