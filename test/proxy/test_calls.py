"""What callers get, and how often upstreams may run their calls, when upstreams fail."""

from dataclasses import replace

import pytest

from jackdawsail.http1.client import ClientChannel
from jackdawsail.site.node import NodeBounds
from test.proxy.world import (
    MODEL_SERVICE,
    ONCE,
    STREAM_HEADERS,
    World,
    answer,
    close,
    reset,
    sent_on,
    status_of,
)

NOT_RUN = 'Not-Executed: 1\r\n'


def test_an_answer_is_passed_on_unchanged():
    world = World()
    caller = world.call()
    answer(world.accept(), body=b'hello', headers='X-Own: 1\r\n')
    written = caller.value()
    assert written.startswith(b'HTTP/1.1 200 X\r\n')
    assert b'server-stamp: s' in written.lower()
    assert b'x-own: 1' in written.lower()
    assert written.endswith(b'\r\n\r\nhello')
    assert world.parts.running == 0


def test_the_upstream_is_told_who_is_meant_and_how_long_is_left():
    world = World(upstreams=1)
    world.call(headers='Request-Deadline: 1500\r\nTenant: forged\r\n')
    sent = sent_on(world.accept())
    assert b'Expect-Instance: i-1' in sent
    assert b'Request-Deadline: 1500' in sent
    assert b'forged' not in sent


def test_a_call_without_route_or_before_any_document_is_denied_truthfully():
    world = World()
    assert status_of(world.call('/none/x')) == 404
    world.parts.view.table = None
    early = world.call('/none/x')
    assert status_of(early) == 503
    assert b'retry-after' in early.value().lower()


def test_callers_that_come_too_early_are_spread_and_remembered():
    world = World(1, MODEL_SERVICE)
    table, world.parts.view.table = world.parts.view.table, None
    early = [
        world.call('/stream/x', headers=STREAM_HEADERS, method='POST', body=f'{number}')
        for number in range(20)
    ]
    times = {caller.value().lower().split(b'retry-after: ')[1][:5] for caller in early}
    assert len(times) > 10
    assert len(world.parts.refused_calls.unsent) == 20
    world.parts.view.table = table


class TestOnce:
    """A call that must not be repeated."""

    def test_is_sent_once_when_its_answer_is_lost(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        reset(world.accept())
        assert world.reactor.asked == []
        assert status_of(caller) == 502

    def test_is_not_refused_as_not_run_once_it_was_sent(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        world.accept()
        world.reactor.advance(2.1)
        assert status_of(caller) == 504

    def test_goes_elsewhere_when_the_upstream_was_not_reached(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        world.refuse()
        answer(world.accept())
        assert status_of(caller) == 200

    def test_goes_elsewhere_only_on_the_upstreams_own_word(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        answer(world.accept(), 503, headers=NOT_RUN)
        second = world.accept()
        answer(second)
        assert status_of(caller) == 200

    def test_an_upstreams_own_failure_is_passed_on(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        answer(world.accept(), 503)
        assert status_of(caller) == 503
        assert b'server-stamp' in caller.value().lower()
        assert world.reactor.asked == []

    def test_takes_no_kept_channel(self):
        world = World(upstreams=1)
        world.call()
        answer(world.accept())
        world.call('/once/x', attempt='a2', method='POST')
        assert len(world.reactor.asked) == 1

    def test_is_refused_with_a_time_to_come_back_when_nothing_ran(self):
        world = World(upstreams=1)
        caller = world.call('/once/x', method='POST')
        answer(world.accept(), 503, headers=NOT_RUN)
        assert status_of(caller) == 503
        assert b'retry-after' in caller.value().lower()
        assert b'server-stamp' not in caller.value().lower()


def test_once_holds_even_where_the_route_allows_several_upstreams():
    world = World(routes=[replace(ONCE, max_upstreams=3)])
    failed = world.call('/once/x', method='POST')
    answer(world.accept(), 500)
    assert status_of(failed) == 500
    lost = world.call('/once/x', attempt='a2', method='POST')
    reset(world.accept())
    assert status_of(lost) == 502
    assert world.reactor.asked == []


class TestIdempotent:
    """A call that may run more than once."""

    def test_is_sent_to_another_upstream_after_a_failure(self):
        world = World()
        caller = world.call()
        reset(world.accept())
        answer(world.accept())
        assert status_of(caller) == 200

    def test_runs_on_no_more_upstreams_than_its_route_allows(self):
        world = World(upstreams=4)
        caller = world.call()
        reset(world.accept())
        reset(world.accept())
        assert world.reactor.asked == []
        assert status_of(caller) == 502

    def test_is_not_repeated_beyond_the_budget(self):
        world = World(bounds=NodeBounds(retry_slack=0, retry_ratio=0))
        caller = world.call()
        reset(world.accept())
        assert world.reactor.asked == []
        assert status_of(caller) == 502

    def test_uses_a_kept_channel_and_survives_that_it_was_closed(self):
        world = World(upstreams=1)
        world.call()
        channel = world.accept()
        answer(channel)
        caller = world.call(attempt='a2')
        assert world.reactor.asked == []
        reset(channel)
        assert status_of(caller) == 502
        world.register(2)
        again = world.call(attempt='a3')
        answer(world.accept(), attempt='a3')
        assert status_of(again) == 200


def test_an_answer_to_another_call_is_never_passed_on():
    world = World(upstreams=1)
    caller = world.call('/once/x', method='POST')
    channel = world.accept()
    answer(channel, attempt='other', body=b'theirs')
    assert caller.value() == b''
    answer(channel, body=b'ours')
    assert caller.value().endswith(b'ours')
    assert b'theirs' not in caller.value()


def test_a_success_without_the_calls_id_is_not_passed_on():
    world = World(upstreams=1)
    caller = world.call('/once/x', method='POST')
    channel = world.accept()
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno')
    close(channel)
    assert status_of(caller) == 502


def test_a_cut_answer_is_not_passed_on_as_whole():
    world = World(upstreams=1)
    caller = world.call('/once/x', method='POST')
    channel = world.accept()
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 9\r\n\r\nhalf')
    close(channel)
    assert status_of(caller) == 502
    assert b'half' not in caller.value()


def test_when_the_caller_leaves_the_upstream_is_told_at_once():
    world = World(upstreams=1)
    caller = world.call()
    channel = world.accept()
    close(caller.connection)
    assert channel.transport.aborted
    assert world.parts.running == 0


def test_a_caller_that_leaves_while_connecting_is_sent_nowhere():
    world = World(upstreams=1)
    caller = world.call()
    close(caller.connection)
    assert sent_on(world.accept()) == b''


def test_an_emptied_zone_and_a_leaving_upstream_get_nothing():
    world = World(upstreams=2)
    world.register(1, leaving=True, sequence=2)
    world.call()
    assert world.reactor.asked.pop()[0] == '10.0.0.2:80'
    world.summarize(revision=2, zones=['z'])
    refused = world.call(attempt='a2')
    assert status_of(refused) == 503
    assert world.reactor.asked == []


@pytest.mark.parametrize('status', [200, 500])
def test_a_channel_is_kept_after_a_whole_answer(status):
    world = World(upstreams=1)
    world.call('/once/x', method='POST')
    channel = world.accept()
    answer(channel, status)
    assert isinstance(world.parts.pool.acquire_idle('10.0.0.1:80'), ClientChannel)
