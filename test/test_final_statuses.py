"""A status outside 200 to 599 is no final answer; each reader takes it for a broken one."""

from dataclasses import replace

import pytest
from returns.result import Failure

from jackdawsail.agent.upstream import EngineBody
from jackdawsail.errors import UserError
from jackdawsail.http1.client import MAX_HEAD_BYTES, BreakReason
from jackdawsail.routing.answers import AnswerBuilder
from jackdawsail.routing.dispatch_effects import BeginAnswer, FinishRequest, ForwardPart
from jackdawsail.routing.request_dispatch import deliver
from jackdawsail.wire.work_messages import AnswerHead, Granted, Outcome
from test.agent.test_upstream import Job
from test.http1.ends import reset
from test.http1.test_client import OK, REQUEST, Owner, make_channel
from test.http1.test_fetch import Call
from test.proxy.world import (
    MODEL_SERVICE,
    STREAM,
    STREAM_HEADERS,
    World,
    begin_stream,
    event,
    status_of,
)
from test.proxy.world import answer as answer_at
from test.routing.test_request_dispatch import make_dispatch
from test.ui.test_client import read_status
from test.weights.test_http_read import Read

STATUSES = ('000', '099', '101', '600', '999')
each_status = pytest.mark.parametrize('status', STATUSES)
each_body = pytest.mark.parametrize('body', ['', 'ok', None])


def make_answer(status, body):
    """Makes an answer; a body of None lasts until the connection is closed."""
    length = '' if body is None else f'Content-Length: {len(body)}\r\n'
    return f'HTTP/1.1 {status} X\r\nAttempt-Id: a1\r\n{length}\r\n{body or ""}'.encode()


@each_status
@each_body
@pytest.mark.parametrize('earlier_answers', [0, 1])
def test_channel_reports_a_broken_answer_and_is_aborted(status, body, earlier_answers):
    channel = make_channel(Owner())
    for _ in range(earlier_answers):
        channel.dataReceived(OK)
    owner = Owner()
    channel.send(REQUEST, owner) if earlier_answers else setattr(channel, '_owner', owner)
    channel.dataReceived(make_answer(status, body))
    assert (owner.heads, owner.body, owner.ends) == ([], b'', [BreakReason.garbled])
    assert channel.transport.aborted


@each_status
def test_status_split_over_two_segments_is_no_final_answer(status):
    owner = Owner()
    channel = make_channel(owner)
    received = make_answer(status, 'ok')
    channel.dataReceived(received[:10])
    channel.dataReceived(received[10:])
    assert owner.ends == [BreakReason.garbled]


@each_status
def test_answer_of_an_earlier_request_is_checked_too(status):
    owner = Owner(foreign={b'a1'})
    channel = make_channel(owner)
    channel.dataReceived(make_answer(status, 'ok') + OK)
    assert (owner.heads, owner.ends) == ([], [BreakReason.garbled])


