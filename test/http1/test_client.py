"""The client channel recognizes incomplete, extra and foreign answers of upstreams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from jackdawsail.http1.client import MAX_HEAD_BYTES, BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpRequest
from test.http1.ends import Transport

REQUEST = HttpRequest(b'GET', b'/', ((b'Host', b'h'),))
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Owner:
    """An answer owner that records its calls; it rejects answers with an id in ``foreign``."""

    def __init__(self, foreign=()):
        self.foreign = foreign
        self.heads, self.body, self.ends = [], b'', []

    def answer_head(self, head):
        if head.header(b'attempt-id') in self.foreign:
            return False
        self.heads.append(head)
        return True

    def answer_body(self, piece):
        self.body += piece

    def answer_complete(self):
        self.ends.append('complete')

    def answer_failed(self, reason):
        self.ends.append(reason)


def make_channel(owner, request=REQUEST):
    channel = ClientChannel('peer')
    channel.makeConnection(Transport())
    channel.send(request, owner)
    return channel


def lose_connection(channel, error):
    channel.connectionLost(Failure(error))


def test_channel_is_reusable_after_a_complete_answer():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(OK)
    assert (owner.body, owner.ends) == (b'ok', ['complete'])
    assert channel.reusable
    second = Owner()
    channel.send(REQUEST, second)
    channel.dataReceived(OK)
    assert second.ends == ['complete']


def test_owner_may_send_the_next_request_in_answer_complete():
    channel = make_channel(Owner())
    second = Owner()
    first = Owner()
    first.answer_complete = lambda: channel.send(REQUEST, second)
    channel._owner = first
    channel.dataReceived(OK)
    channel.dataReceived(OK)
    assert second.ends == ['complete']
    assert not channel.transport.aborted


def test_trailing_bytes_after_an_answer_abort_the_channel():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(OK + b'HTTP/1.1 200 OK\r\n')
    assert owner.ends == ['complete']
    assert not channel.reusable
    assert channel.transport.aborted


def test_bytes_on_an_idle_channel_abort_it():
    channel = make_channel(Owner())
    channel.dataReceived(OK)
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    assert channel.transport.aborted


def test_answer_to_an_earlier_request_is_skipped():
    owner = Owner(foreign={b'old'})
    channel = make_channel(owner)
    earlier_answer = b'HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 3\r\n\r\nold'
    channel.dataReceived(earlier_answer + OK[:10])
    channel.dataReceived(OK[10:])
    assert (owner.body, owner.ends) == (b'ok', ['complete'])
    assert len(owner.heads) == 1


@pytest.mark.parametrize(
    ('received', 'error', 'reason'),
    [
        (b'', ConnectionDone(), BreakReason.closed),
        (b'', ConnectionLost(), BreakReason.reset),
        (OK[:-1], ConnectionDone(), BreakReason.closed),
        (b'HTTP/1.1 200 OK\r\n\r\nhalf', ConnectionLost(), BreakReason.reset),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
            ConnectionDone(),
            BreakReason.closed,
        ),
    ],
)
def test_answer_that_ends_early_is_reported_as_failed(received, error, reason):
    owner = Owner()
    channel = make_channel(owner)
    if received:
        channel.dataReceived(received)
    lose_connection(channel, error)
    assert owner.ends == [reason]


def test_answer_without_a_length_ends_when_the_connection_closes():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nall of it')
    assert owner.ends == []
    lose_connection(channel, ConnectionDone())
    assert (owner.body, owner.ends) == (b'all of it', ['complete'])
    assert not channel.reusable


def test_invalid_answer_is_reported_as_garbled():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(b'\x00\x01 what is this\r\n\r\n')
    assert owner.ends == [BreakReason.garbled]
    assert channel.transport.aborted


def test_connection_close_prevents_reuse_and_keep_alive_timeout_is_recorded():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n'
    )
    assert owner.ends == ['complete']
    assert not channel.reusable
    assert channel.keep_alive.seconds == pytest.approx(7)


def test_cancel_aborts_the_channel_without_a_call_to_the_owner():
    owner = Owner()
    channel = make_channel(owner)
    channel.cancel()
    assert channel.transport.aborted
    lose_connection(channel, ConnectionDone())
    assert owner.ends == []


@given(st.binary(max_size=80))
def test_arbitrary_bytes_never_raise_and_end_the_answer_once(received):
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(received)
    lose_connection(channel, ConnectionDone())
    assert len(owner.ends) == 1


@pytest.mark.parametrize(
    'endless',
    [
        b'X-Header: x\r\n',
        b'x',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 0\r\n\r\n',
    ],
)
def test_head_without_an_end_is_given_up(endless):
    owner = Owner(foreign={b'old'})
    channel = make_channel(owner)
    if not endless.startswith(b'HTTP'):
        channel.dataReceived(b'HTTP/1.1 200 OK\r\n')
    received_bytes = 0
    while not channel.transport.aborted and received_bytes < 4 * MAX_HEAD_BYTES:
        piece = endless * (1000 // len(endless))
        channel.dataReceived(piece)
        received_bytes += len(piece)
    assert owner.ends == [BreakReason.garbled]
    assert received_bytes <= MAX_HEAD_BYTES + 1000


def test_long_first_piece_of_a_body_does_not_count_as_head():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 2 * MAX_HEAD_BYTES)
    assert owner.ends == []
    assert len(owner.body) == 2 * MAX_HEAD_BYTES


@pytest.mark.parametrize(('foreign_answers', 'end'), [(4, 'complete'), (5, BreakReason.garbled)])
def test_few_answers_to_earlier_requests_are_passed_over(foreign_answers, end):
    owner = Owner(foreign={b'old'})
    channel = make_channel(owner)
    foreign = b'HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 0\r\n\r\n'
    channel.dataReceived(foreign * foreign_answers + OK)
    assert owner.ends == [end]
