"""What callers receive, and how often their calls may run, when upstreams fail."""

from dataclasses import replace

import pytest

from jackdawsail.http1.client import ClientChannel
from jackdawsail.proxy.relaying import MAX_BUFFERED_BYTES
from jackdawsail.site.node import NodeBounds
from test.http1.ends import close, reset
from test.proxy.world import MODEL_SERVICE, ONCE, STREAM_HEADERS, World, answer, sent_on, status_of

NOT_RUN = 'Not-Executed: 1\r\n'


def test_an_answer_is_forwarded_unchanged():
    world = World()
    caller = world.call()
    answer(world.accept(), body=b'hello', headers='X-Own: 1\r\n')
    written = caller.value()
    assert written.startswith(b'HTTP/1.1 200 X\r\n')
    assert b'server-stamp: s' in written.lower()
    assert b'x-own: 1' in written.lower()
    assert written.endswith(b'\r\n\r\nhello')
    assert world.context.running == 0


def test_the_upstream_receives_the_expected_instance_and_the_deadline():
    world = World(upstreams=1)
    world.call(headers='Request-Deadline: 1500\r\nTenant: forged\r\n')
    sent = sent_on(world.accept())
    assert b'Expect-Instance: i-1' in sent
    assert b'Request-Deadline: 1500' in sent
    assert b'forged' not in sent


def test_a_call_without_route_and_one_before_any_document_get_different_answers():
    world = World()
    assert status_of(world.call('/none/x')) == 404
    world.context.view.table = None
    early = world.call('/none/x')
    assert status_of(early) == 503
    assert b'retry-after' in early.value().lower()


def test_callers_before_any_document_get_spread_retry_times_and_are_remembered():
    world = World(1, MODEL_SERVICE)
    table, world.context.view.table = world.context.view.table, None
    early = [
        world.call('/stream/x', headers=STREAM_HEADERS, method='POST', body=f'{number}')
        for number in range(20)
    ]
    times = {caller.value().lower().split(b'retry-after: ')[1][:5] for caller in early}
    assert len(times) > 10
    assert len(world.context.refused_calls.unsent) == 20
    world.context.view.table = table