@pytest.mark.parametrize('status', ['100', '102', '103'])
def test_interim_answers_are_skipped_and_bounded(status):
    interim = f'HTTP/1.1 {status} X\r\n\r\n'.encode()
    owner = Owner()
    make_channel(owner).dataReceived(interim * 3 + OK)
    assert (owner.body, owner.ends) == (b'ok', ['complete'])
    endless, channel = Owner(), make_channel(owner)
    channel._owner = endless
    for _ in range(MAX_HEAD_BYTES // len(interim) + 2):
        if not channel.transport.aborted:
            channel.dataReceived(interim)
    assert endless.ends == [BreakReason.garbled]


@each_status
@each_body
def test_fetch_fails(status, body):
    call = Call()
    call.receive(make_answer(status, body))
    assert call.outcomes == [Failure('garbled')]


@each_status
@each_body
def test_read_of_weights_fails(status, body):
    read = Read()
    read.receive(make_answer(status, body))
    assert (read.heads, read.body) == ([Failure('garbled')], b'')


@each_status
@pytest.mark.parametrize('resume_from', [None, 0, 3])
def test_agent_reports_a_job_that_may_have_run(status, resume_from):
    body = None if resume_from is None else EngineBody('r1')
    if resume_from:
        body.resume_from(resume_from)
    job = Job(body)
    job.accept()
    job.receive(make_answer(status, 'ok'))
    assert job.sink.calls == [('failed', 'unknown', 'upstream-broke-off')]


@pytest.mark.parametrize('status', [0, 99, 101, 199, 600, 999, -1])
@pytest.mark.parametrize('is_begun', [False, True])
def test_entry_takes_it_from_an_agent_for_a_broken_attempt(status, is_begun):
    dispatch, attempt_id = make_dispatch('')
    deliver(Granted(attempt_id, 1, 1, 'r1', 1.0), dispatch, 0)
    if is_begun:
        deliver(AnswerHead(attempt_id, 200, 'text/event-stream', 'r1'), dispatch, 0)
    head = AnswerHead(attempt_id, status, 'text/event-stream', 'r1')
    effects = deliver(head, dispatch, 0)
    assert not any(isinstance(effect, BeginAnswer) for effect in effects)
    assert effects
    assert not deliver(head, dispatch, 0)
    (finish,) = [e for e in dispatch.abandon('caller-left') if isinstance(e, FinishRequest)]
    assert finish.outcome is Outcome.unknown


@each_status
@each_body
def test_command_line_takes_it_for_no_answer(status, body):
    document = '{"revision": 3}' if body else body
    with pytest.raises(UserError, match='no control host has responded'):
        read_status(make_answer(status, document))


@each_status
@each_body
@pytest.mark.parametrize('is_kept', [False, True])
def test_call_that_may_be_repeated_is_answered_by_another_upstream(status, body, is_kept):
    world = World(1)
    if is_kept:
        world.call()
        answer_at(world.accept())
        world.context.upstreams.get('i-1').mean_answer_seconds = 0.001
    world.register(2)
    caller = world.call()
    channel = world.channels[0] if is_kept else world.accept()
    channel.dataReceived(make_answer(status, body))
    assert caller.value() == b''
    answer_at(world.accept())
    assert status_of(caller) == 200


@each_status
@each_body
def test_call_that_may_have_run_and_may_not_be_repeated_gets_502(status, body):
    world = World(2)
    caller = world.call('/once/x', method='POST')
    world.accept().dataReceived(make_answer(status, body))
    assert status_of(caller) == 502
    assert not world.reactor.pending_connects


@each_status
@each_body
def test_resumed_stream_goes_on_at_a_third_engine(status, body):
    world = World(3, MODEL_SERVICE, routes=[replace(STREAM, max_upstreams=3)])
    caller = world.call('/stream/x', headers=STREAM_HEADERS, method='POST')
    first = world.accept()
    begin_stream(first)
    first.dataReceived(event(1))
    reset(first)
    world.accept().dataReceived(make_answer(status, body))
    assert b'ok' not in caller.value().partition(b'\r\n\r\n')[2]
    third = world.accept()
    begin_stream(third)
    third.dataReceived(event(2) + b'0\r\n\r\n')
    assert caller.value().endswith(b'0\r\n\r\n')
    assert b'x2' in caller.value()


@pytest.mark.parametrize('status', [400, 500, 504])
def test_failure_does_not_continue_a_stream_that_has_begun(status):
    dispatch, attempt_id = make_dispatch('')
    deliver(Granted(attempt_id, 1, 1, 'r1', 1.0), dispatch, 0)
    deliver(AnswerHead(attempt_id, 200, 'text/event-stream', 'r1'), dispatch, 0)
    dispatch.attempt_broken(attempt_id, 'stream-cut-off', 0)
    effects = dispatch.offer_candidates(['a2'], 0)
    (second,) = [effect.message.attempt_id for effect in effects]
    deliver(Granted(second, 1, 1, 'r1', 1.0), dispatch, 0)
    builder = AnswerBuilder(second)
    failed = [AnswerHead(second, status, 'text/plain', 'r1'), builder.part(b'error', 0)]
    effects = [one for message in failed for one in deliver(message, dispatch, 0)]
    assert not any(isinstance(effect, ForwardPart) for effect in effects)
    assert not dispatch.finished


def test_upstream_that_garbles_an_answer_on_a_kept_channel_is_suspended():
    world = World(1)
    world.call()
    answer_at(world.accept())
    world.call()
    world.channels[0].dataReceived(make_answer('600', 'ok'))
    assert world.context.upstreams.get('i-1').is_suspended(world.reactor.seconds())
