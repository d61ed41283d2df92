"""What callers receive of answers with neither a length nor chunks, which end with their connection."""

from dataclasses import replace

from jackdawsail.http1.event_frames import MAX_EVENT_BYTES
from test.http1.ends import close, reset
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    begin_unframed_stream,
    plain_event,
)

LAST_CHUNK = b'0\r\n\r\n'
ONE_RUN_ONLY = [replace(STREAM, resumable=False)]


def begin(upstreams=1, routes=None):
    world = World(upstreams, MODEL_SERVICE, routes=routes)
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    channel = world.accept()
    begin_unframed_stream(channel)
    return world, caller, channel


def test_stream_closed_inside_an_event_does_not_look_complete_to_its_caller():
    _world, caller, channel = begin(routes=ONE_RUN_ONLY)
    channel.dataReceived(plain_event(1) + plain_event(2)[:-1])
    close(channel)
    assert caller.aborted
    assert not caller.value().endswith(LAST_CHUNK)
    assert b'x2' not in caller.value()


def test_stream_closed_inside_an_event_continues_at_another_engine():
    world, caller, first = begin(upstreams=2)
    first.dataReceived(plain_event(1) + plain_event(2)[:-1])
    close(first)
    second = world.accept()
    assert b'Last-Event-Id: 1' in second.transport.value()
    begin_unframed_stream(second)
    second.dataReceived(plain_event(2))
    close(second)
    text = caller.value()
    assert [text.count(f'data: x{number}\n'.encode()) for number in (1, 2)] == [1, 1]
    assert text.endswith(LAST_CHUNK)


def test_stream_closed_after_an_event_is_complete():
    _world, caller, channel = begin(routes=ONE_RUN_ONLY)
    channel.dataReceived(plain_event(1) + plain_event(2))
    close(channel)
    assert not caller.aborted
    assert b'x2' in caller.value()
    assert caller.value().endswith(LAST_CHUNK)


def test_stream_reset_after_an_event_does_not_look_complete_to_its_caller():
    _world, caller, channel = begin(routes=ONE_RUN_ONLY)
    channel.dataReceived(plain_event(1))
    reset(channel)
    assert caller.aborted
    assert not caller.value().endswith(LAST_CHUNK)


def test_stream_that_ends_before_its_first_event_does_not_look_complete_to_its_caller():
    for received in (b'', b': comment\n\n', b'\n\n'):
        _world, caller, channel = begin(routes=ONE_RUN_ONLY)
        if received:
            channel.dataReceived(received)
        close(channel)
        assert not caller.value().endswith(LAST_CHUNK)


def test_stream_that_continues_another_and_ends_before_its_first_event_is_not_its_end():
    world, caller, first = begin(upstreams=2)
    first.dataReceived(plain_event(1) + plain_event(2)[:3])
    reset(first)
    second = world.accept()
    begin_unframed_stream(second)
    close(second)
    assert caller.aborted
    assert not caller.value().endswith(LAST_CHUNK)


def test_event_without_an_end_is_given_up_before_it_fills_the_memory():
    world, caller, channel = begin(routes=ONE_RUN_ONLY)
    channel.dataReceived(plain_event(1))
    received_bytes = 0
    while not channel.transport.aborted and received_bytes < 4 * MAX_EVENT_BYTES:
        channel.dataReceived(b'x' * 65_536)
        received_bytes += 65_536
    assert received_bytes <= MAX_EVENT_BYTES + 65_536
    assert caller.aborted
    assert world.context.running == 0