class TestOnce:
    """A call that must not be repeated."""

    def test_is_sent_once_when_its_answer_is_lost(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        reset(world.accept())
        assert world.reactor.pending_connects == []
        assert status_of(caller) == 502

    def test_is_not_refused_as_not_run_once_it_was_sent(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        world.accept()
        world.reactor.advance(2.1)
        assert status_of(caller) == 504

    def test_is_sent_elsewhere_when_the_connection_failed(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        world.refuse()
        answer(world.accept())
        assert status_of(caller) == 200

    def test_is_sent_elsewhere_only_when_the_upstream_confirms_that_it_did_not_run(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        answer(world.accept(), 503, headers=NOT_RUN)
        second = world.accept()
        answer(second)
        assert status_of(caller) == 200

    def test_a_failure_answered_by_the_upstream_is_forwarded(self):
        world = World()
        caller = world.call('/once/x', method='POST')
        answer(world.accept(), 503)
        assert status_of(caller) == 503
        assert b'server-stamp' in caller.value().lower()
        assert world.reactor.pending_connects == []

    def test_does_not_reuse_a_channel(self):
        world = World(upstreams=1)
        world.call()
        answer(world.accept())
        world.call('/once/x', attempt='a2', method='POST')
        assert len(world.reactor.pending_connects) == 1

    def test_is_refused_with_a_retry_time_when_nothing_ran(self):
        world = World(upstreams=1)
        caller = world.call('/once/x', method='POST')
        answer(world.accept(), 503, headers=NOT_RUN)
        assert status_of(caller) == 503
        assert b'retry-after' in caller.value().lower()
        assert b'server-stamp' not in caller.value().lower()


def test_a_call_that_must_run_once_does_so_though_its_route_allows_several_upstreams():
    world = World(routes=[replace(ONCE, max_upstreams=3)])
    failed = world.call('/once/x', method='POST')
    answer(world.accept(), 500)
    assert status_of(failed) == 500
    lost = world.call('/once/x', attempt='a2', method='POST')
    reset(world.accept())
    assert status_of(lost) == 502
    assert world.reactor.pending_connects == []


LONG_FAILURE = b'x' * (MAX_BUFFERED_BYTES + 65_536)


# A second answer was begun on the caller's channel, which broke it off.
@pytest.mark.parametrize('status', [500, 503])
def test_failure_that_was_forwarded_in_part_is_passed_on_whole_and_not_repeated(status):
    world = World()
    caller = world.call()
    answer(world.accept(), status, body=LONG_FAILURE)
    assert status_of(caller) == status
    assert caller.value().endswith(LONG_FAILURE)
    assert world.reactor.pending_connects == []
    assert not caller.disconnecting


def test_failure_that_was_not_forwarded_yet_is_repeated_at_another_upstream():
    world = World()
    caller = world.call()
    answer(world.accept(), 500, body=LONG_FAILURE[:1000])
    answer(world.accept())
    assert status_of(caller) == 200


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
        assert world.reactor.pending_connects == []
        assert status_of(caller) == 502

    def test_is_not_repeated_beyond_the_budget(self):
        world = World(bounds=NodeBounds(retry_slack=0, retry_ratio=0))
        caller = world.call()
        reset(world.accept())
        assert world.reactor.pending_connects == []
        assert status_of(caller) == 502

    def test_reuses_a_channel_and_a_later_call_succeeds_after_that_channel_broke(self):
        world = World(upstreams=1)
        world.call()
        channel = world.accept()
        answer(channel)
        caller = world.call(attempt='a2')
        assert world.reactor.pending_connects == []
        reset(channel)
        assert status_of(caller) == 502
        world.register(2)
        again = world.call(attempt='a3')
        answer(world.accept(), attempt='a3')
        assert status_of(again) == 200


def test_an_answer_to_another_call_is_never_forwarded():
    world = World(upstreams=1)
    caller = world.call('/once/x', method='POST')
    channel = world.accept()
    answer(channel, attempt='other', body=b'theirs')
    assert caller.value() == b''
    answer(channel, body=b'ours')
    assert caller.value().endswith(b'ours')
    assert b'theirs' not in caller.value()


def test_a_success_without_the_calls_id_is_not_forwarded():
    world = World(upstreams=1)
    caller = world.call('/once/x', method='POST')
    channel = world.accept()
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno')
    close(channel)
    assert status_of(caller) == 502


def test_a_truncated_answer_is_not_forwarded_as_complete():
    world = World(upstreams=1)
    caller = world.call('/once/x', method='POST')
    channel = world.accept()
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 9\r\n\r\nhalf')
    close(channel)
    assert status_of(caller) == 502
    assert b'half' not in caller.value()


def test_the_upstream_call_is_aborted_at_once_when_the_caller_disconnects():
    world = World(upstreams=1)
    caller = world.call()
    channel = world.accept()
    close(caller.connection)
    assert channel.transport.aborted
    assert world.context.running == 0


def test_a_call_is_not_sent_when_its_caller_disconnects_while_connecting():
    world = World(upstreams=1)
    caller = world.call()
    close(caller.connection)
    assert sent_on(world.accept()) == b''


def test_an_emptied_zone_and_a_leaving_upstream_get_nothing():
    world = World(upstreams=2)
    world.register(1, leaving=True, sequence=2)
    world.call()
    assert world.reactor.pending_connects.pop()[0] == '10.0.0.2:80'
    world.summarize(revision=2, zones=['z'])
    refused = world.call(attempt='a2')
    assert status_of(refused) == 503
    assert world.reactor.pending_connects == []


@pytest.mark.parametrize('status', [200, 500])
def test_a_channel_is_returned_to_the_pool_after_a_complete_answer(status):
    world = World(upstreams=1)
    world.call('/once/x', method='POST')
    channel = world.accept()
    answer(channel, status)
    assert isinstance(world.context.pool.acquire_idle('10.0.0.1:80'), ClientChannel)
