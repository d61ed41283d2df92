"""Upstreams and callers that send without end, over real sockets: each reader stays bounded."""

import socket
import threading
from contextlib import contextmanager

import pytest
from returns.result import Failure
from twisted.internet.selectreactor import SelectReactor

from jackdawsail import events
from jackdawsail.http1.fetch import FetchLimits, fetch
from jackdawsail.http1.messages import make_request
from jackdawsail.http1.server import ServerFactory
from jackdawsail.http1.server_options import ServerOptions
from jackdawsail.site.document import CallerLimits
from test.proxy.world import MODEL_SERVICE, PLAIN, STREAM, STREAM_HEADERS, World
from test.site.documents import make_route

BLOCK = b'x' * 65_536
MOST_SENT_BYTES = 256 * 1024 * 1024
# What a reader keeps at most, and the socket buffers of both ends.
BOUNDED_BYTES = 32 * 1024 * 1024
GIVE_UP_SECONDS = 30.0
HEAD = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nWeight-Versions: 1\r\n'
REFUSAL = b'HTTP/1.1 503 Full\r\nAttempt-Id: a1\r\nNot-Executed: 1\r\n\r\n'
SHORT = make_route('short', path_prefix='/short/', time_limit_seconds=1.0)


class LiveReactor(SelectReactor):
    """A reactor of one test, which never becomes the process's reactor."""

    def advance(self, _seconds):
        """Does nothing: time passes by itself."""

    def run_until(self, condition):
        end_seconds = self.seconds() + GIVE_UP_SECONDS
        while not condition():
            assert self.seconds() < end_seconds, 'not bounded in time'
            self.iterate(0.01)


class Peer(threading.Thread):
    """Sends ``prefix`` once and ``block`` until its connection ends; counts the sent bytes."""

    def __init__(self, prefix, block, connection=None):
        super().__init__(daemon=True)
        self.prefix, self.block, self.sent_bytes = prefix, block, 0
        self.connection = connection
        self.listener = None if connection else socket.create_server(('127.0.0.1', 0))
        self.start()

    @property
    def port(self):
        return self.listener.getsockname()[1]

    def run(self):
        if self.connection is None:
            self.listener.settimeout(GIVE_UP_SECONDS)
            self.connection, _address = self.listener.accept()
            self.connection.settimeout(GIVE_UP_SECONDS)
            self.connection.recv(65_536)
        try:
            self.connection.sendall(self.prefix)
            while self.block and self.sent_bytes < MOST_SENT_BYTES:
                self.connection.sendall(self.block)
                self.sent_bytes += len(self.block)
        except OSError:
            return


class Caller(threading.Thread):
    """Sends a request and reads its answer to the end, or nothing at all."""

    def __init__(self, port, request, reads=True):
        super().__init__(daemon=True)
        self.connection = socket.create_connection(('127.0.0.1', port), GIVE_UP_SECONDS)
        self.connection.sendall(request)
        self.reads, self.answer, self.received_bytes, self.reset = reads, b'', 0, False
        if reads:
            self.start()

    def run(self):
        try:
            while received := self.connection.recv(65_536):
                self.received_bytes += len(received)
                self.answer = (self.answer + received)[:10_000]
        except OSError:
            self.reset = True


@contextmanager
def live_world(*peers, service=None):
    """An entry over real sockets, with one upstream for each peer."""
    reactor = LiveReactor()
    reactor.startRunning(installSignalHandlers=False)
    routes = [PLAIN, STREAM, SHORT]
    world = World(0, service, routes=routes, clock=reactor)
    for number, peer in enumerate(peers, start=1):
        world.register(number, address=f'127.0.0.1:{peer.port}')
    port = reactor.listenTCP(0, world.factory, interface='127.0.0.1')
    try:
        yield world, port.getHost().port
    finally:
        port.stopListening()
        reactor.disconnectAll()
        reactor.iterate(0)


def request(path, headers='', method='GET'):
    return (
        f'{method} {path} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n{headers}\r\n'.encode()
    )


@pytest.mark.parametrize(
    ('prefix', 'block'),
    [
        (HEAD, b'X-Header: ' + BLOCK[:1000] + b'\r\n'),
        (HEAD + b'X: ', BLOCK),
        (b'', BLOCK),
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
        (b'', b'HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 0\r\n\r\n' * 1000),
        (HEAD + b'Transfer-Encoding: chunked\r\n\r\n', BLOCK),
    ],
)
def test_head_without_an_end_ends_the_call(prefix, block):
    peer = Peer(prefix, block)
    with live_world(peer) as (world, port):
        caller = Caller(port, request('/p/x'))
        world.context.clock.run_until(lambda: caller.answer)
        assert caller.answer.startswith(b'HTTP/1.1 502')
        assert world.context.running == 0
    peer.join(GIVE_UP_SECONDS)
    assert peer.sent_bytes < BOUNDED_BYTES


