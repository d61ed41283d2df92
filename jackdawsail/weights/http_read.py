"""Reads a bounded, paced HTTP body with Twisted; failures of a body are returned as values."""

import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IResponse

from jackdawsail.clocks import Clock
from jackdawsail.weights.origin import ResponseHead, parse_retry_after
from jackdawsail.weights.pacing import TokenBucket

HEAD_TIMEOUT_SECONDS = 10.0
STALL_SECONDS = 5.0
PERSISTENT_PER_HOST = 8
RECEIVE_BUFFER_BYTES = 65536
PACE_BURST_BYTES = 32768
BITS_PER_BYTE = 8

AddBytes = Callable[[bytes], bool]
BodyEnd = Result[None, str]


@dataclass(frozen=True, slots=True)
class Pace:
    """The rate limit of a body, counted from the start of its request; zero means no limit."""

    bits_per_second: float
    started_seconds: float


def make_pool(reactor: Any) -> HTTPConnectionPool:
    """Returns a pool of persistent connections to the sources."""
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = PERSISTENT_PER_HOST
    return pool


def open_response(
    agent: Agent, clock: Clock, url: str, headers: dict[str, str]
) -> 'Deferred[IResponse]':
    """Requests a URL; fails without a response head within ``HEAD_TIMEOUT_SECONDS``."""
    sent = Headers({name: [text] for name, text in headers.items()})
    requested: Any = agent.request(b'GET', url.encode(), sent, None)
    return requested.addTimeout(HEAD_TIMEOUT_SECONDS, clock)


def read_head(response: Any) -> ResponseHead:
    """Returns the status and the headers of a response that are checked."""
    return ResponseHead(
        response.code,
        _header(response, 'ETag'),
        _header(response, 'Content-Range'),
        parse_retry_after(_header(response, 'Retry-After')),
    )


def read_body(response: Any, clock: Clock, add_bytes: AddBytes, pace: Pace) -> 'Deferred[BodyEnd]':
    """Passes the body to ``add_bytes`` at the allowed rate.

    Fires with success when the body is complete, and with a failure if it is cut off, if
    it stalls for ``STALL_SECONDS``, or once ``add_bytes`` returns False.
    """
    reader = _BodyReader(clock, add_bytes, pace)
    response.deliverBody(reader)
    return reader.ended


def discard_body(response: Any) -> None:
    """Closes the connection of a response whose body is not wanted."""
    response.deliverBody(_DiscardingReader())


def _header(response: Any, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ''


class _DiscardingReader(protocol.Protocol):
    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        transport: Any = self.transport
        transport.loseConnection()


class _BodyReader(protocol.Protocol):
    """Reads one body and pauses the transport to keep within the rate."""

    transport: Any

    def __init__(self, clock: Clock, add_bytes: AddBytes, pace: Pace) -> None:
        self.ended: Deferred[BodyEnd] = Deferred()
        self._clock = clock
        self._add_bytes = add_bytes
        self._bucket: TokenBucket | None = None
        if pace.bits_per_second > 0:
            rate = pace.bits_per_second / BITS_PER_BYTE
            self._bucket = TokenBucket(rate, PACE_BURST_BYTES, pace.started_seconds)
        self._stall_call: Any = None
        self._resume_call: Any = None
        self._done = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self._limit_buffer()
        self._watch_stall()

    def dataReceived(self, received: bytes) -> None:  # noqa: N802 - Twisted's name
        if self._done:
            return
        if not self._add_bytes(received):
            self._finish(Failure('more bytes than asked for'))
            return
        self._watch_stall()
        if self._bucket is None:
            return
        wait_seconds = self._bucket.take(len(received), self._clock.seconds())
        if wait_seconds > 0 and self._resume_call is None:
            self.transport.pauseProducing()
            self._resume_call = self._clock.callLater(wait_seconds, self._resume)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        is_complete = reason.check(ResponseDone) is not None
        self._finish(Success(None) if is_complete else Failure(reason.getErrorMessage()))

    def _limit_buffer(self) -> None:
        """Limits the receive buffer, so that the kernel does not read ahead of the rate."""
        if self._bucket is None:
            return
        producer = getattr(self.transport, '_producer', None)
        connection = getattr(producer, 'socket', None)
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def _resume(self) -> None:
        self._resume_call = None
        if not self._done:
            self._watch_stall()
            self.transport.resumeProducing()

    def _watch_stall(self) -> None:
        if self._stall_call is not None and self._stall_call.active():
            self._stall_call.cancel()
        self._stall_call = self._clock.callLater(STALL_SECONDS, self._stalled)

    def _stalled(self) -> None:
        self._finish(Failure('no bytes in time'))

    def _finish(self, end: BodyEnd) -> None:
        if self._done:
            return
        self._done = True
        for timer in (self._stall_call, self._resume_call):
            if timer is not None and timer.active():
                timer.cancel()
        if not isinstance(end, Success):
            self.transport.loseConnection()
        self.ended.callback(end)
