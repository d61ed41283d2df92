"""What the entry is told of the answers of an agent's upstream, by their framing and end."""

import json

import pytest
from returns.result import Success

from jackdawsail.agent import upstream as agent_upstream
from jackdawsail.agent.engine_admin import EngineAdminClient, EngineState
from jackdawsail.agent.service_permit import GateState, ServicePermit
from jackdawsail.agent.upstream import (
    ANSWER_SECONDS,
    MAX_ANSWER_BYTES,
    STALL_SECONDS,
    AnswerBody,
    EngineBody,
    UpstreamClient,
    UpstreamRun,
)
from jackdawsail.errors import UserError
from jackdawsail.http1.base_url import parse_base_url
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.membership.leases import Lease
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.work_messages import Priority, Reserve, Work
from test.agent.test_streams import TWO_TOKENS, Sink, event
from test.http1.ends import Reactor, close, reset

BASE_URL = parse_base_url('http://127.0.0.1:9000/below/')
DONE = event(done=True, tokens=2, release='r1')


class Upstream:
    """A pool whose one connection the test drives."""

    def __init__(self):
        self.reactor = Reactor()
        self.pool = ChannelPool(self.reactor, self.reactor)

    def accept(self):
        return self.reactor.accept()


class Job:
    """One job at the upstream."""

    def __init__(self, body=None, path='/x'):
        self.upstream, self.sink = Upstream(), Sink()
        self.run = UpstreamRun(self.upstream.reactor, self.sink, body or AnswerBody())
        request = BASE_URL.make_request('POST', path, (), b'{}')
        self.run.begin(self.upstream.pool, BASE_URL.address, request)

    def accept(self):
        self.channel = self.upstream.accept()
        return self.channel

    def receive(self, received):
        if not self.channel.transport.aborted:
            self.channel.dataReceived(received)

    @property
    def end(self):
        return self.sink.calls[-1]


def answer(job, body, framing=b''):
    job.accept().dataReceived(b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n' + body)


def test_plain_answer_without_a_length_is_not_lost_when_its_connection_closes():
    job = Job()
    answer(job, b'all of it')
    close(job.channel)
    assert job.end == ('whole',)


@pytest.mark.parametrize(
    ('framing', 'end'),
    [(b'', reset), (b'Content-Length: 9\r\n', close), (b'Transfer-Encoding: chunked\r\n', close)],
)
def test_broken_plain_answer_is_never_reported_as_complete(framing, end):
    job = Job()
    answer(job, b'4\r\nhalf\r\n'[: 4 if b'Length' in framing else None], framing)
    end(job.channel)
    assert job.end == ('failed', 'unknown', 'answer-cut-off')


@pytest.mark.parametrize(
    ('body', 'last'),
    [(TWO_TOKENS + DONE, ('whole',)), (TWO_TOKENS, ('failed', 'unknown', 'stream-cut-off'))],
)
def test_stream_without_a_length_is_complete_with_its_done_event_only(body, last):
    job = Job(EngineBody('r1'))
    answer(job, body)
    close(job.channel)
    assert job.end == last


def test_unreachable_upstream_has_not_run_the_job():
    job = Job()
    job.upstream.reactor.pending_connects.pop()[1].clientConnectionFailed(None, None)
    assert job.end == ('failed', 'not-run', 'upstream-unreachable')


def test_job_whose_request_cannot_be_sent_has_not_run():
    job = Job(path='/a b')
    assert job.accept().transport.value() == b''
    assert job.end == ('failed', 'not-run', 'request-invalid')


@pytest.mark.parametrize('end', [close, reset])
def test_connection_that_ends_before_the_head_leaves_the_outcome_unknown(end):
    job = Job()
    end(job.accept())
    assert job.end == ('failed', 'unknown', 'upstream-broke-off')


@pytest.mark.parametrize(('body', 'status'), [(AnswerBody(), 200), (EngineBody('r1'), 500)])
def test_body_without_an_end_is_given_up(body, status):
    job = Job(body)
    job.accept().dataReceived(b'HTTP/1.1 %d X\r\n\r\n' % status)
    received_bytes = 0
    while not job.channel.transport.aborted and received_bytes < 2 * MAX_ANSWER_BYTES:
        job.receive(b'x' * 65_536)
        received_bytes += 65_536
    assert received_bytes <= MAX_ANSWER_BYTES + 65_536
    assert job.end == ('failed', 'unknown', 'answer-too-large')


def test_answer_that_comes_byte_by_byte_is_given_up():
    job = Job()
    answer(job, b'')
    while (
        not job.channel.transport.aborted and job.upstream.reactor.seconds() < 2 * ANSWER_SECONDS
    ):
        job.upstream.reactor.advance(STALL_SECONDS / 2)
        job.receive(b'x')
    assert job.end == ('failed', 'unknown', 'answer-without-end')


def test_cancelled_job_closes_its_connection():
    job = Job()
    answer(job, b'half')
    job.run.cancel()
    assert job.channel.transport.aborted


def read_state(body, end):
    """Reads the engine's state from an answer without a length."""
    upstream, outcomes = Upstream(), []
    admin = EngineAdminClient(upstream.pool, BASE_URL)
    admin.read_state().addCallback(outcomes.append)
    channel = upstream.accept()
    assert channel.transport.value().startswith(b'GET /below/admin/state HTTP/1.1\r\n')
    channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n' + body)
    if not channel.transport.aborted:
        end(channel)
    return outcomes[0]


def test_engine_state_without_a_length_is_complete_when_its_connection_closes():
    body = json.dumps({'generation': 3}).encode()
    assert read_state(body, close) == Success(EngineState(generation=3))


@pytest.mark.parametrize(
    ('body', 'end'),
    [(b'{"generation": 3}', reset), (b'{"generation": 3', close), (b' ' * 200_000, close)],
)
def test_broken_or_endless_engine_state_is_no_state(body, end):
    assert not isinstance(read_state(body, end), Success)


@pytest.mark.parametrize('url', ['ftp://h:1', 'h:1', 'http://h:x', 'http://', 'http://['])
def test_unusable_urls_of_an_upstream_are_rejected(url):
    with pytest.raises(UserError):
        parse_base_url(url)


def test_job_is_not_sent_once_its_lease_has_lapsed_while_it_waited_to_connect():
    upstream, sink = Upstream(), Sink()
    lease = Lease()
    lease.record_reply(lease.record_request(upstream.reactor.seconds()), 2.5, 1)
    identity = Identity(Role.agent, 'h', 'z', 'r', 1)
    permit = ServicePermit(identity, lease, StateReplica(), GateState(''))
    client = UpstreamClient(upstream.pool, BASE_URL, permit.blocked_reason)
    work = Work('a1', 1, 1, 'POST', '/x', '', b'{}', 0)
    reserve = Reserve('a1', 'q1', 'c', 'b', '', 1, Priority.live, 1.0, '')
    client.call(agent_upstream.Job(work, reserve, ''), sink)
    upstream.reactor.advance(3.0)
    channel = upstream.accept()
    assert channel.transport.value() == b''
    assert sink.calls == [('failed', 'not-run', 'withdrawn-no-lease')]
