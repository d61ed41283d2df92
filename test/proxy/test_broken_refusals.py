"""A refusal that says that the call did not run is obeyed though its body is broken."""

from dataclasses import replace

import pytest

from jackdawsail.proxy.attempt import REFUSAL_BODY_BYTES, REFUSAL_BODY_SECONDS
from test.http1.ends import close, reset
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    event,
    status_of,
)

HEAD = b'HTTP/1.1 503 X\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n'


def call_once(upstreams=2, framing=b'Content-Length: 10\r\n\r\n'):
    """Makes a call that may run once, which its first upstream refuses."""
    world = World(upstreams)
    caller = world.call('/once/x', method='POST')
    first = world.accept()
    first.dataReceived(HEAD + framing)
    return world, caller, first


def break_by_reset(_world, channel):
    channel.dataReceived(b'full')
    reset(channel)


def break_by_close(_world, channel):
    channel.dataReceived(b'full')
    close(channel)


def stay_silent(world, _channel):
    world.reactor.advance(REFUSAL_BODY_SECONDS)


@pytest.mark.parametrize('break_off', [break_by_reset, break_by_close, stay_silent])
def test_call_refused_with_a_broken_body_is_sent_to_another_upstream(break_off):
    world, caller, first = call_once()
    break_off(world, first)
    answer(world.accept())
    assert status_of(caller) == 200


def test_call_refused_with_a_broken_body_is_refused_as_not_run_when_no_upstream_is_left():
    world, caller, first = call_once(upstreams=1)
    break_by_reset(world, first)
    assert status_of(caller) == 503
    assert b'Retry-After' in caller.value()


def test_refusal_without_an_end_is_abandoned():
    world, caller, first = call_once(framing=b'\r\n')
    sent_bytes = 0
    while not first.transport.aborted and sent_bytes < 4 * REFUSAL_BODY_BYTES:
        first.dataReceived(b'x' * 4096)
        sent_bytes += 4096
    assert sent_bytes <= REFUSAL_BODY_BYTES + 4096
    answer(world.accept())
    assert status_of(caller) == 200


def test_refusal_whose_body_follows_its_head_leaves_the_channel_for_reuse():
    world, _caller, first = call_once(framing=b'Content-Length: 4\r\n\r\n')
    world.reactor.advance(REFUSAL_BODY_SECONDS / 2)
    first.dataReceived(b'full')
    assert not first.transport.aborted
    assert world.context.pool.acquire_idle('10.0.0.1:80') or world.context.pool.acquire_idle(
        '10.0.0.2:80'
    )


def test_body_of_a_refusal_is_never_forwarded_into_a_stream():
    world = World(3, MODEL_SERVICE, routes=[replace(STREAM, max_upstreams=3)])
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_stream(first)
    first.dataReceived(event(1)[:8])
    reset(first)
    second = world.accept()
    second.dataReceived(HEAD + b'\r\n' + b'\n\nid: 1\ndata: refused\n\n')
    close(second)
    third = world.accept()
    begin_stream(third)
    third.dataReceived(event(1) + b'0\r\n\r\n')
    assert b'refused' not in caller.value()
    assert b'x1' in caller.value()
    assert caller.value().endswith(b'0\r\n\r\n')
