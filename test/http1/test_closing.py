"""A whole request is answered though its connection is closed, over real sockets."""

import socket
import time
from contextlib import contextmanager
from types import SimpleNamespace

import pytest

from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import ServerFactory
from jackdawsail.http1.server_options import ServerOptions
from jackdawsail.proxy.draining import CLOSE_IDLE_AFTER_SECONDS, CallerDrain
from jackdawsail.site.document import CallerLimits
from test.proxy.test_endless_bytes import GIVE_UP_SECONDS, Caller, LiveReactor, live_world

GET = b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
CLOSING_GET = b'GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
OLD_GET = b'GET /a HTTP/1.0\r\nHost: h\r\n\r\n'
LONG = b'x' * 8 * 1024 * 1024  # more than the buffers of both sockets hold
SHORT_IDLE = CallerLimits(idle_seconds=0.05)
LONG_IDLE = CallerLimits(idle_seconds=5.0)


class Server:
    """A listening port whose requests the test answers; ``pending`` are those not answered."""

    def __init__(self, limits):
        self.reactor = LiveReactor()
        self.reactor.startRunning(installSignalHandlers=False)
        self.pending = []
        self.options = ServerOptions(self.pending.append, self.reactor, limits)
        self.factory = ServerFactory(self.options)
        self.port = self.reactor.listenTCP(0, self.factory, interface='127.0.0.1')

    @property
    def port_number(self):
        return self.port.getHost().port

    def connect(self, request=b''):
        caller = Caller(self.port_number, request)
        self.run_until(lambda: self.factory.open_count)
        return caller

    def run_until(self, condition):
        self.reactor.run_until(condition)

    def run(self, seconds):
        end_seconds = self.reactor.seconds() + seconds
        self.run_until(lambda: self.reactor.seconds() >= end_seconds)

    def next_exchange(self):
        self.run_until(lambda: self.pending)
        return self.pending.pop(0)

    def has_ended(self, caller):
        """Runs until the caller has seen the end of its connection."""
        self.run_until(lambda: not caller.is_alive())
        return True


@contextmanager
def live_server(limits=LONG_IDLE):
    server = Server(limits)
    try:
        yield server
    finally:
        server.port.stopListening()
        server.reactor.disconnectAll()
        server.reactor.iterate(0)


@pytest.mark.parametrize('asked', [CLOSING_GET, OLD_GET, GET])
def test_connection_ends_after_an_answer_that_its_caller_reads_slowly(asked):
    with live_server() as server:
        caller = server.connect(asked)
        exchange = server.next_exchange()
        # The last one is closed by a server that stops.
        server.options.closing = asked is GET
        exchange.answer(HttpAnswer(200, LONG))
        assert server.has_ended(caller)
        assert not caller.reset
        assert caller.received_bytes > len(LONG)
        assert server.factory.open_count == 0


def test_long_answer_without_a_length_ends_with_the_connection_of_an_old_caller():
    with live_server() as server:
        caller = server.connect(OLD_GET)
        exchange = server.next_exchange()
        exchange.start(200, b'OK', ())
        exchange.write(LONG)
        exchange.finish()
        assert server.has_ended(caller)
        assert caller.received_bytes > len(LONG)


def test_request_that_waits_in_the_kernel_when_its_connection_has_been_idle_is_answered():
    with live_server(SHORT_IDLE) as server:
        caller = server.connect()
        caller.connection.sendall(GET)
        # The process is held up for longer than the connection may be idle.
        time.sleep(2 * SHORT_IDLE.idle_seconds)
        server.run_until(lambda: server.pending or not caller.is_alive())
        assert server.pending
        server.next_exchange().answer(HttpAnswer(200, b'ok'))
        server.has_ended(caller)
        assert caller.answer.startswith(b'HTTP/1.1 200')


def test_request_that_waits_in_the_kernel_when_a_stop_closes_idle_connections_is_answered():
    with live_world() as (world, port):
        reactor = world.context.clock
        drain = CallerDrain(world.context, world.factory)
        drain.start()
        caller = Caller(port, b'')
        reactor.run_until(lambda: world.factory.open_count)
        started_seconds = reactor.seconds()
        reactor.run_until(
            lambda: reactor.seconds() > started_seconds + CLOSE_IDLE_AFTER_SECONDS - 0.15
        )
        assert world.factory.open_count
        caller.connection.sendall(b'GET /p/x HTTP/1.1\r\nHost: a.example\r\n\r\n')
        time.sleep(0.3)
        reactor.run_until(lambda: not caller.is_alive())
        assert caller.answer.startswith(b'HTTP/1.1 503')


