"""Connections give way to others as the budget of their process decides, and write large bodies."""

from twisted.internet.task import Clock

from jackdawsail.budget.limits import BudgetLimits
from jackdawsail.budget.process_budget import ProcessBudget
from jackdawsail.http1.client import WRITE_BYTES, ClientChannel
from jackdawsail.http1.messages import HttpAnswer, make_request
from jackdawsail.http1.server import ServerFactory
from jackdawsail.http1.server_options import ServerOptions
from test.http1.ends import Transport

HELD_BYTES = 200_000
GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
OK = HttpAnswer(200, b'ok')


class Server:
    """Connections that share a budget, and the exchanges of their requests."""

    def __init__(self, connections=8):
        self.clock = Clock()
        self.exchanges = []
        self.budget = ProcessBudget(BudgetLimits(HELD_BYTES, connections), self.clock.seconds)
        options = ServerOptions(self.exchanges.append, self.clock, budget=self.budget)
        self.factory = ServerFactory(options)

    def connect(self):
        connection = self.factory.buildProtocol(None)
        if connection is not None:
            connection.makeConnection(Transport())
        return connection


def post(size_bytes, sent_bytes):
    head = f'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {size_bytes}\r\n\r\n'
    return head.encode() + bytes(sent_bytes)


def test_slow_body_is_refused_for_a_new_one_and_has_not_run():
    server = Server()
    slow, fresh = server.connect(), server.connect()
    slow.dataReceived(post(120_000, 119_999))
    server.clock.advance(1)
    fresh.dataReceived(post(120_000, 120_000))
    assert slow.transport.value().startswith(b'HTTP/1.1 503')
    assert b'Retry-After: 1' in slow.transport.value()
    assert slow.transport.closed
    assert [len(exchange.request.body) for exchange in server.exchanges] == [120_000]


def test_body_that_does_not_fit_beside_served_ones_is_refused_before_it_is_read():
    server = Server()
    server.connect().dataReceived(post(120_000, 120_000))
    late = server.connect()
    late.dataReceived(post(120_000, 0))
    assert late.transport.value().startswith(b'HTTP/1.1 503')
    server.exchanges[0].answer(OK)
    again = server.connect()
    again.dataReceived(post(120_000, 120_000))
    assert len(server.exchanges) == 2


def test_next_request_waits_until_the_caller_reads():
    # Requests of a caller that reads nothing piled up their answers without a limit.
    server = Server()
    connection = server.connect()
    connection.dataReceived(GET)
    connection.backlog.pauseProducing()
    server.exchanges[0].answer(OK)
    connection.dataReceived(GET * 2)
    assert len(server.exchanges) == 1
    connection.backlog.resumeProducing()
    assert len(server.exchanges) == 2
    server.exchanges[1].answer(OK)
    assert len(server.exchanges) == 3


def test_what_waits_behind_an_unread_answer_is_counted_and_reading_stops():
    server = Server()
    connection = server.connect()
    connection.dataReceived(GET)
    connection.backlog.pauseProducing()
    connection.dataReceived(GET * 3000)
    server.exchanges[0].answer(OK)
    assert connection.holding.unfinished_bytes == len(GET) * 3000
    assert connection.transport.producerState == 'paused'


def test_caller_that_reads_nothing_is_aborted_for_others():
    server = Server()
    unread = server.connect()
    unread.dataReceived(GET)
    unread.backlog.pauseProducing()
    server.exchanges[0].start(200, b'', ())
    server.exchanges[0].write(bytes(150_000))
    other = server.connect()
    other.dataReceived(post(120_000, 100_000))
    assert unread.transport.aborted
    assert not other.transport.value()


def test_closed_connection_whose_caller_does_not_read_is_aborted_for_others():
    # A caller that never takes the last bytes of an answer kept its descriptor for ever.
    server = Server(connections=4)
    unread = server.connect()
    unread.close()
    server.clock.advance(60)
    assert not unread.transport.aborted
    assert [server.connect() for _ in range(3)][-1] is not None
    assert server.connect() is None
    assert unread.transport.aborted


def test_idle_connection_is_closed_before_connections_run_out():
    server = Server(connections=4)
    idle = [server.connect() for _ in range(4)]
    assert server.connect() is None
    server.clock.advance(0)
    assert [connection.transport.closed for connection in idle] == [True, False, False, False]


class PullTransport(Transport):
    """A transport that asks its producer for more when the test says so."""

    producer = None

    def registerProducer(self, producer, streaming):
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self):
        self.producer = None


class Owner:
    def __init__(self):
        self.events = []

    def answer_head(self, head):
        return True

    def answer_body(self, piece):
        pass

    def answer_complete(self):
        self.events.append('complete')

    def answer_failed(self, reason):
        self.events.append(reason)


def test_large_body_is_written_piece_by_piece_and_its_channel_is_not_reused_before():
    channel, owner = ClientChannel(), Owner()
    channel.makeConnection(PullTransport())
    body = bytes(range(256)) * 1024
    request = make_request(b'POST', 'h:1', b'/', body=body)
    channel.send(request, owner)
    assert len(channel.transport.value()) < 2 * WRITE_BYTES
    while channel.transport.producer:
        channel.transport.producer.resumeProducing()
    assert channel.transport.take_written().endswith(b'\r\n\r\n' + body)
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    assert owner.events == ['complete']
    assert channel.reusable

    channel.send(request, owner)
    channel.dataReceived(b'HTTP/1.1 413 No\r\nContent-Length: 0\r\n\r\n')
    assert owner.events == ['complete', 'complete']
    assert not channel.reusable
    assert channel.transport.aborted
