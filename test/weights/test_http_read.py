"""A paced read ends complete or failed, in bounded time and memory, whatever its source sends."""

import pytest
from returns.result import Failure, Success

from jackdawsail.http1.base_url import BaseUrl, parse_base_url
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import MAX_HEAD_BYTES
from jackdawsail.weights.http_read import (
    BODY_SECONDS,
    HEAD_TIMEOUT_SECONDS,
    PACE_BURST_BYTES,
    STALL_SECONDS,
    Pace,
    open_read,
)
from test.http1.ends import Reactor, close, reset

HEAD = b'HTTP/1.1 200 OK\r\n'
UNLIMITED = Pace(0, 0)


class Read:
    """One read from a source that the test drives; it accepts ``limit_bytes``."""

    def __init__(self, limit_bytes=1000, pace=UNLIMITED):
        self.reactor = Reactor()
        self.pool = ChannelPool(self.reactor, self.reactor)
        self.body, self.heads, self.ends = b'', [], []
        self.limit_bytes, self.pace = limit_bytes, pace
        request = BaseUrl('h:1', '').make_request('GET', '/x')
        self.read = open_read(self.pool, 'h:1', request)
        self.read.opened.addCallback(self.opened)
        self.channel = self.reactor.accept()

    def opened(self, head):
        self.heads.append(head)
        if isinstance(head, Success):
            self.read.read_body(self.add, self.pace).addCallback(self.ends.append)

    def add(self, piece):
        self.body += piece
        return len(self.body) <= self.limit_bytes

    def receive(self, *parts):
        for part in parts:
            if not self.channel.transport.aborted:
                self.channel.dataReceived(part)


@pytest.mark.parametrize(
    ('framing', 'body', 'end', 'outcome'),
    [
        (b'', b'all', close, Success(None)),
        (b'', b'half', reset, Failure('reset')),
        (b'Content-Length: 3\r\n', b'all', None, Success(None)),
        (b'Content-Length: 9\r\n', b'half', close, Failure('closed')),
        (b'Transfer-Encoding: chunked\r\n', b'3\r\nall\r\n0\r\n\r\n', None, Success(None)),
        (b'Transfer-Encoding: chunked\r\n', b'3\r\nall\r\n', close, Failure('closed')),
    ],
)
def test_body_ends_as_its_framing_says(framing, body, end, outcome):
    read = Read()
    read.receive(HEAD + framing + b'\r\n', body)
    if end is not None:
        end(read.channel)
    assert read.ends == [outcome]


def test_channel_of_a_complete_body_is_reused():
    read = Read()
    read.receive(HEAD + b'Content-Length: 3\r\n\r\nall')
    assert read.pool.acquire_idle('h:1') is read.channel


def test_head_without_an_end_is_given_up():
    read = Read()
    received_bytes = 0
    read.receive(HEAD)
    while not read.channel.transport.aborted and received_bytes < 2 * MAX_HEAD_BYTES:
        read.receive(b'X: ' + b'x' * 1000 + b'\r\n')
        received_bytes += 1005
    assert received_bytes <= MAX_HEAD_BYTES + 1005
    assert read.heads == [Failure('garbled')]


def test_missing_head_is_given_up():
    read = Read()
    read.reactor.advance(HEAD_TIMEOUT_SECONDS)
    assert read.heads == [Failure('no bytes in time')]
    assert read.channel.transport.aborted


def test_body_without_an_end_is_given_up():
    read = Read()
    read.receive(HEAD + b'\r\n', *[b'x' * 300] * 5)
    assert read.ends == [Failure('more bytes than asked for')]
    assert len(read.body) == 1200
    assert read.channel.transport.aborted


def test_body_that_comes_byte_by_byte_is_given_up():
    read = Read()
    read.receive(HEAD + b'\r\n')
    while not read.ends and read.reactor.seconds() < 2 * BODY_SECONDS:
        read.reactor.advance(STALL_SECONDS / 2)
        read.receive(b'x')
    assert read.ends == [Failure('no bytes in time')]


def test_body_that_comes_too_fast_is_read_at_its_pace():
    read = Read(limit_bytes=10**6, pace=Pace(8 * PACE_BURST_BYTES, 0))
    read.receive(HEAD + b'\r\n', b'x' * 2 * PACE_BURST_BYTES)
    assert read.channel.transport.producerState == 'paused'
    read.reactor.advance(1.0)
    assert read.channel.transport.producerState == 'producing'


@pytest.mark.parametrize(
    ('url', 'parsed'),
    [
        ('http://h', BaseUrl('h:80', '')),
        ('https://h/a/', BaseUrl('h:443', '/a', uses_tls=True)),
        ('http://127.0.0.1:9', BaseUrl('127.0.0.1:9', '')),
    ],
)
def test_urls_are_parsed(url, parsed):
    assert parse_base_url(url) == parsed