def test_idle_connection_is_closed_though_its_process_was_held_up():
    with live_server(SHORT_IDLE) as server:
        caller = server.connect()
        time.sleep(2 * SHORT_IDLE.idle_seconds)
        assert server.has_ended(caller)
        assert caller.answer == b''
        assert not caller.reset


@pytest.mark.parametrize('new_limits', [SHORT_IDLE, CallerLimits(idle_seconds=0.2)])
def test_answer_outlasts_a_shorter_idle_time_that_comes_into_force_meanwhile(new_limits):
    with live_server() as server:
        caller = server.connect(GET)
        exchange = server.next_exchange()
        server.options.limits = new_limits
        server.run(3 * new_limits.idle_seconds)
        exchange.start(200, b'OK', ((b'Content-Length', b'4'),))
        exchange.write(b'ab')
        server.run(3 * new_limits.idle_seconds)
        exchange.write(b'cd')
        exchange.finish()
        server.has_ended(caller)
        assert caller.answer.endswith(b'abcd')
        assert not caller.reset


def test_long_answer_that_is_read_slowly_outlasts_the_idle_time():
    with live_server(SHORT_IDLE) as server:
        caller = Caller(server.port_number, GET, reads=False)
        server.next_exchange().answer(HttpAnswer(200, LONG))
        server.run(4 * SHORT_IDLE.idle_seconds)
        caller.start()
        assert server.has_ended(caller)
        assert caller.received_bytes > len(LONG)
        assert not caller.reset


def test_request_half_read_when_shorter_limits_come_into_force_is_answered():
    with live_server() as server:
        caller = server.connect(GET[:10])
        server.run(0.05)
        server.options.limits = CallerLimits(head_seconds=0.01, idle_seconds=0.01)
        server.run(0.05)
        caller.connection.sendall(GET[10:])
        server.next_exchange().answer(HttpAnswer(200, b'ok'))
        server.has_ended(caller)
        assert caller.answer.startswith(b'HTTP/1.1 200')


def test_requests_behind_another_one_are_answered_when_shorter_limits_come_into_force():
    with live_server() as server:
        caller = server.connect(GET * 3)
        for limits in (SHORT_IDLE, CallerLimits(idle_seconds=0.01), SHORT_IDLE):
            exchange = server.next_exchange()
            server.options.limits = limits
            server.run(0.1)
            exchange.answer(HttpAnswer(200, b'ok'))
        assert server.has_ended(caller)
        assert caller.answer.count(b'HTTP/1.1 200') == 3
        assert not caller.reset


def test_answer_that_closes_is_whole_though_a_further_request_follows():
    with live_server() as server:
        caller = Caller(server.port_number, GET * 2, reads=False)
        exchange = server.next_exchange()
        server.options.closing = True
        exchange.answer(HttpAnswer(200, b'ok'))
        server.run_until(lambda: not server.factory.open_count)
        assert not server.pending
        caller.start()
        caller.join(GIVE_UP_SECONDS)
        assert caller.answer.endswith(b'ok')


def test_long_answer_that_closes_is_whole_though_unread_bytes_follow_its_request():
    with live_server() as server:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(GIVE_UP_SECONDS)
        connection.connect(('127.0.0.1', server.port_number))
        connection.sendall(CLOSING_GET)
        exchange = server.next_exchange()
        connection.sendall(GET)
        exchange.answer(HttpAnswer(200, b'x' * 50_000))
        server.run(0.2)
        received = b''
        while not received.endswith(b'x' * 50_000):
            piece = connection.recv(65_536)
            assert piece
            received += piece
            server.reactor.iterate(0)


def test_connections_that_wait_to_be_accepted_when_a_port_closes_are_answered():
    with live_server() as server:
        # One connection in a turn of the reactor, as usual.
        server.connect()
        callers = [Caller(server.port_number, GET) for _ in range(5)]
        context = SimpleNamespace(refusing=False, running=0)
        CallerDrain(context, server.factory, port=server.port)._refuse()
        for _ in callers:
            server.next_exchange().answer(HttpAnswer(200, b'ok'))
        server.run_until(lambda: all(caller.answer for caller in callers))
        assert all(caller.answer.startswith(b'HTTP/1.1 200') for caller in callers)


def test_refusal_of_a_long_request_reaches_a_caller_that_is_still_sending_it():
    with live_server(CallerLimits(body_bytes=1000)) as server:
        head = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n' % len(LONG)
        caller = Caller(server.port_number, head + LONG[:300_000], reads=False)
        server.run(0.1)
        caller.start()
        assert server.has_ended(caller)
        assert caller.answer.startswith(b'HTTP/1.1 413')
