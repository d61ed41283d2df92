"""Orders of events around a handover in which the stream must not be lost or sent too often."""

from contextlib import suppress
from dataclasses import replace

import pytest
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.proxy.call_log import CallLog
from test.http1.ends import reset
from test.proxy.test_kept_engines import assert_whole, wait
from test.proxy.test_lost_calls import InjectedError, as_in_the_reactor, fail_once
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    event,
    plain_event,
    sent_on,
    status_of,
)

END = b'0\r\n\r\n'
REFUSED = 'Not-Executed: 1\r\n'


def make_world(upstreams=3, max_upstreams=2, **changes):
    route = replace(STREAM, max_upstreams=max_upstreams, **changes)
    return World(upstreams, MODEL_SERVICE, routes=[route])


def call(world, attempt='a1'):
    return world.call('/stream/x', attempt, STREAM_HEADERS, 'POST')


def begin(world):
    caller = call(world)
    first = world.accept()
    begin_stream(first)
    first.dataReceived(event(1))
    return caller, first


def end_engine_by_same_content(world):
    """Lets an earlier call with the same content end an engine, so that its traits are suspect."""
    call(world, 'a0')
    reset(world.accept())
    world.reactor.pending_checks.pop()[1].clientConnectionFailed(None, Failure(Refused()))
    while world.reactor.pending_connects:
        world.refuse()
    world.reactor.advance(20)
    for number in (1, 2, 3):
        world.register(number, sequence=2)
    world.summarize(revision=3)


def end_check(world):
    """Finds that the host of an engine accepts connections, so that the engine has not ended."""
    world.reactor.pending_checks.pop()[1].clientConnectionFailed(None, Failure(TimeoutError()))


def change_over(world, first):
    """Lets the engine of a stream report that it will load other weights, while it is read."""
    own = int(first.peer.split(':')[0][-1])
    world.report(own, running=9, switching=True)
    for number in {1, 2, 3} - {own}:
        world.report(number, running=3)
    wait(world, 0.3)


def is_paused(channel):
    return channel.transport.producerState == 'paused'


@pytest.mark.parametrize('max_upstreams', [2, 3])
def test_next_engine_keeps_stream_when_cause_of_first_ones_break_is_known_late(max_upstreams):
    world = make_world(max_upstreams=max_upstreams)
    end_engine_by_same_content(world)
    caller, first = begin(world)
    wait(world, 1)
    second = world.accept()
    reset(first)
    begin_stream(second)
    second.dataReceived(event(2))
    end_check(world)
    assert not second.transport.aborted
    assert not world.reactor.pending_connects
    second.dataReceived(event(3) + END)
    assert_whole(caller, 3)


def test_third_engine_gets_stream_when_two_are_silent():
    world = make_world(max_upstreams=3)
    caller, _first = begin(world)
    wait(world, 1)
    world.accept()
    wait(world, 2)
    assert world.reactor.pending_connects, 'no further engine was asked'
    third = world.accept()
    begin_stream(third)
    third.dataReceived(event(2) + END)
    assert_whole(caller, 2)


def test_next_engine_keeps_stream_when_changing_one_broke_off_while_it_was_not_read():
    world = make_world()
    caller, first = begin(world)
    change_over(world, first)
    second = world.accept()
    assert is_paused(first)
    while is_paused(first):
        wait(world, 0.1)
    reset(first)
    begin_stream(second)
    second.dataReceived(event(2) + END)
    assert_whole(caller, 2)


def test_call_recalled_at_two_engines_begins_at_none():
    world = make_world(upstreams=2)
    call(world)
    first = world.accept()
    wait(world, 1.5)
    second = world.accept()
    world.summarize(revision=2, weights=[('m', 2, 5.0)])  # the limit is in 3.0 s
    wait(world, 1.1)
    assert first.transport.aborted
    assert second.transport.aborted


def test_stream_does_not_mix_versions_after_a_comment():
    world = make_world(upstreams=2)
    caller = call(world)
    first = world.accept()
    begin_stream(first)
    own = int(first.peer.split(':')[0][-1])
    world.register(3 - own, version=2, sequence=2)
    wait(world, 1.5)
    second = world.accept()
    comment = b': waits\n\n'
    first.dataReceived(b'%x\r\n%s\r\n' % (len(comment), comment))
    begin_stream(second, version=2)
    second.dataReceived(event(1) + END)
    head = caller.value()
    if plain_event(1) in head:
        assert b'Weight-Versions: 2' in head


def test_long_failure_of_first_engine_raises_no_error_beside_an_event_of_the_next():
    world = make_world(upstreams=2)
    caller = call(world)
    first = world.accept()
    wait(world, 1.5)
    second = world.accept()
    head = b'HTTP/1.1 500 X\r\nAttempt-Id: a1\r\nContent-Length: 400000\r\n\r\n'
    first.dataReceived(head + b'x' * 300_000)
    begin_stream(second)
    second.dataReceived(event(1) + END)
    assert status_of(caller) in {200, 500}


def test_stream_of_a_slow_caller_is_not_offered_to_another_engine():
    world = make_world()
    caller, first = begin(world)
    caller.connection.backlog.pauseProducing()
    change_over(world, first)
    assert not world.reactor.pending_connects


def test_call_is_not_sent_on_while_the_cause_of_the_next_engines_break_is_unknown():
    world = make_world(max_upstreams=3)
    end_engine_by_same_content(world)
    begin(world)
    wait(world, 1)
    reset(world.accept())
    assert world.reactor.pending_checks
    wait(world, 0.5)
    assert not world.reactor.pending_connects


def test_error_while_a_stream_changes_its_engine_ends_the_call_at_once(monkeypatch):
    world = make_world()
    caller, first = begin(world)
    wait(world, 1)
    second = world.accept()
    begin_stream(second)
    raised = fail_once(monkeypatch, CallLog, 'attempt_ended')
    with as_in_the_reactor(second):
        second.dataReceived(event(2))
    assert raised
    assert caller.aborted or not first.transport.aborted


def test_engine_that_refused_the_rest_may_get_it_once_the_first_one_has_broken_off():
    world = make_world(upstreams=2)
    caller, first = begin(world)
    wait(world, 1)
    second = world.accept()
    answer(second, 503, headers=REFUSED)
    first.dataReceived(event(2))
    wait(world, 0.5)
    sent_before = sent_on(second)
    reset(first)
    assert not caller.aborted
    again = sent_on(second)[len(sent_before) :]
    assert b'Last-Event-Id: 2' in again


def test_engine_that_is_not_read_is_read_again_after_an_error_while_the_next_one_is_asked(
    monkeypatch,
):
    world = make_world()
    caller, first = begin(world)
    raised = fail_once(monkeypatch, ChannelPool, 'connect')
    with suppress(InjectedError):
        change_over(world, first)
    wait(world, 2)
    assert raised
    assert caller.aborted or not is_paused(first)


def test_engine_that_goes_on_after_a_silence_is_not_suspended():
    world = make_world(upstreams=2)
    callers = [call(world, f'a{number}') for number in range(12)]
    channels = [world.accept() for _caller in callers]
    silent = channels[0].peer
    at_silent = []
    for number, channel in enumerate(channels):
        begin_stream(channel, attempt=f'a{number}')
        channel.dataReceived(event(1))
        if channel.peer == silent:
            at_silent.append(channel)
    wait(world, 1)
    for channel in at_silent:
        channel.dataReceived(event(2))
        channel.dataReceived(event(3) + END)
    number = int(silent.split(':')[0][-1])
    upstream = world.context.upstreams.get(f'i-{number}')
    assert not upstream.is_suspended(world.reactor.seconds())
