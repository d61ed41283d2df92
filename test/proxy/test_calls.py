"""What callers get, and how often upstreams may run their calls, when upstreams fail."""

from dataclasses import replace

import pytest

from jackdawsail.http1.client import ClientChannel
from jackdawsail.site.node import NodeBounds
from test.proxy.world import (
    MODEL_SERVICE,
    ONCE,
    STREAM,
    World,
    answer,
    begin_stream,
    close,
    event,
    reset,
)

STREAM_HEADERS = 'Model: m\r\nRequest-Deadline: 6000\r\n'
NOT_RUN = 'Not-Executed: 1\r\n'


def status_of(transport):
    written = transport.value()
    return int(written.split(b' ')[1]) if written else None


def sent_on(channel):
    return channel.transport.value()


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


class TestLateCalls:
    """Who comes back leaves the places to calls that can still be in time."""

    def full_world(self, running=16, waiting=3):
        world = World(1, MODEL_SERVICE)
        world.report(1, running=running, waiting=waiting)
        return world

    def stream(self, world, attempt, body='mine'):
        return world.call(
            '/stream/x', attempt=attempt, headers=STREAM_HEADERS, method='POST', body=body
        )

    def test_a_late_call_is_refused_while_calls_in_time_are_and_a_fresh_one_is_placed(self):
        world = self.full_world()
        assert status_of(self.stream(world, 'a1')) == 503
        world.reactor.advance(0.8)
        world.report(1, running=15)
        late = self.stream(world, 'a2')
        assert status_of(late) == 503
        assert b'retry-after' in late.value().lower()
        assert world.reactor.asked == []
        self.stream(world, 'a3', body='another')
        assert len(world.reactor.asked) == 1

    def test_a_late_call_is_placed_where_there_is_ample_room(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(0.8)
        world.report(1, running=4)
        self.stream(world, 'a2')
        assert len(world.reactor.asked) == 1

    def test_a_late_call_is_placed_when_nobody_was_refused_lately(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(2.5)
        world.report(1, running=15)
        self.stream(world, 'a2')
        assert len(world.reactor.asked) == 1

    def test_refusals_of_late_calls_do_not_keep_late_calls_out(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(1.5)
        world.report(1, running=15)
        assert status_of(self.stream(world, 'a2')) == 503
        world.reactor.advance(1.0)
        world.report(1, running=15)
        self.stream(world, 'a3')
        assert len(world.reactor.asked) == 1

    def test_a_call_that_another_entry_refused_is_late_here_too(self):
        world, other = self.full_world(), self.full_world()
        self.stream(other, 'a1')
        for fingerprint in other.parts.refused_calls.take_unsent():
            world.parts.refused_calls.learn(fingerprint, world.reactor.seconds())
        self.stream(world, 'b1', body='another')
        world.reactor.advance(0.8)
        world.report(1, running=15)
        assert status_of(self.stream(world, 'a2')) == 503

    def test_a_caller_that_repeats_at_once_is_not_late_yet(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(0.05)
        world.report(1, running=15)
        self.stream(world, 'a2')
        assert len(world.reactor.asked) == 1


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


class TestStream:
    """A resumable stream of a model."""

    def begin(self, upstreams=2):
        world = World(upstreams, MODEL_SERVICE)
        caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
        return world, caller

    def test_events_are_passed_on_at_once_and_whole(self):
        world, caller = self.begin()
        channel = world.accept()
        begin_stream(channel)
        assert caller.value() == b''
        channel.dataReceived(event(1))
        assert b'x1' in caller.value()
        channel.dataReceived(event(2)[:-6])
        assert b'x2' not in caller.value()
        channel.dataReceived(event(2)[-6:] + b'0\r\n\r\n')
        assert caller.value().endswith(b'0\r\n\r\n')
        assert b'x2' in caller.value()

    def test_goes_on_at_another_engine_after_the_last_whole_event(self):
        world, caller = self.begin()
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1) + event(2) + event(3)[:8])
        reset(first)
        second = world.accept()
        assert b'Last-Event-Id: 2' in sent_on(second)
        assert b'Expect-Version: 1' in sent_on(second)
        begin_stream(second)
        second.dataReceived(event(2) + event(3) + b'0\r\n\r\n')
        text = caller.value()
        assert [text.count(f'data: x{number}\n'.encode()) for number in (1, 2, 3)] == [1, 1, 1]
        assert text.count(b'HTTP/1.1') == 1
        assert text.endswith(b'0\r\n\r\n')

    def test_is_not_mixed_from_two_weight_versions(self):
        world, caller = self.begin()
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        other = 2 if b'i-1' in sent_on(first) else 1
        world.register(other, version=2, sequence=2)
        reset(first)
        assert world.reactor.asked == []
        assert caller.aborted

    @pytest.mark.parametrize('status', [500, 400, 504])
    def test_is_not_ended_as_whole_by_the_failure_of_the_engine_that_goes_on(self, status):
        world, caller = self.begin()
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        reset(first)
        answer(world.accept(), status, body=b'id: 2\ndata: failed\n\nrest')
        assert caller.aborted
        assert b'failed' not in caller.value()
        assert not caller.value().endswith(b'0\r\n\r\n')

    def test_breaks_off_visibly_when_no_engine_can_go_on(self):
        world, caller = self.begin(upstreams=1)
        channel = world.accept()
        begin_stream(channel)
        channel.dataReceived(event(1))
        reset(channel)
        assert caller.aborted
        assert not caller.value().endswith(b'0\r\n\r\n')

    def test_leaves_an_engine_that_has_fallen_silent(self):
        world, caller = self.begin()
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        for _ in range(6):
            world.reactor.advance(0.2)
        assert first.transport.aborted
        second = world.accept()
        begin_stream(second)
        second.dataReceived(event(2) + b'0\r\n\r\n')
        assert caller.value().endswith(b'0\r\n\r\n')

    def changing_over(self, hint='Length-Hint: 120\r\n', other_running=3):
        world = World(2, MODEL_SERVICE)
        headers = STREAM_HEADERS + hint
        caller = world.call('/stream/x', headers=headers, method='POST')
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        own = 1 if b'i-1' in sent_on(first) else 2
        world.report(own, running=9, switching=True)
        world.report(3 - own, running=other_running)
        world.reactor.advance(0.25)
        return world, caller, first

    def test_moves_to_another_engine_when_its_own_changes_over(self):
        world, caller, first = self.changing_over()
        assert first.transport.aborted
        second = world.accept()
        assert b'Last-Event-Id: 1' in sent_on(second)
        assert b'Expect-Version: 1' in sent_on(second)
        begin_stream(second)
        second.dataReceived(event(2) + b'0\r\n\r\n')
        assert caller.value().endswith(b'0\r\n\r\n')

    def test_moves_are_spread_over_time(self):
        world = World(2, MODEL_SERVICE)
        channels = []
        for number in range(6):
            world.call('/stream/x', attempt=f'a{number}', headers=STREAM_HEADERS, method='POST')
            channel = world.accept()
            begin_stream(channel, f'a{number}')
            channel.dataReceived(event(1))
            channels.append(channel)
        for number in (1, 2):
            world.report(number, running=3, switching=number == 1)
        leaving = [one for one in channels if b'i-1' in sent_on(one)]
        assert len(leaving) > 1
        world.reactor.advance(0.22)
        assert sum(one.transport.aborted for one in leaving) == 1

    def test_goes_on_elsewhere_though_it_is_late_and_others_are_refused(self):
        world = World(2, MODEL_SERVICE)
        for number in (1, 2):
            world.report(number, running=16, waiting=3)
        assert status_of(world.call('/stream/x', headers=STREAM_HEADERS, method='POST')) == 503
        world.reactor.advance(0.8)
        for number in (1, 2):
            world.report(number, running=4)
        headers = STREAM_HEADERS
        caller = world.call('/stream/x', attempt='a2', headers=headers, method='POST')
        first = world.accept()
        begin_stream(first, 'a2')
        first.dataReceived(event(1))
        for number in (1, 2):
            world.report(number, running=14)
        world.parts.pressure('s').refused(world.reactor.seconds())
        reset(first)
        assert not caller.aborted
        assert len(world.reactor.asked) == 1

    def test_stays_when_it_is_nearly_done_or_the_other_engine_is_full(self):
        for changes in ({'hint': 'Length-Hint: 12\r\n'}, {'other_running': 16}):
            world, _caller, first = self.changing_over(**changes)
            assert not first.transport.aborted
            assert world.reactor.asked == []

    def test_does_not_move_when_it_may_not_run_again(self):
        world = World(2, MODEL_SERVICE, routes=[replace(STREAM, resumable=False)])
        world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        for number in (1, 2):
            world.report(number, running=3, switching=b'i-%d' % number in sent_on(first))
        world.reactor.advance(0.5)
        assert not first.transport.aborted

    def test_is_sent_with_the_new_version_when_the_old_one_is_overdue(self):
        world = World(2, MODEL_SERVICE)
        world.register(1, version=2, sequence=2)
        world.summarize(revision=2, weights=[('m', 2, 7.5)])
        world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
        sent = sent_on(world.accept())
        assert b'Expect-Instance: i-1' in sent
        assert b'Expect-Version: 2' in sent

    def test_is_taken_back_from_an_engine_where_it_has_not_begun_when_that_is_overdue(self):
        world, caller = self.begin(upstreams=1)
        old = world.accept()
        world.summarize(revision=2, weights=[('m', 2, 7.4)])
        world.register(2, version=2)
        world.reactor.advance(0.2)
        assert old.transport.aborted
        new = world.accept()
        assert b'Expect-Version: 2' in sent_on(new)
        begin_stream(new, version=2)
        new.dataReceived(event(1) + b'0\r\n\r\n')
        assert caller.value().endswith(b'0\r\n\r\n')

    def test_stays_at_an_engine_on_old_weights_where_it_has_begun(self):
        world, caller = self.begin(upstreams=1)
        old = world.accept()
        begin_stream(old)
        old.dataReceived(event(1))
        world.summarize(revision=2, weights=[('m', 2, 7.4)])
        world.register(2, version=2)
        world.reactor.advance(0.2)
        old.dataReceived(event(2) + b'0\r\n\r\n')
        assert caller.value().endswith(b'0\r\n\r\n')

    def test_is_refused_when_every_engine_is_on_an_overdue_version(self):
        world = World(2, MODEL_SERVICE)
        world.summarize(revision=2, weights=[('m', 2, 7.5)])
        caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
        assert status_of(caller) == 503


@pytest.mark.parametrize('status', [200, 500])
def test_a_channel_is_kept_after_a_whole_answer(status):
    world = World(upstreams=1)
    world.call('/once/x', method='POST')
    channel = world.accept()
    answer(channel, status)
    assert isinstance(world.parts.pool.take_idle('10.0.0.1:80'), ClientChannel)
