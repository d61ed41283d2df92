"""Requests are read whole and in one way only; answers never seem whole when they are not."""

import pytest
from twisted.internet.task import Clock

from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import ServerFactory, ServerOptions
from jackdawsail.site.document import CallerLimits
from test.http1.ends import Transport

LIMITS = CallerLimits(head_bytes=400, body_bytes=20, head_seconds=1.0, idle_seconds=5.0)
GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'


class Side:
    """One accepted connection and the exchanges that came on it."""

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

    def lose(self):
        from twisted.internet.error import ConnectionDone
        from twisted.python.failure import Failure

        self.connection.connectionLost(Failure(ConnectionDone()))


def test_a_request_in_pieces_is_handed_over_whole():
    side = Side()
    request = b'POST /a?b=1 HTTP/1.1\r\nHost: h\r\nX-Case: Y\r\nContent-Length: 3\r\n\r\nabc'
    side.receive(*(request[index : index + 1] for index in range(len(request))))
    (exchange,) = side.exchanges
    assert (exchange.request.method, exchange.request.target) == (b'POST', b'/a?b=1')
    assert exchange.request.body == b'abc'
    assert (b'X-Case', b'Y') in exchange.request.headers


def test_a_body_in_chunks_is_handed_over_whole():
    side = Side()
    side.receive(
        b'POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\n',
    )
    assert side.exchanges[0].request.body == b'abc'


def test_requests_on_one_connection_are_answered_in_turn():
    side = Side()
    side.receive(GET + GET)
    assert len(side.exchanges) == 1
    side.exchanges[0].answer(HttpAnswer(200, b'one'))
    assert len(side.exchanges) == 2
    side.exchanges[1].answer(HttpAnswer(200, b'two'))
    written = side.transport.taken()
    assert written.index(b'one') < written.index(b'two')
    assert not side.transport.closed


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
def test_what_could_be_read_in_two_ways_is_refused_and_the_connection_closed(request_bytes):
    side = Side()
    side.receive(request_bytes)
    assert side.exchanges == []
    assert side.transport.value().startswith((b'HTTP/1.1 400', b'HTTP/1.1 501'))
    assert side.transport.closed


def test_a_request_hidden_behind_a_refused_one_is_not_run():
    side = Side()
    side.receive(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'0\r\n\r\n' + GET
    )
    assert side.exchanges == []


def test_a_head_or_body_over_its_limit_is_refused():
    long_head = Side()
    long_head.receive(b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 500 + b'\r\n\r\n')
    assert long_head.transport.value().startswith(b'HTTP/1.1 431')
    long_body = Side()
    long_body.receive(b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 21\r\n\r\n')
    assert long_body.transport.value().startswith(b'HTTP/1.1 413')
    chunks = Side()
    chunks.receive(b'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n')
    chunks.receive(b'15\r\n' + b'x' * 21 + b'\r\n')
    assert chunks.transport.value().startswith(b'HTTP/1.1 413')


def test_a_slow_head_is_refused_and_an_idle_connection_closed():
    slow = Side()
    slow.receive(b'GET / HT')
    slow.clock.advance(1.1)
    assert slow.transport.value().startswith(b'HTTP/1.1 408')
    idle = Side()
    idle.clock.advance(4.9)
    assert not idle.transport.closed
    idle.clock.advance(0.2)
    assert idle.transport.closed
    assert idle.transport.value() == b''


def test_an_answer_that_breaks_off_breaks_the_connection():
    side = Side()
    side.receive(GET)
    side.exchanges[0].start(200, b'OK', ())
    side.exchanges[0].write(b'half')
    side.exchanges[0].abort()
    assert side.transport.aborted
    assert not side.transport.value().endswith(b'0\r\n\r\n')


def test_an_answer_shorter_than_its_length_breaks_the_connection():
    side = Side()
    side.receive(GET)
    side.exchanges[0].start(200, b'OK', ((b'Content-Length', b'9'),))
    side.exchanges[0].write(b'half')
    side.exchanges[0].finish()
    assert side.transport.aborted


def test_a_caller_that_leaves_is_noticed_once():
    side = Side()
    side.receive(GET)
    gone = []
    side.exchanges[0].on_disconnect = lambda: gone.append(1)
    side.lose()
    assert gone == [1]
    side.exchanges[0].write(b'late')
    side.exchanges[0].finish()


def test_a_stopping_side_makes_each_answer_the_last():
    side = Side()
    side.receive(GET)
    side.factory.options.closing = True
    side.exchanges[0].answer(HttpAnswer(200, b'x'))
    assert b'connection: close' in side.transport.value().lower()
    assert side.transport.closed


def test_a_caller_that_waits_for_permission_gets_it():
    side = Side()
    side.receive(
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n'
    )
    assert side.transport.taken().startswith(b'HTTP/1.1 100')
    side.receive(b'abc')
    assert side.exchanges[0].request.body == b'abc'


def test_the_factory_knows_which_connections_are_idle():
    side = Side()
    assert list(side.factory.idle()) == [side.connection]
    side.receive(GET)
    assert list(side.factory.idle()) == []
    side.exchanges[0].answer(HttpAnswer(200))
    assert list(side.factory.idle()) == [side.connection]
    side.lose()
    assert side.factory.open_count == 0
