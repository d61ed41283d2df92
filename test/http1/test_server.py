"""The server refuses ambiguous requests and never lets an incomplete answer look complete."""

import pytest
from twisted.internet.task import Clock

from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import MAX_REQUEST_SECONDS, MAX_UNREAD_BYTES, ServerFactory
from jackdawsail.http1.server_options import MAX_BODY_BYTES, MAX_HEAD_BYTES, ServerOptions
from jackdawsail.site.document import CallerLimits
from test.http1.ends import Transport

LIMITS = CallerLimits(head_bytes=400, body_bytes=20, head_seconds=1.0, idle_seconds=5.0)
GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


class ServerHarness:
    """One accepted connection and the exchanges of its requests."""

    def __init__(self, limits=LIMITS):
        self.clock = Clock()
        self.exchanges = []
        options = ServerOptions(self.exchanges.append, self.clock, limits)
        self.factory = ServerFactory(options)
        self.connection = self.factory.buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def receive(self, *parts):
        for part in parts:
            self.connection.dataReceived(part)

    def lose_connection(self):
        from twisted.internet.error import ConnectionDone
        from twisted.python.failure import Failure

        self.connection.connectionLost(Failure(ConnectionDone()))


def test_request_received_byte_by_byte_is_handled_once_complete():
    server = ServerHarness()
    request = b'POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-Case: Y\r\nContent-Length: 3\r\n\r\nabc'
    server.receive(*(request[index : index + 1] for index in range(len(request))))
    (exchange,) = server.exchanges
    assert (exchange.request.method, exchange.request.target) == (b'POST', b'/a?b=1')
    assert exchange.request.body == b'abc'
    assert (b'X-Case', b'Y') in exchange.request.headers


def test_chunked_body_is_joined():
    server = ServerHarness()
    server.receive(
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n',
    )
    assert server.exchanges[0].request.body == b'abc'


def test_pipelined_requests_are_answered_in_order():
    server = ServerHarness()
    server.receive(GET + GET)
    assert len(server.exchanges) == 1
    server.exchanges[0].answer(HttpAnswer(200, b'one'))
    assert len(server.exchanges) == 2
    server.exchanges[1].answer(HttpAnswer(200, b'two'))
    written = server.transport.take_written()
    assert written.index(b'one') < written.index(b'two')
    assert not server.transport.closed


@pytest.mark.parametrize(
    'request_bytes',
    [
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc',
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: h\r\nBad Name: x\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
        b'nonsense\r\n\r\n',
    ],
)
def test_ambiguous_or_invalid_request_is_refused_and_the_connection_closed(request_bytes):
    server = ServerHarness()
    server.receive(request_bytes)
    assert server.exchanges == []
    assert server.transport.value().startswith((b'HTTP/1.1 400', b'HTTP/1.1 501'))
    assert server.transport.closed


def test_request_smuggled_behind_a_refused_one_is_not_run():
    server = ServerHarness()
    server.receive(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n' + GET
    )
    assert server.exchanges == []


