"""The log lines of a call state how its answer was framed and how it ended."""

import pytest

from jackdawsail.metrics_registry import REGISTRY
from jackdawsail.proxy import call_log
from test.http1.ends import close, reset
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM_HEADERS,
    World,
    begin_stream,
    begin_unframed_stream,
    event,
    plain_event,
    status_of,
)
from test.site.documents import make_document


def call_stream():
    world = World(1, MODEL_SERVICE)
    world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    return world.accept()


def test_answered_call_states_the_framing(logged):
    channel = call_stream()
    begin_stream(channel)
    channel.dataReceived(event(1) + b'0\r\n\r\n')
    (line,) = logged.of(call_log.CALL_ENDED)
    assert (line['framing'], line['unfinished_bytes']) == ('chunks', 0)


def test_answered_call_states_when_it_was_sent(logged):
    world = World(1, MODEL_SERVICE)
    world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    world.reactor.advance(0.25)
    channel = world.accept()
    world.reactor.advance(0.1)
    begin_stream(channel)
    channel.dataReceived(event(1) + b'0\r\n\r\n')
    (line,) = logged.of(call_log.CALL_ENDED)
    assert line['age_seconds'] == pytest.approx(0.35)
    assert line['sent_age_seconds'] == pytest.approx(0.1)


def test_broken_answer_states_its_end_and_what_follows_the_last_whole_event(logged):
    channel = call_stream()
    begin_unframed_stream(channel)
    channel.dataReceived(plain_event(1) + plain_event(2)[:5])
    reset(channel)
    (line,) = logged.of(call_log.ATTEMPT_ENDED)
    assert (line['framing'], line['end']) == ('connection', 'broken reset')
    assert line['unfinished_bytes'] == 5


def test_answer_that_ends_with_its_connection_is_told_from_a_reset_one(logged):
    channel = call_stream()
    begin_unframed_stream(channel)
    channel.dataReceived(plain_event(1))
    close(channel)
    (line,) = logged.of(call_log.CALL_ENDED)
    assert (line['framing'], line['unfinished_bytes']) == ('connection', 0)
    assert logged.of(call_log.ATTEMPT_ENDED) == []


def test_attempt_without_an_answer_has_no_unfinished_bytes_of_the_one_before(logged):
    world = World(2, MODEL_SERVICE)
    world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_unframed_stream(first)
    first.dataReceived(plain_event(1) + plain_event(2)[:5])
    reset(first)
    reset(world.accept())
    lines = logged.of(call_log.ATTEMPT_ENDED)
    assert [line['unfinished_bytes'] for line in lines] == [5, 0]


def test_aborted_answer_states_why_and_what_preceded_it(logged):
    world = World(2, MODEL_SERVICE)
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_stream(first)
    first.dataReceived(event(1))
    for _ in range(5):
        world.reactor.advance(0.2)
    second = world.accept()
    begin_stream(second)
    second.dataReceived(event(2))
    world.context.view.apply_document(make_document(version=9))
    world.reactor.advance(0.1)
    before = REGISTRY.get_sample_value(
        'jackdawsail_proxy_aborts_total', {'reason': 'upstream broke off', 'left': 'silent'}
    )
    reset(second)
    assert caller.aborted
    (line,) = logged.of(call_log.CALL_FAILED)
    assert (line['aborted'], line['left']) == (True, 'silent')
    assert line['document_age_seconds'] == pytest.approx(0.1)
    assert line['silence_age_seconds'] == pytest.approx(0.3)
    assert line['stop_age_seconds'] is None
    after = REGISTRY.get_sample_value(
        'jackdawsail_proxy_aborts_total', {'reason': 'upstream broke off', 'left': 'silent'}
    )
    assert after == (before or 0) + 1


def test_failure_that_its_caller_gets_as_an_answer_is_no_abort(logged):
    world = World(1)
    caller = world.call('/once/x', method='POST')
    reset(world.accept())
    assert status_of(caller) == 502
    (line,) = logged.of(call_log.CALL_FAILED)
    assert (line['aborted'], line['left']) == (False, '')
