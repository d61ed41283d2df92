"""A fetched answer is complete or a failure, and bounded in time and size."""

import pytest
from returns.result import Failure, Success

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.fetch import FetchedAnswer, FetchLimits, fetch
from jackdawsail.http1.messages import make_request
from test.http1.ends import Reactor, close, reset

LIMITS = FetchLimits(silent_seconds=1.0, total_seconds=5.0, body_bytes=1000)


class Call:
    """One fetch over a connection that the test drives."""

    def __init__(self):
        self.reactor = Reactor()
        self.outcomes = []
        pool = ChannelPool(self.reactor, self.reactor)
        request = make_request(b'GET', 'h:1', b'/')
        fetch(pool, 'h:1', request, LIMITS).addCallback(self.outcomes.append)
        self.channel = self.reactor.accept()

    def receive(self, received):
        if not self.channel.transport.aborted:
            self.channel.dataReceived(received)


@pytest.mark.parametrize(('end', 'is_complete'), [(close, True), (reset, False)])
def test_answer_that_ends_with_its_connection_is_complete_unless_it_is_reset(end, is_complete):
    call = Call()
    call.receive(b'HTTP/1.1 200 OK\r\n\r\nall')
    end(call.channel)
    (outcome,) = call.outcomes
    assert outcome == (Success(FetchedAnswer(200, b'all')) if is_complete else Failure('reset'))


@pytest.mark.parametrize('framing', [b'Content-Length: 9', b'Transfer-Encoding: chunked'])
def test_answer_that_is_shorter_than_its_framing_says_is_a_failure(framing):
    call = Call()
    call.receive(b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n\r\n3\r\nall')
    close(call.channel)
    assert call.outcomes == [Failure('closed')]


def test_body_without_an_end_is_given_up_at_its_limit():
    call = Call()
    call.receive(b'HTTP/1.1 200 OK\r\n\r\n')
    for _ in range(20):
        call.receive(b'x' * 100)
    assert call.outcomes == [Failure('body over 1000 bytes')]
    assert call.channel.transport.aborted


def test_body_that_comes_byte_by_byte_is_given_up_at_the_time_limit():
    call = Call()
    call.receive(b'HTTP/1.1 200 OK\r\n\r\n')
    for _ in range(60):
        call.reactor.advance(0.1)
        call.receive(b'x')
    assert call.outcomes == [Failure('not complete within 5 s')]
    assert call.channel.transport.aborted


def test_silence_is_given_up():
    call = Call()
    call.receive(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf')
    for _ in range(11):
        call.reactor.advance(0.1)
    (outcome,) = call.outcomes
    assert outcome.failure().startswith('silent for')
    assert call.channel.transport.aborted
