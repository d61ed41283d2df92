"""Parsers of callers' input accept any bytes without raising, and limits on connections hold."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from jackdawsail.bounded_http import REQUEST_TIMEOUT_SECONDS, BoundedSite
from jackdawsail.entry.call import CallKind
from jackdawsail.entry.stages.parse import RawRequest, parse_request
from jackdawsail.entry.web import CallersResource, RouteHandlers

HEADERS = st.dictionaries(
    st.sampled_from(
        [
            'authorization',
            'idempotency-key',
            'jackdawsail-priority',
            'jackdawsail-deadline-seconds',
            'content-type',
        ]
    ),
    st.one_of(
        st.text(max_size=40), st.sampled_from(['live', 'Bearer x', '5', '-1', 'nan', 'inf'])
    ),
)
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=20)),
    lambda inner: st.one_of(st.lists(inner), st.dictionaries(st.text(max_size=10), inner)),
    max_leaves=8,
)
BODIES = st.one_of(
    st.binary(max_size=200),
    JSON.map(lambda document: json.dumps(document).encode()),
    st.fixed_dictionaries(
        {'prompt': st.one_of(st.text(max_size=20), st.integers())},
        optional={'max_tokens': JSON, 'stream': JSON, 'resume_from': JSON, 'release': JSON},
    ).map(lambda document: json.dumps(document).encode()),
)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(HEADERS, BODIES, st.sampled_from(list(CallKind)), st.text(max_size=20))
def test_parse_never_raises_and_its_results_are_within_bounds(headers, body, kind, backend):
    raw = RawRequest('id', kind, backend or 'b', 'POST', '/x', headers, body)
    parsed = parse_request(raw, 100.0)
    if not isinstance(parsed, Success):
        assert parsed.failure().status == 400
        assert parsed.failure().outcome == 'not-run'
        return
    call = parsed.unwrap()
    assert 100 < call.deadline_seconds <= 700
    assert call.tokens_estimate >= 1
    if kind is CallKind.generate:
        assert set(json.loads(call.body)) == {'prompt', 'max_tokens'}


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        pass

    def abortConnection(self):
        self.disconnecting = True


def make_site(clock, ran, max_connections=10):
    def handler(request, answer, argument):
        answer.send_json({'argument': argument})

    handlers = RouteHandlers(
        lambda raw, http: ran.append(raw), print, handler, handler, handler, handler
    )
    return BoundedSite(CallersResource(handlers), clock, max_connections, 1000)


def connect(site):
    channel = site.buildProtocol(None)
    if channel is not None:
        channel.makeConnection(Transport())
    return channel


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=60), max_size=6), st.booleans())
def test_random_bytes_on_the_caller_port_run_at_most_one_request(chunks, valid_first_line):
    clock, ran = Clock(), []
    channel = connect(make_site(clock, ran))
    if valid_first_line:
        channel.dataReceived(b'POST /v1/backends/b/generate HTTP/1.1\r\n')
    for chunk in chunks:
        if not channel.transport.disconnecting:
            channel.dataReceived(chunk)
    clock.advance(REQUEST_TIMEOUT_SECONDS)
    assert len(ran) <= 1


def test_oversized_body_is_refused_before_it_is_read():
    clock, ran = Clock(), []
    channel = connect(make_site(clock, ran))
    head = b'POST /v1/backends/b/generate HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n'
    channel.dataReceived(head)
    assert channel.transport.value().startswith(b'HTTP/1.1 413')
    assert b'"not-run"' in channel.transport.value()
    assert channel.transport.disconnecting
    assert not ran


def test_oversized_chunked_body_is_refused_while_it_arrives():
    clock, ran = Clock(), []
    channel = connect(make_site(clock, ran))
    head = b'POST /v1/backends/b/generate HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    channel.dataReceived(head + b'800\r\n' + b'x' * 0x800 + b'\r\n')
    assert channel.transport.value().startswith(b'HTTP/1.1 413')
    channel.dataReceived(b'0\r\n\r\n')
    assert not ran


def test_connections_over_the_limit_are_refused_and_slow_ones_are_dropped():
    clock = Clock()
    site = make_site(clock, [], max_connections=5)
    channels = [connect(site) for _ in range(8)]
    assert [channel is None for channel in channels] == [False] * 5 + [True] * 3
    # Each sends one byte per second and never finishes its request.
    for _ in range(int(REQUEST_TIMEOUT_SECONDS)):
        for channel in channels[:5]:
            if not channel.transport.disconnecting:
                channel.dataReceived(b'G')
        clock.advance(1)
    assert all(channel.transport.disconnecting for channel in channels[:5])


def test_later_request_that_never_ends_is_dropped_like_the_first():
    clock, ran = Clock(), []
    channel = connect(make_site(clock, ran))
    channel.dataReceived(b'GET /v1/unknown HTTP/1.1\r\nHost: x\r\n\r\n')
    assert channel.transport.value().startswith(b'HTTP/1.1 404')
    clock.advance(1)
    for _ in range(int(REQUEST_TIMEOUT_SECONDS) + 1):
        if not channel.transport.disconnecting:
            channel.dataReceived(b'G')
        clock.advance(1)
    assert channel.transport.disconnecting