def test_head_or_body_over_its_limit_is_refused():
    long_head = ServerHarness()
    long_head.receive(b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 500 + b'\r\n\r\n')
    assert long_head.transport.value().startswith(b'HTTP/1.1 431')
    long_body = ServerHarness()
    long_body.receive(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n')
    assert long_body.transport.value().startswith(b'HTTP/1.1 413')
    chunks = ServerHarness()
    chunks.receive(b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    chunks.receive(b'15\r\n' + b'x' * 21 + b'\r\n')
    assert chunks.transport.value().startswith(b'HTTP/1.1 413')


def test_slow_head_is_refused_and_idle_connection_is_closed():
    slow = ServerHarness()
    slow.receive(b'GET / HT')
    slow.clock.advance(1.1)
    assert slow.transport.value().startswith(b'HTTP/1.1 408')
    idle = ServerHarness()
    idle.clock.advance(4.9)
    assert not idle.transport.closed
    idle.clock.advance(0.2)
    assert idle.transport.closed
    assert idle.transport.value() == b''


def test_aborted_answer_aborts_the_connection():
    server = ServerHarness()
    server.receive(GET)
    server.exchanges[0].start(200, b'OK', ())
    server.exchanges[0].write(b'half')
    server.exchanges[0].abort()
    assert server.transport.aborted
    assert not server.transport.value().endswith(b'0\r\n\r\n')


def test_answer_shorter_than_its_length_aborts_the_connection():
    server = ServerHarness()
    server.receive(GET)
    server.exchanges[0].start(200, b'OK', ((b'Content-Length', b'9'),))
    server.exchanges[0].write(b'half')
    server.exchanges[0].finish()
    assert server.transport.aborted


def test_disconnect_of_the_caller_is_reported_once():
    server = ServerHarness()
    server.receive(GET)
    disconnects = []
    server.exchanges[0].on_disconnect = lambda: disconnects.append(1)
    server.lose_connection()
    assert disconnects == [1]
    server.exchanges[0].write(b'late')
    server.exchanges[0].finish()


def test_closing_server_closes_the_connection_after_each_answer():
    server = ServerHarness()
    server.receive(GET)
    server.factory.options.closing = True
    server.exchanges[0].answer(HttpAnswer(200, b'x'))
    assert b'connection: close' in server.transport.value().lower()
    assert server.transport.closed


def test_expect_100_continue_is_answered():
    server = ServerHarness()
    server.receive(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n'
    )
    assert server.transport.take_written().startswith(b'HTTP/1.1 100')
    server.receive(b'abc')
    assert server.exchanges[0].request.body == b'abc'


def test_factory_lists_idle_connections():
    server = ServerHarness()
    assert list(server.factory.idle()) == [server.connection]
    server.receive(GET)
    assert list(server.factory.idle()) == []
    server.exchanges[0].answer(HttpAnswer(200))
    assert list(server.factory.idle()) == [server.connection]
    server.lose_connection()
    assert server.factory.open_count == 0


def test_body_without_an_end_is_refused_though_the_site_sets_no_limit():
    server = ServerHarness(
        CallerLimits(head_bytes=0, body_bytes=0, head_seconds=0, idle_seconds=0)
    )
    server.receive(b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    chunk = b'100000\r\n' + b'x' * 0x100000 + b'\r\n'
    received_bytes = 0
    while not server.transport.closed and received_bytes < 2 * MAX_BODY_BYTES:
        server.receive(chunk)
        received_bytes += len(chunk)
    assert server.transport.take_written().startswith(b'HTTP/1.1 413')
    assert received_bytes <= MAX_BODY_BYTES + 2 * len(chunk)


def test_head_without_an_end_is_refused_though_the_site_sets_no_limit():
    server = ServerHarness(
        CallerLimits(head_bytes=0, body_bytes=0, head_seconds=0, idle_seconds=0)
    )
    server.receive(b'GET /a HTTP/1.1\r\n')
    for _ in range(MAX_HEAD_BYTES // 1000 + 1):
        server.receive(b'X: ' + b'x' * 1000 + b'\r\n')
    assert server.transport.take_written().startswith(b'HTTP/1.1 431')


def test_request_without_an_end_is_refused_in_time_though_the_site_sets_no_limit():
    server = ServerHarness(
        CallerLimits(head_bytes=0, body_bytes=0, head_seconds=0, idle_seconds=0)
    )
    server.receive(b'GET /a HTTP/1.1\r\nX: ')
    server.clock.advance(MAX_REQUEST_SECONDS + 1)
    assert server.transport.take_written().startswith(b'HTTP/1.1 408')


def test_caller_that_sends_without_end_ahead_of_its_answers_is_not_read_on():
    server = ServerHarness()
    server.receive(GET)
    received_bytes = 0
    while server.transport.producerState == 'producing' and received_bytes < 2 * MAX_UNREAD_BYTES:
        server.receive(GET * 10)
        received_bytes += len(GET) * 10
    assert received_bytes <= MAX_UNREAD_BYTES + len(GET) * 10
    answered = 0
    while len(server.exchanges) > answered:
        server.exchanges[answered].answer(HttpAnswer(200, b''))
        answered += 1
    assert answered == 1 + received_bytes // len(GET)
    assert server.transport.producerState == 'producing'


def test_what_follows_a_refused_request_is_dropped():
    server = ServerHarness()
    server.receive(b'GET / HTTP/1.1\r\n\r\n')
    for _ in range(10):
        server.receive(b'x' * 1000)
    assert not server.connection._core.trailing_data[0]


def test_long_request_does_not_count_as_sent_ahead_of_its_answer():
    server = ServerHarness(CallerLimits(body_bytes=2 * MAX_UNREAD_BYTES))
    length = MAX_UNREAD_BYTES + 10
    head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % length
    server.receive(head, b'x' * 10, b'x' * MAX_UNREAD_BYTES)
    server.receive(GET)
    assert len(server.exchanges) == 1
    assert server.transport.producerState == 'producing'


def test_many_requests_sent_ahead_are_answered_at_once_without_a_deep_stack():
    server = ServerHarness()
    server.connection.options.handler = lambda exchange: exchange.answer(HttpAnswer(200, b''))
    server.receive(GET * 1000)
    assert server.transport.value().count(b'HTTP/1.1 200') == 1000
