"""A caller that reads slowly stops the reading of its upstream, so that memory stays bounded."""

from jackdawsail.proxy.relaying import MAX_BUFFERED_BYTES
from test.http1.ends import close
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    begin_unframed_stream,
    event,
    plain_event,
)


def begin_long_answer(world):
    caller = world.call('/p/x')
    channel = world.accept()
    begin_unframed_stream(channel)
    channel.dataReceived(b'x' * (MAX_BUFFERED_BYTES + 1))
    return caller, channel


def test_upstream_is_read_no_faster_than_its_caller_reads():
    caller, channel = begin_long_answer(World())
    caller.connection.backlog.pauseProducing()
    assert channel.transport.producerState == 'paused'
    caller.connection.backlog.resumeProducing()
    assert channel.transport.producerState == 'producing'
    close(channel)
    assert caller.value().endswith(b'0\r\n\r\n')


def test_answer_whose_caller_does_not_read_is_aborted_at_the_time_limit():
    world = World()
    caller, channel = begin_long_answer(world)
    caller.connection.backlog.pauseProducing()
    world.reactor.advance(2.1)
    assert caller.aborted
    assert channel.transport.aborted
    assert world.context.running == 0


def test_engine_that_is_not_read_is_not_taken_for_a_silent_one():
    world = World(2, MODEL_SERVICE)
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    channel = world.accept()
    begin_stream(channel)
    channel.dataReceived(event(1))
    caller.connection.backlog.pauseProducing()
    for _ in range(20):
        world.reactor.advance(0.1)
    caller.connection.backlog.resumeProducing()
    world.reactor.advance(0.2)
    assert not channel.transport.aborted
    channel.dataReceived(event(2) + b'0\r\n\r\n')
    assert caller.value().endswith(b'0\r\n\r\n')


def test_channel_that_was_paused_is_read_again_before_its_reuse():
    world = World(1)
    caller = world.call('/p/x')
    channel = world.accept()
    caller.connection.backlog.pauseProducing()
    answer(channel)
    assert channel.transport.producerState == 'producing'


def test_attempt_that_follows_a_broken_one_waits_for_the_caller_too():
    world = World(2, MODEL_SERVICE)
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_unframed_stream(first)
    first.dataReceived(plain_event(1) + b'id')
    caller.connection.backlog.pauseProducing()
    close(first)
    assert world.accept().transport.producerState == 'paused'
