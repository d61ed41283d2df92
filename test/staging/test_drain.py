"""An engine stops accepting calls while its last pieces arrive, so that it can load at once."""

import math

import pytest
from returns.result import Failure
from twisted.internet.task import deferLater

from jackdawsail.staging.drain import DRAIN_SECONDS, MAX_AHEAD_SECONDS, DrainAhead, StagingPace
from test.staging.test_changeover import PIECES, Source, World

PIECE_SECONDS = 0.4
HALF_DRAIN_SECONDS = DRAIN_SECONDS / 2


class SlowSource(Source):
    """Delivers one piece each PIECE_SECONDS; once ``stops_after`` is reached it fails them late."""

    def __init__(self, clock):
        super().__init__()
        self.clock = clock
        self.stops_after = math.inf
        self.fail_seconds = 60

    async def fetch_piece(self, pieces, index):
        if len(self.fetched) >= self.stops_after:
            await deferLater(self.clock, self.fail_seconds, lambda: None)
            return Failure('silent')
        await deferLater(self.clock, PIECE_SECONDS, lambda: None)
        return await super().fetch_piece(pieces, index)


def staging_world(*, is_second_half=False):
    """Returns an agent of an engine on version 1 with version 2 announced."""
    own, other = ('10.0.0.2', '10.0.0.1') if is_second_half else ('10.0.0.1', '10.0.0.2')
    world = World(loaded=1, address=own, others=[other])
    world.source = world.changeover.fetcher = SlowSource(world.clock)
    world.announce_weights(2)
    return world


def advance_to_piece(world, count):
    """Lets the clock run until so many pieces have arrived."""
    while len(world.source.fetched) < count:
        world.report(0.1)


def test_engine_drains_while_its_last_pieces_arrive():
    world = staging_world()
    last_pieces = int(DRAIN_SECONDS / PIECE_SECONDS)
    advance_to_piece(world, PIECES - last_pieces - 1)
    assert not world.changeover.switching
    advance_to_piece(world, PIECES - last_pieces)
    assert world.changeover.switching
    assert world.engine.loaded == 1
    advance_to_piece(world, PIECES)
    assert world.engine.loaded == 2


def test_engine_of_the_second_half_does_not_drain_while_old_weights_are_used():
    world = staging_world(is_second_half=True)
    advance_to_piece(world, PIECES)
    assert not world.changeover.switching


def test_engine_serves_again_if_its_last_pieces_do_not_arrive():
    world = staging_world()
    world.source.stops_after = PIECES - 1
    advance_to_piece(world, PIECES - 1)
    assert world.changeover.switching
    world.report(MAX_AHEAD_SECONDS)
    assert not world.changeover.switching


def test_engine_serves_again_when_its_last_pieces_cannot_be_fetched():
    world = staging_world()
    world.source.stops_after = PIECES - 1
    world.source.fail_seconds = 0.1
    advance_to_piece(world, PIECES - 1)
    assert world.changeover.switching
    world.report(0.2)
    assert not world.changeover.switching


def test_pace_predicts_when_the_missing_pieces_have_arrived():
    pace = StagingPace(started_seconds=10)
    assert pace.remaining_seconds(missing=10, now_seconds=12) == math.inf
    pace.arrived = 20
    assert pace.remaining_seconds(missing=10, now_seconds=12) == pytest.approx(1)


def test_a_version_is_drained_for_only_once():
    drain = DrainAhead()
    drain.update(2, HALF_DRAIN_SECONDS, now_seconds=10)
    assert drain.is_active(10)
    drain.end()
    drain.update(2, HALF_DRAIN_SECONDS, now_seconds=11)
    assert not drain.is_active(11)
    drain.update(3, HALF_DRAIN_SECONDS, now_seconds=12)
    assert drain.is_active(12)


def test_engine_serves_a_version_that_was_finished_while_the_next_one_is_staged():
    world = staging_world()
    advance_to_piece(world, PIECES - 1)
    world.announce_weights(3)
    while world.engine.loaded == 1 and world.clock.seconds() < 120:
        world.report(0.1)
    assert world.engine.loaded == 2
    world.report(0.1)
    world.report(1.2)
    assert world.engine.loaded == 2
    assert not world.changeover.switching
