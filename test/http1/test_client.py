"""Broken, extra and foreign answers of upstreams are told apart from whole ones."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpRequest
from test.http1.ends import Transport

REQUEST = HttpRequest(b'GET', b'/', ((b'Host', b'h'),))
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class Owner:
    """Records what an answer's owner is told; ``foreign`` ids are passed over."""

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
        self.ends.append('whole')

    def answer_failed(self, reason):
        self.ends.append(reason)


def make_channel(owner, request=REQUEST):
    channel = ClientChannel('peer')
    channel.makeConnection(Transport())
    channel.send(request, owner)
    return channel


def end(channel, error):
    channel.connectionLost(Failure(error))


def test_a_whole_answer_leaves_a_channel_for_the_next():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(OK)
    assert (owner.body, owner.ends) == (b'ok', ['whole'])
    assert channel.reusable
    again = Owner()
    channel.send(REQUEST, again)
    channel.dataReceived(OK)
    assert again.ends == ['whole']


def test_the_next_request_may_be_sent_from_within_the_end_of_the_last():
    channel = make_channel(Owner())
    second = Owner()
    first = Owner()
    first.answer_complete = lambda: channel.send(REQUEST, second)
    channel._owner = first
    channel.dataReceived(OK)
    channel.dataReceived(OK)
    assert second.ends == ['whole']
    assert not channel.transport.aborted


def test_bytes_behind_an_answer_end_the_channel():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(OK + b'HTTP/1.1 200 OK\r\n')
    assert owner.ends == ['whole']
    assert not channel.reusable
    assert channel.transport.aborted


def test_bytes_that_come_later_on_an_idle_channel_end_it():
    channel = make_channel(Owner())
    channel.dataReceived(OK)
    channel.dataReceived(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
    assert channel.transport.aborted


def test_an_answer_to_an_earlier_request_is_passed_over():
    owner = Owner(foreign={b'old'})
    channel = make_channel(owner)
    extra = b'HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nContent-Length: 3\r\n\r\nold'
    channel.dataReceived(extra + OK[:10])
    channel.dataReceived(OK[10:])
    assert (owner.body, owner.ends) == (b'ok', ['whole'])
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
def test_an_answer_that_ends_early_is_broken(received, error, reason):
    owner = Owner()
    channel = make_channel(owner)
    if received:
        channel.dataReceived(received)
    end(channel, error)
    assert owner.ends == [reason]


def test_an_answer_without_a_length_ends_with_its_channel():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(b'HTTP/1.1 200 OK\r\n\r\nall of it')
    assert owner.ends == []
    end(channel, ConnectionDone())
    assert (owner.body, owner.ends) == (b'all of it', ['whole'])
    assert not channel.reusable


def test_bytes_that_are_no_answer_break_it():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(b'\x00\x01 what is this\r\n\r\n')
    assert owner.ends == [BreakReason.garbled]
    assert channel.transport.aborted


def test_an_upstream_that_closes_is_not_used_again_and_its_keep_time_is_noted():
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(
        b'HTTP/1.1 200 OK\r\nConnection: close\r\nKeep-Alive: timeout=7\r\nContent-Length: 0\r\n\r\n'
    )
    assert owner.ends == ['whole']
    assert not channel.reusable
    assert channel.keep.seconds == pytest.approx(7)


def test_a_cancelled_request_closes_the_channel_and_tells_its_owner_nothing():
    owner = Owner()
    channel = make_channel(owner)
    channel.cancel()
    assert channel.transport.aborted
    end(channel, ConnectionDone())
    assert owner.ends == []


@given(st.binary(max_size=80))
def test_no_bytes_raise_and_each_answer_ends_at_most_once(received):
    owner = Owner()
    channel = make_channel(owner)
    channel.dataReceived(received)
    end(channel, ConnectionDone())
    assert len(owner.ends) == 1
