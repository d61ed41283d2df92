"""The log shows how long a call may begin on an engine's weights, and what began after that."""

import pytest

from jackdawsail.proxy import call_log, metrics, upstream_signals
from test.proxy.world import MODEL_SERVICE, STREAM_HEADERS, World, begin_stream, event


def begin_call(age_seconds):
    """Sends a stream to an engine on version 1, with version 2 announced some time ago."""
    world = World(1, MODEL_SERVICE)
    world.summarize(revision=2, weights=[('m', 2, age_seconds)])
    world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    return world, world.accept()


def test_dispatched_call_states_the_time_left_for_the_weights(logged):
    begin_call(age_seconds=4)
    line = logged.of(call_log.CALL_DISPATCHED)[0]
    assert line['held_version'] == 1
    assert line['weights_left_seconds'] == pytest.approx(4)


def test_call_without_newer_weights_states_no_time(logged):
    world = World(1, MODEL_SERVICE)
    world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    assert logged.of(call_log.CALL_DISPATCHED)[0]['weights_left_seconds'] is None


@pytest.mark.parametrize(('held_seconds', 'expected'), [(3.9, 0), (4.1, 1)])
def test_answer_that_begins_on_overdue_weights_is_logged_and_counted(
    logged, held_seconds, expected
):
    counter = metrics.OVERDUE_ANSWERS._value
    before = counter.get()
    world, channel = begin_call(age_seconds=4)
    # Not as a series of steps, in which the call would be recalled.
    world.reactor.rightNow += held_seconds
    begin_stream(channel, version=1)
    channel.dataReceived(event(1))
    lines = logged.of(upstream_signals.OVERDUE_WEIGHTS)
    assert len(lines) == expected
    assert counter.get() - before == expected
    if expected:
        assert lines[0]['request'] == 'a1'
        assert lines[0]['weights_left_seconds'] == pytest.approx(-0.1, abs=0.01)
