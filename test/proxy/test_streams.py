"""What callers of streams receive when engines fail, become silent or change over."""

from dataclasses import replace

import pytest

from test.http1.ends import reset
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    answer,
    begin_at_changing_engine,
    begin_stream,
    event,
    sent_on,
    status_of,
)


class TestStream:
    """A resumable stream of a model."""

    def begin(self, upstreams=2):
        world = World(upstreams, MODEL_SERVICE)
        caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
        return world, caller

    def begun(self):
        world, caller = self.begin()
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        return world, caller, first

    def test_events_are_forwarded_at_once_and_complete(self):
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

    def test_continues_at_another_engine_after_the_last_complete_event(self):
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
        world, caller, first = self.begun()
        other = 2 if b'i-1' in sent_on(first) else 1
        world.register(other, version=2, sequence=2)
        reset(first)
        assert world.reactor.pending_connects == []
        assert caller.aborted

    @pytest.mark.parametrize('status', [500, 400, 504])
    def test_is_not_ended_as_complete_by_a_failure_of_the_engine_that_continues_it(self, status):
        world, caller, first = self.begun()
        reset(first)
        answer(world.accept(), status, body=b'id: 2\ndata: failed\n\nrest')
        assert caller.aborted
        assert b'failed' not in caller.value()
        assert not caller.value().endswith(b'0\r\n\r\n')

    def test_is_not_aborted_though_its_next_engine_refuses_it_and_queues_are_too_long_for_new_calls(
        self,
    ):
        world = World(3, MODEL_SERVICE)
        caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
        first = world.accept()
        begin_stream(first)
        first.dataReceived(event(1))
        for number in (1, 2, 3):
            world.report(number, running=16, waiting=6)
        reset(first)
        answer(world.accept(), 503, headers='Not-Executed: 1\r\n')
        third = world.accept()
        assert b'Last-Event-Id: 1' in sent_on(third)
        begin_stream(third)
        third.dataReceived(event(2) + b'0\r\n\r\n')
        assert caller.value().endswith(b'0\r\n\r\n')
        assert status_of(world.call('/stream/x', 'a2', STREAM_HEADERS, 'POST')) == 503

    def test_is_aborted_when_no_engine_can_continue_it(self):
        world, caller = self.begin(upstreams=1)
        channel = world.accept()
        begin_stream(channel)
        channel.dataReceived(event(1))
        reset(channel)
        assert caller.aborted
        assert not caller.value().endswith(b'0\r\n\r\n')

    def test_leaves_a_silent_engine(self):
        world, caller, first = self.begun()
        for _ in range(6):
            world.reactor.advance(0.2)
        second = world.accept()
        begin_stream(second)
        assert not first.transport.aborted
        second.dataReceived(event(2) + b'0\r\n\r\n')
        assert first.transport.aborted
        assert caller.value().endswith(b'0\r\n\r\n')

    @pytest.mark.parametrize('trickle', [b'1\r\nx\r\n', b'3\r\n:\n\n\r\n'])
    def test_leaves_a_stalled_engine_that_sends_a_byte_now_and_then(self, trickle):
        world, caller, first = self.begun()
        for _ in range(6):
            world.reactor.advance(0.2)
            first.dataReceived(trickle)
        second = world.accept()
        begin_stream(second)
        assert not first.transport.aborted
        second.dataReceived(event(2) + b'0\r\n\r\n')
        assert first.transport.aborted
        assert caller.value().endswith(b'0\r\n\r\n')

    def test_stays_at_an_engine_whose_long_event_arrives_slowly(self):
        world, caller, first = self.begun()
        for _ in range(10):
            world.reactor.advance(0.2)
            first.dataReceived(b'c8\r\n' + b'x' * 200 + b'\r\n')
        assert not first.transport.aborted
        first.dataReceived(b'2\r\n\n\n\r\n0\r\n\r\n')
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
        second = world.accept()
        assert b'Last-Event-Id: 1' in sent_on(second)
        assert b'Expect-Version: 1' in sent_on(second)
        begin_stream(second)
        assert not first.transport.aborted
        second.dataReceived(event(2) + b'0\r\n\r\n')
        assert first.transport.aborted
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
        leaving = [opened for opened in channels if b'i-1' in sent_on(opened)]
        assert len(leaving) > 1
        world.reactor.advance(0.22)
        assert len(world.reactor.pending_connects) == 1
        moved = world.accept()
        attempt = sent_on(moved).split(b'Attempt-Id: ')[1].split(b'\r\n')[0].decode()
        begin_stream(moved, attempt)
        moved.dataReceived(event(2))
        assert sum(opened.transport.aborted for opened in leaving) == 1

    def test_continues_elsewhere_though_it_is_late_and_others_are_refused(self):
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
        world.context.pressure('s').record_refusal(world.reactor.seconds())
        reset(first)
        assert not caller.aborted
        assert len(world.reactor.pending_connects) == 1

    def test_stays_when_it_is_nearly_complete_or_the_other_engine_is_full(self):
        for changes in ({'hint': 'Length-Hint: 12\r\n'}, {'other_running': 16}):
            world, _caller, first = self.changing_over(**changes)
            assert not first.transport.aborted
            assert world.reactor.pending_connects == []

    def test_does_not_move_when_it_may_not_run_again(self):
        world = World(2, MODEL_SERVICE, routes=[replace(STREAM, resumable=False)])
        first = begin_at_changing_engine(world)
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

    def test_is_recalled_from_an_engine_on_overdue_weights_where_it_has_not_begun(self):
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
