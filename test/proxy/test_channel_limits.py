"""An entry keeps its channels to each upstream within its part, and refuses only without another."""

import pytest

from jackdawsail.routing.channel_parts import FIRST_HOLD_SECONDS
from jackdawsail.site.document import Service
from test.http1.ends import reset
from test.proxy.world import World, answer, status_of


def make_world(upstreams, channels):
    """Makes an entry whose part of the channels to each upstream is ``channels``."""
    return World(upstreams, Service('s', max_channels=-(-channels * 10 // 9)))


def serve(world, path, method='GET'):
    """Makes a call and answers it on a new channel, which is kept."""
    caller = world.call(path, method=method)
    channel = world.accept()
    answer(channel)
    assert status_of(caller) == 200
    return channel


def open_counts(world):
    return [world.context.pool.open_count(f'10.0.0.{number}:80') for number in (1, 2)]


def test_calls_that_run_once_leave_no_more_channels_than_the_part():
    world = make_world(1, 2)
    channels = [serve(world, '/once/x', 'POST') for _ in range(5)]
    assert open_counts(world) == [2, 0]
    assert [channel.transport.aborted for channel in channels] == [True, True, True, False, False]


def test_call_goes_to_another_upstream_once_the_part_is_in_use():
    world = make_world(2, 1)
    callers = [world.call('/once/x', method='POST') for _ in range(3)]
    assert {address for address, _ in world.reactor.pending_connects} == {
        '10.0.0.1:80',
        '10.0.0.2:80',
    }
    assert open_counts(world) == [1, 1]
    assert [status_of(caller) for caller in callers] == [None, None, 503]
    assert b'Retry-After' in callers[2].value()


def test_kept_channel_is_used_while_the_part_is_used_up():
    world = make_world(1, 1)
    channel = serve(world, '/p/x')
    channel.transport.clear()
    caller = world.call('/p/x')
    answer(channel)
    assert status_of(caller) == 200
    assert not world.reactor.pending_connects


def test_failed_connects_and_lost_channels_free_their_part():
    world = make_world(1, 1)
    world.call('/p/x')
    world.refuse()
    assert open_counts(world) == [0, 0]
    world.reactor.advance(5)
    reset(serve(world, '/p/x'))
    assert open_counts(world) == [0, 0]


def test_no_channel_is_opened_for_a_while_after_a_new_one_was_reset():
    world = make_world(1, 5)
    kept = serve(world, '/p/x')
    world.call('/once/x', method='POST')
    reset(world.accept())
    assert status_of(world.call('/once/x', method='POST')) == 503
    reused = world.call('/p/x')
    answer(kept)
    assert status_of(reused) == 200
    assert not world.reactor.pending_connects
    world.reactor.advance(FIRST_HOLD_SECONDS)
    serve(world, '/once/x', 'POST')


def test_reset_of_a_channel_that_was_open_for_longer_holds_nothing():
    world = make_world(1, 5)
    world.call('/once/x', method='POST')
    channel = world.accept()
    world.reactor.advance(1)
    reset(channel)
    world.call('/once/x', method='POST')
    assert len(world.reactor.pending_connects) == 1


def test_excess_idle_channels_are_closed_when_the_part_becomes_smaller():
    world = make_world(1, 4)
    for _ in range(4):
        serve(world, '/once/x', 'POST')
    world.know_entries([world.context.settings.address, '10.9.9.1'])
    world.context.channels.close_excess(world.context.upstreams.all())
    assert open_counts(world) == [2, 0]


@pytest.mark.parametrize('max_channels', [0, 1000])
def test_calls_under_the_part_open_channels_as_without_a_limit(max_channels):
    world = World(1, Service('s', max_channels=max_channels))
    for _ in range(20):
        serve(world, '/once/x', 'POST')
    assert open_counts(world) == [20, 0]
