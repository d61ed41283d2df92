"""Calls at the time limit for new weights, at engines that fall silent for up to 2 s.

A call takes up to 0.25 s until it begins, so none may be sent without the version that it expects
later than 2.25 s before the limit, and none that has not begun may wait 2 s before it.
"""

from dataclasses import replace

import pytest

from jackdawsail.site.node import NodeBounds
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    begin_at_changing_engine,
    begin_stream,
    event,
    sent_on,
    status_of,
)

WITHIN_SECONDS = 8.0  # from the announcement to the limit
LAST_RECALL_SECONDS = 2.0  # before the limit


def announce(world, limit_in_seconds):
    """Announces version 2 so that its limit is due in a time."""
    world.summarize(revision=2, weights=[('m', 2, WITHIN_SECONDS - limit_in_seconds)])


def advance(world, for_seconds):
    for _ in range(round(for_seconds / 0.1)):
        world.reactor.advance(0.1)


def call(world):
    return world.call('/stream/x', headers=STREAM_HEADERS, method='POST')


def assert_fails_when_recalled(world):
    """Asserts that a call which has not begun fails, though an engine has the new weights."""
    announce(world, limit_in_seconds=3.0)
    caller = call(world)
    old = world.accept()
    world.register(2, version=2)
    advance(world, 3.0 - LAST_RECALL_SECONDS)
    assert old.transport.aborted
    assert world.reactor.pending_connects == []
    assert status_of(caller) == 502


class TestCallNearTheLimit:
    """A call that an entry sends less than 2.25 s before the limit."""

    @pytest.mark.parametrize('limit_in_seconds', [2.2, 1.2])
    def test_is_not_sent_to_an_engine_on_old_weights(self, limit_in_seconds):
        world = World(2, MODEL_SERVICE)
        announce(world, limit_in_seconds)
        caller = call(world)
        assert world.reactor.pending_connects == []
        assert status_of(caller) == 503

    @pytest.mark.parametrize('limit_in_seconds', [2.2, 1.2])
    def test_names_the_version_that_it_expects(self, limit_in_seconds):
        world = World(1, MODEL_SERVICE)
        world.register(1, version=2, sequence=2)
        announce(world, limit_in_seconds)
        call(world)
        assert b'Expect-Version: 2' in sent_on(world.accept())

    def test_names_the_newer_version_that_its_engine_holds(self):
        world = World(1, MODEL_SERVICE)
        world.register(1, version=3, sequence=2)
        world.summarize(revision=2, weights=[('m', 2, WITHIN_SECONDS - 2.2), ('m', 3, 3.0)])
        call(world)
        assert b'Expect-Version: 3' in sent_on(world.accept())


class TestCallThatHasNotBegun:
    """A call that waits at an engine on old weights."""

    def test_is_recalled_2_seconds_before_the_limit(self):
        world = World(1, MODEL_SERVICE)
        announce(world, limit_in_seconds=3.0)
        call(world)
        old = world.accept()
        advance(world, 3.0 - LAST_RECALL_SECONDS)
        assert old.transport.aborted

    def test_is_recalled_2_seconds_before_the_limit_if_it_began_at_another_engine(self):
        world = World(2, MODEL_SERVICE)
        announce(world, limit_in_seconds=4.0)
        first = begin_at_changing_engine(world)
        world.reactor.advance(0.2)
        second = world.accept()
        assert b'Expect-Version: 1' in sent_on(second)
        advance(world, 3.8 - LAST_RECALL_SECONDS)
        assert second.transport.aborted
        assert not first.transport.aborted

    def test_is_recalled_2_seconds_before_the_limit_if_its_engine_is_silent(self):
        world = World(2, MODEL_SERVICE)
        announce(world, limit_in_seconds=4.0)
        call(world)
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        advance(world, 1.0)
        second = world.accept()
        assert b'Expect-Version: 1' in sent_on(second)
        advance(world, 2.9 - LAST_RECALL_SECONDS)
        assert not second.transport.aborted
        advance(world, 0.1)
        assert second.transport.aborted
        assert not first.transport.aborted

    def test_is_not_moved_so_late_that_it_may_be_recalled_where_it_waits(self):
        world = World(2, MODEL_SERVICE)
        announce(world, limit_in_seconds=3.4)
        first = begin_at_changing_engine(world)
        advance(world, 0.6)
        assert not first.transport.aborted
        assert world.reactor.pending_connects == []

    def test_fails_when_recalled_if_it_may_not_be_repeated(self):
        world = World(1, MODEL_SERVICE, routes=[replace(STREAM, resumable=False)])
        assert_fails_when_recalled(world)

    def test_is_not_repeated_after_its_recall_beyond_the_retry_budget(self):
        world = World(1, MODEL_SERVICE, bounds=NodeBounds(retry_slack=0, retry_ratio=0))
        assert_fails_when_recalled(world)

    def test_is_not_left_as_silent_before_an_answer_that_is_no_stream(self):
        world = World(2, MODEL_SERVICE)
        world.call('/p/x', headers=STREAM_HEADERS, method='POST')
        first = world.accept()
        advance(world, 2.0)
        assert not first.transport.aborted
        assert world.reactor.pending_connects == []
