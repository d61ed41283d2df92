"""A stopping entry serves its callers for a while and cuts none of them off."""

import socket

from twisted.internet.selectreactor import SelectReactor

from jackdawsail.proxy.draining import CallerDrain
from test.http1.ends import close
from test.proxy.test_calls import status_of
from test.proxy.world import World, answer


class Port:
    """A listening port that records that it was closed."""

    closed = False

    def doRead(self):
        pass

    def stopListening(self):
        self.closed = True


class Stopping:
    """An entry that has just started to stop."""

    def __init__(self):
        self.world = World()
        self.port = Port()
        self.ended = []
        self.drain = CallerDrain(self.world.context, self.world.factory, port=self.port)
        self.drain.start().addCallback(self.ended.append)

    def wait(self, seconds):
        for _ in range(round(seconds * 10)):
            self.world.reactor.advance(0.1)


def test_calls_are_served_at_first_and_each_answer_closes_its_connection():
    stopping = Stopping()
    stopping.wait(2)
    caller = stopping.world.call()
    answer(stopping.world.accept())
    assert status_of(caller) == 200
    assert caller.closed
    assert not stopping.port.closed


def test_a_call_that_might_not_end_in_time_is_refused_without_being_sent():
    stopping = Stopping()
    stopping.wait(3)
    assert stopping.port.closed
    late = stopping.world.call(attempt='a2')
    assert status_of(late) == 503
    assert b'retry-after' in late.value().lower()
    assert stopping.world.reactor.pending_connects == []


def test_the_entry_ends_when_its_last_call_has_ended():
    stopping = Stopping()
    stopping.wait(2)
    caller = stopping.world.call('/once/x', method='POST')
    channel = stopping.world.accept()
    stopping.wait(1.5)
    assert stopping.ended == []
    answer(channel)
    close(caller.connection)
    stopping.wait(0.2)
    assert stopping.ended == [None]


def test_connections_that_wait_to_be_accepted_are_answered_and_not_reset():
    stopping = Stopping()
    reactor = SelectReactor()
    stopping.drain.port = reactor.listenTCP(0, stopping.world.factory, interface='127.0.0.1')
    callers = []
    stopping.wait(2.7)
    for number in range(5):
        caller = socket.create_connection(stopping.drain.port.socket.getsockname())
        caller.sendall(
            f'GET /p/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a{number}\r\n\r\n'.encode()
        )
        caller.settimeout(5)
        callers.append(caller)
    for _ in range(5):
        stopping.wait(0.1)
        reactor.iterate(0.01)
    answers = [caller.recv(4096) for caller in callers]
    for caller in callers:
        caller.close()
    reactor.iterate(0.01)
    assert [answer.split()[1:2] for answer in answers] == [[b'503']] * 5
    assert all(b'retry-after' in answer.lower() for answer in answers)
