"""A retried call that is late leaves the slots to calls that can still be in time."""

from test.proxy.world import MODEL_SERVICE, STREAM_HEADERS, World, status_of


class TestLateCalls:
    """A full service, some of whose refused callers retry."""

    def full_world(self, running=16, waiting=3):
        world = World(1, MODEL_SERVICE)
        world.report(1, running=running, waiting=waiting)
        return world

    def stream(self, world, attempt, body='mine'):
        return world.call(
            '/stream/x', attempt=attempt, headers=STREAM_HEADERS, method='POST', body=body
        )

    def test_while_calls_in_time_are_refused_a_late_call_is_refused_and_a_new_one_placed(self):
        world = self.full_world()
        assert status_of(self.stream(world, 'a1')) == 503
        world.reactor.advance(0.8)
        world.report(1, running=15)
        late = self.stream(world, 'a2')
        assert status_of(late) == 503
        assert b'retry-after' in late.value().lower()
        assert world.reactor.pending_connects == []
        self.stream(world, 'a3', body='another')
        assert len(world.reactor.pending_connects) == 1

    def test_a_late_call_is_placed_where_there_is_ample_room(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(0.8)
        world.report(1, running=4)
        self.stream(world, 'a2')
        assert len(world.reactor.pending_connects) == 1

    def test_a_late_call_is_placed_when_no_call_was_refused_recently(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(2.5)
        world.report(1, running=15)
        self.stream(world, 'a2')
        assert len(world.reactor.pending_connects) == 1

    def test_refusals_of_late_calls_do_not_keep_late_calls_out(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(1.5)
        world.report(1, running=15)
        assert status_of(self.stream(world, 'a2')) == 503
        world.reactor.advance(1.0)
        world.report(1, running=15)
        self.stream(world, 'a3')
        assert len(world.reactor.pending_connects) == 1

    def test_a_call_that_another_entry_refused_is_late_here_too(self):
        world, other = self.full_world(), self.full_world()
        self.stream(other, 'a1')
        for fingerprint in other.context.refused_calls.take_unsent():
            world.context.refused_calls.record(fingerprint, world.reactor.seconds())
        self.stream(world, 'b1', body='another')
        world.reactor.advance(0.8)
        world.report(1, running=15)
        assert status_of(self.stream(world, 'a2')) == 503

    def test_a_caller_that_retries_at_once_is_not_late_yet(self):
        world = self.full_world()
        self.stream(world, 'a1')
        world.reactor.advance(0.05)
        world.report(1, running=15)
        self.stream(world, 'a2')
        assert len(world.reactor.pending_connects) == 1
