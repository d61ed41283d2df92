"""Upstreams that ask for rest, or say in an answer that they are leaving, get no calls."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.proxy.calls import UpstreamHead
from jackdawsail.proxy.upstream_signals import record_signals
from jackdawsail.routing.rest import EASING_SECONDS, RequestedRest, RestRecord
from test.http1.ends import close, reset
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM_HEADERS,
    World,
    answer,
    begin_stream,
    event,
    status_of,
)

ASK_FOR_REST = 'Not-Executed: full\r\nRetry-After: 3\r\n'


def target_of(world):
    """Returns the address of the oldest requested connection."""
    return world.reactor.pending_connects[0][0]


def turn_away(world, headers=ASK_FOR_REST, attempt='a1'):
    """Accepts a call at the upstream that it goes to and turns it away; returns the address."""
    address = target_of(world)
    answer(world.accept(), 503, attempt, headers=f'Connection: close\r\n{headers}')
    return address


def begin_call(world, attempt='a1'):
    return world.call('/stream/x', headers=STREAM_HEADERS, method='POST', attempt=attempt)


def serve(world, attempt='a1', headers=''):
    headers = f'Weight-Versions: 1\r\nConnection: close\r\n{headers}'
    answer(world.accept(), attempt=attempt, body=b'id: 1\ndata: x\n\n', headers=headers)


def addresses_called(world, calls, seconds_between=0.1):
    """Sends calls, serves them, and returns the addresses that they went to."""
    addresses = []
    for number in range(calls):
        world.reactor.advance(seconds_between)
        world.summarize(number + 2)
        for upstream in (1, 2, 3):
            world.report(upstream, running=0)
        begin_call(world, f'n{number}')
        addresses.append(target_of(world))
        serve(world, f'n{number}')
    return addresses


@pytest.fixture
def world():
    return World(3, MODEL_SERVICE)


def test_upstream_that_asked_for_rest_gets_no_call_until_its_end(world):
    begin_call(world)
    resting = turn_away(world)
    serve(world)
    assert resting not in addresses_called(world, 28)


class TestWaysIn:
    """No call reaches a resting upstream, whatever the way that it takes."""

    def test_repeats(self, world):
        for attempt in ('a1', 'a2'):
            begin_call(world, attempt)
        first = target_of(world)
        channels = [world.accept(), world.accept()]
        answer(channels[0], 503, headers=ASK_FOR_REST)
        assert target_of(world) != first
        reset(channels[1])
        assert all(address != first for address, _factory in world.reactor.pending_connects[1:])

    def test_streams_that_continue(self, world):
        rested = {turn_away_one(world, f'r{number}') for number in (1, 2)}
        serving = ({'10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'} - rested).pop()
        caller = begin_call(world)
        assert target_of(world) == serving
        channel = world.accept()
        begin_stream(channel)
        channel.dataReceived(event(1))
        reset(channel)
        assert world.reactor.pending_connects == []
        assert caller.aborted

    def test_calls_that_waited_for_a_connection(self, world):
        begin_call(world)
        resting = target_of(world)
        world.context.upstreams.get('i-1').rest.extend(RequestedRest(3.0), world.reactor.seconds())
        world.context.upstreams.get('i-2').rest.extend(RequestedRest(3.0), world.reactor.seconds())
        channel = world.accept()
        is_resting = resting in {'10.0.0.1:80', '10.0.0.2:80'}
        assert (channel.transport.value() == b'') == is_resting
        assert (len(world.reactor.pending_connects) == 1) == is_resting

    def test_the_way_back_to_suspended_upstreams(self, world):
        now_seconds = world.reactor.seconds()
        for number in (1, 2, 3):
            world.context.upstreams.get(f'i-{number}').call_failed(now_seconds)
        for number in (1, 2):
            world.context.upstreams.get(f'i-{number}').rest.extend(RequestedRest(2.0), now_seconds)
        begin_call(world)
        assert target_of(world) == '10.0.0.3:80'

    def test_checks_whether_it_has_ended(self, world):
        begin_call(world)
        channel = world.accept()
        for number in (1, 2, 3):
            upstream = world.context.upstreams.get(f'i-{number}')
            upstream.rest.extend(RequestedRest(2.0), world.reactor.seconds())
        close(channel)
        assert world.reactor.pending_checks == []


def test_calls_are_refused_at_once_with_the_end_of_the_rest_while_all_rest(world):
    for number, seconds in ((1, 3), (2, 2.5), (3, 3)):
        upstream = world.context.upstreams.get(f'i-{number}')
        upstream.rest.extend(RequestedRest(seconds), world.reactor.seconds())
    caller = begin_call(world)
    assert status_of(caller) == 503
    assert 2.5 <= retry_after_of(caller) <= 2.5 + 1.1
    world.reactor.advance(retry_after_of(caller))
    begin_call(world)
    assert target_of(world) == '10.0.0.2:80'


def test_upstream_is_eased_in_after_its_rest(world):
    for number in (1, 2, 3):
        upstream = world.context.upstreams.get(f'i-{number}')
        upstream.rest.extend(RequestedRest(1.0), world.reactor.seconds())
    world.reactor.advance(1.01)
    world.summarize(2)
    callers = [begin_call(world, f'c{number}') for number in range(12)]
    assert len(world.reactor.pending_connects) == 3
    assert sum(status_of(caller) == 503 for caller in callers) == 9
    for number in range(3):
        serve(world, f'c{number}')
    for number in range(12):
        begin_call(world, f'd{number}')
    assert len(world.reactor.pending_connects) == 6


def test_another_incarnation_under_the_same_id_does_not_rest(world):
    upstream = world.context.upstreams.get('i-1')
    upstream.rest.extend(RequestedRest(30.0), world.reactor.seconds())
    world.register(1, born_milliseconds=99)
    assert world.context.upstreams.get('i-1').accepts_calls(world.reactor.seconds())


def test_an_incarnation_that_was_forgotten_still_rests(world):
    world.context.upstreams.get('i-1').rest.extend(RequestedRest(300), world.reactor.seconds())
    world.context.view.registrations.forget_old(world.reactor.seconds() + 100)
    world.context.upstreams.refresh(world.context.view.registrations)
    assert world.context.upstreams.get('i-1') is None
    world.register(1, sequence=2)
    assert not world.context.upstreams.get('i-1').accepts_calls(world.reactor.seconds())


class TestRestRecord:
    """How long a rest lasts, and what it allows afterwards."""

    def test_the_longest_request_counts(self):
        record = RestRecord()
        assert record.extend(RequestedRest(3.0), 10.0)
        assert not record.extend(RequestedRest(1.0), 11.0)
        assert (record.is_resting(12.9), record.is_resting(13.0)) == (True, False)
        assert record.extend(RequestedRest(3.0), 11.0)

    @pytest.mark.parametrize('seconds', [None, 0])
    def test_zero_and_unreadable_requests_change_nothing(self, seconds):
        record = RestRecord()
        record.extend(RequestedRest(3.0), 10.0)
        assert not record.extend(RequestedRest(seconds), 11.0)
        assert record.is_resting(12.9)
        assert not RestRecord().extend(RequestedRest(seconds), 11.0)

    def test_answers_during_the_rest_do_not_count_as_answers_after_it(self):
        record = RestRecord()
        record.extend(RequestedRest(3.0), 10.0)
        for _ in range(8):
            record.call_answered(11.0)
        assert (record.allows(0, 13.0), record.allows(1, 13.0)) == (True, False)

    def test_an_upstream_that_answers_nothing_is_used_as_before_after_a_while(self):
        record = RestRecord()
        record.extend(RequestedRest(3.0), 10.0)
        assert not record.allows(5, 13.0 + EASING_SECONDS)
        assert record.allows(5, 13.1 + EASING_SECONDS)

    @given(st.lists(st.tuples(st.floats(0, 5), st.floats(0, 20)), max_size=20))
    def test_no_order_of_requests_shortens_a_rest(self, requests):
        record, now_seconds, until_seconds = RestRecord(), 100.0, 0.0
        for after_seconds, rest_seconds in requests:
            now_seconds += after_seconds
            until_seconds = max(until_seconds, now_seconds + rest_seconds)
            record.extend(RequestedRest(rest_seconds), now_seconds)
            assert record.is_resting(now_seconds) == (until_seconds > now_seconds)


def turn_away_one(world, attempt):
    """Sends a call that is turned away once and served then; returns who turned it away."""
    begin_call(world, attempt)
    address = turn_away(world, attempt=attempt)
    serve(world, attempt)
    return address


def retry_after_of(caller):
    head = caller.value().decode().lower()
    return float(head.split('retry-after: ')[1].split('\r\n')[0])


class TestLeavingUpstream:
    """An upstream that says in an answer that it is leaving."""

    def leave(self, world, number=1):
        upstream = world.context.upstreams.get(f'i-{number}')
        head = UpstreamHead(200, 'a1', False, 1, 0, is_leaving=True)
        record_signals(world.context, upstream, head)

    def accepts(self, world, number=1):
        upstream = world.context.upstreams.get(f'i-{number}')
        return upstream is not None and upstream.accepts_calls(world.reactor.seconds())

    @pytest.mark.parametrize('sequence', [1, 7])
    def test_its_heartbeats_do_not_bring_it_back(self, world, sequence):
        self.leave(world)
        world.register(1, sequence=sequence)
        assert not self.accepts(world)

    def test_it_is_left_alone_after_it_was_forgotten(self, world):
        self.leave(world)
        world.context.view.registrations.forget_old(world.reactor.seconds() + 100)
        world.context.upstreams.refresh(world.context.view.registrations)
        world.register(1, sequence=7)
        assert not self.accepts(world)

    def test_another_incarnation_under_its_id_gets_calls(self, world):
        self.leave(world)
        world.register(1, born_milliseconds=99)
        assert self.accepts(world)

    def test_an_answer_of_its_predecessor_says_nothing_of_an_incarnation(self, world):
        predecessor = world.context.upstreams.get('i-1')
        world.register(1, born_milliseconds=99)
        head = UpstreamHead(200, 'a1', False, 1, 0, is_leaving=True)
        record_signals(world.context, predecessor, head)
        assert self.accepts(world)

    def test_calls_that_waited_for_a_connection_go_elsewhere(self, world):
        begin_call(world)
        address = target_of(world)
        self.leave(world, int(address.split('.')[3].split(':')[0]))
        assert world.accept().transport.value() == b''
        assert target_of(world) != address

    def test_a_stream_that_runs_there_goes_on(self, world):
        caller = begin_call(world)
        serve(world, headers='Server-Leaving: 1\r\n')
        assert status_of(caller) == 200

    def test_its_end_blames_no_call(self, world):
        begin_call(world)
        address = target_of(world)
        channel = world.accept()
        self.leave(world, int(address.split('.')[3].split(':')[0]))
        close(channel)
        assert world.reactor.pending_checks == []
        assert world.context.traits.blame.suspected == set()


def test_upstream_that_says_it_is_leaving_gets_no_call_any_more(world):
    begin_call(world)
    leaving = target_of(world)
    serve(world, headers='Server-Leaving: 1\r\n')
    assert leaving not in addresses_called(world, 40, seconds_between=0.5)