def test_event_without_an_end_ends_the_stream(monkeypatch):
    ends = []
    monkeypatch.setattr(events, 'log', lambda _kind, **fields: ends.append(fields.get('end')))
    peer = Peer(HEAD + b'\r\nid: 1\ndata: x1\n\nid: 2\ndata: ', BLOCK)
    with live_world(peer, service=MODEL_SERVICE) as (world, port):
        caller = Caller(port, request('/stream/x', STREAM_HEADERS, 'POST'))
        world.context.clock.run_until(lambda: not caller.is_alive())
        assert caller.reset
        assert caller.answer.endswith(b'data: x1\n\n\r\n')
        assert 'broken event is too long' in ends
        assert world.context.running == 0
    peer.join(GIVE_UP_SECONDS)
    assert peer.sent_bytes < BOUNDED_BYTES


def test_refusal_without_an_end_is_answered_by_another_upstream():
    sound = b'HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok'
    for _ in range(2):
        endless = Peer(REFUSAL, BLOCK)
        with live_world(endless, Peer(sound, b'')) as (world, port):
            caller = Caller(port, request('/p/x'))
            world.context.clock.run_until(lambda caller=caller: caller.answer)
            assert caller.answer.startswith(b'HTTP/1.1 200')
        endless.connection and endless.join(GIVE_UP_SECONDS)
        assert endless.sent_bytes < BOUNDED_BYTES


def test_answer_without_an_end_is_kept_from_a_caller_that_does_not_read():
    peer = Peer(HEAD + b'\r\n', BLOCK)
    with live_world(peer) as (world, port):
        caller = Caller(port, request('/short/x'), reads=False)
        world.context.clock.run_until(lambda: peer.sent_bytes)
        world.context.clock.run_until(lambda: not world.context.running)
        caller.start()
        world.context.clock.run_until(lambda: not caller.is_alive())
        assert caller.reset
    peer.join(GIVE_UP_SECONDS)
    assert peer.sent_bytes < BOUNDED_BYTES


def test_answer_without_an_end_is_aborted_at_the_time_limit():
    peer = Peer(HEAD + b'\r\n', BLOCK[:1000])
    with live_world(peer) as (world, port):
        caller = Caller(port, request('/short/x'))
        world.context.clock.run_until(lambda: not caller.is_alive())
        assert caller.reset
        assert not caller.answer.endswith(b'0\r\n\r\n')
        assert world.context.running == 0


@pytest.mark.parametrize('block', [BLOCK, b'X: x\r\n' * 1000])
def test_fetched_answer_without_an_end_is_a_failure(block):
    prefix = b'HTTP/1.1 200 OK\r\n' + (b'\r\n' if block is BLOCK else b'')
    peer = Peer(prefix, block)
    with live_world() as (world, _port):
        address = f'127.0.0.1:{peer.port}'
        limits = FetchLimits(silent_seconds=5, total_seconds=20, body_bytes=1_000_000)
        outcomes = []
        fetched = fetch(world.context.pool, address, make_request(b'GET', address, b'/'), limits)
        fetched.addCallback(outcomes.append)
        world.context.clock.run_until(lambda: outcomes)
        assert isinstance(outcomes[0], Failure)
    peer.join(GIVE_UP_SECONDS)
    assert peer.sent_bytes < BOUNDED_BYTES


@pytest.mark.parametrize(
    ('prefix', 'block'),
    [
        (
            b'POST /p/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n',
            b'64\r\n' + b'x' * 100 + b'\r\n',
        ),
        (b'GET /p/x HTTP/1.1\r\n', b'X: x\r\n' * 1000),
        (b'', BLOCK),
    ],
)
def test_request_without_an_end_is_refused(prefix, block):
    with live_world() as (world, port):
        connection = socket.create_connection(('127.0.0.1', port))
        peer = Peer(prefix, block, connection)
        world.context.clock.run_until(lambda: not peer.is_alive())
        assert world.factory.open_count == 0
    assert peer.sent_bytes < BOUNDED_BYTES


def test_caller_that_sends_ahead_of_its_answers_is_not_read_on():
    reactor = LiveReactor()
    reactor.startRunning(installSignalHandlers=False)
    exchanges = []
    options = ServerOptions(exchanges.append, reactor, CallerLimits())
    port = reactor.listenTCP(0, ServerFactory(options), interface='127.0.0.1')
    connection = socket.create_connection(('127.0.0.1', port.getHost().port))
    peer = Peer(request('/p/x'), request('/p/x') * 1000, connection)
    reactor.run_until(lambda: exchanges)
    transport = exchanges[0]._connection.transport
    reactor.run_until(
        lambda: transport not in reactor.getReaders() or peer.sent_bytes > BOUNDED_BYTES
    )
    assert peer.sent_bytes < BOUNDED_BYTES
    assert len(exchanges) == 1
    port.stopListening()
    reactor.disconnectAll()
