"""Reads a bounded, paced HTTP body; failures are returned as values.

The owner of a read first gets the head, and then either reads the body or discards it.
"""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.clocks import Timeout
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest
from jackdawsail.weights.origin import ResponseHead, parse_retry_after
from jackdawsail.weights.pacing import TokenBucket

HEAD_TIMEOUT_SECONDS = 10.0
STALL_SECONDS = 5.0
BODY_SECONDS = 300.0  # of a whole chunk, also at the lowest pace of a link
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


class PacedRead:
    """One request and its answer; pauses the connection to keep within the rate.

    ``opened`` fires with the head, or with a failure if there is none within
    ``HEAD_TIMEOUT_SECONDS``.
    """

    def __init__(self, pool: ChannelPool) -> None:
        self.opened: Deferred[Result[HttpAnswerHead, str]] = Deferred()
        self._pool = pool
        self._clock = pool.clock
        self._channel: ClientChannel | None = None
        self._add_bytes: AddBytes | None = None
        self._ended: Deferred[BodyEnd] = Deferred()
        self._bucket: TokenBucket | None = None
        self._done = False
        self._pause = Timeout(self._clock, self._resume)
        self._silence = Timeout(self._clock, self._time_out)
        self._end = Timeout(self._clock, self._time_out)
        self._silence.start(HEAD_TIMEOUT_SECONDS)

    def send(self, channel: ClientChannel | None, request: HttpRequest) -> None:
        """Sends the request on a channel; None means that no connection could be made."""
        if self._done:
            if channel is not None:
                channel.close()
        elif channel is None:
            self._finish(Failure('no connection'))
        else:
            self._channel = channel
            channel.send(request, self)

    def read_body(self, add_bytes: AddBytes, pace: Pace) -> 'Deferred[BodyEnd]':
        """Passes the body to ``add_bytes`` at the allowed rate.

        Fires with success when the body is complete, and with a failure if it is cut off, if
        it stalls for ``STALL_SECONDS``, if it takes longer than ``BODY_SECONDS``, or once
        ``add_bytes`` returns False.
        """
        self._add_bytes = add_bytes
        if pace.bits_per_second > 0:
            rate = pace.bits_per_second / BITS_PER_BYTE
            self._bucket = TokenBucket(rate, PACE_BURST_BYTES, pace.started_seconds)
            self._limit_buffer()
        self._silence.start(STALL_SECONDS)
        self._end.start(BODY_SECONDS)
        return self._ended

    def discard_body(self) -> None:
        """Closes the connection, as the body is not wanted."""
        self._finish(Failure('discarded'))

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Fires ``opened``, whose callback reads or discards the body."""
        self.opened.callback(Success(head))
        return True

    def answer_body(self, piece: bytes) -> None:
        """Passes on a piece, and pauses the connection if it came too fast."""
        if self._done or self._add_bytes is None:
            return
        if not self._add_bytes(piece):
            self._finish(Failure('more bytes than asked for'))
            return
        self._silence.start(STALL_SECONDS)
        if self._bucket is None:
            return
        wait_seconds = self._bucket.take(len(piece), self._clock.seconds())
        if wait_seconds > 0 and not self._pause.is_running and self._channel is not None:
            self._channel.pause()
            self._pause.start(wait_seconds)

    def answer_complete(self) -> None:
        """Ends the read and returns the channel to the pool."""
        if self._channel is not None:
            if self._pause.is_running:
                self._channel.resume()
            self._pool.release(self._channel)
        self._finish(Success(None))

    def answer_failed(self, reason: BreakReason) -> None:
        """Ends the read with the reason of the failure."""
        self._finish(Failure(str(reason)))

    def _limit_buffer(self) -> None:
        """Limits the receive buffer, so that the kernel does not read ahead of the rate."""
        connection = getattr(getattr(self._channel, 'transport', None), 'socket', None)
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def _resume(self) -> None:
        if not self._done and self._channel is not None:
            self._silence.start(STALL_SECONDS)
            self._channel.resume()

    def _time_out(self) -> None:
        self._finish(Failure('no bytes in time'))

    def _finish(self, end: BodyEnd) -> None:
        if self._done:
            return
        self._done = True
        for timeout in (self._silence, self._pause, self._end):
            timeout.stop()
        if isinstance(end, Failure) and self._channel is not None:
            self._channel.cancel()
        if not self.opened.called:
            self.opened.callback(Failure(end.failure()))
        self._ended.callback(end)


def open_read(pool: ChannelPool, address: str, request: HttpRequest) -> PacedRead:
    """Sends a request to ``host:port``; its answer is read by the returned object."""
    pool.close_expired()
    paced_read = PacedRead(pool)
    pool.acquire(address, lambda channel: paced_read.send(channel, request))
    return paced_read


def read_head(head: HttpAnswerHead) -> ResponseHead:
    """Returns the status and the headers of an answer that are checked."""
    return ResponseHead(
        head.status,
        head.header(b'etag').decode('latin-1'),
        head.header(b'content-range').decode('latin-1'),
        parse_retry_after(head.header(b'retry-after').decode('latin-1')),
    )
