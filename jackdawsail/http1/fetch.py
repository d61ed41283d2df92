"""Whole answers to small calls: connect, send, collect, give up when it gets silent."""

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest

WATCH_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """An answer with its whole body."""

    status: int
    body: bytes


Fetched = Deferred[Result[FetchedAnswer, str]]


class _Collector:
    """Collects one answer; ``silent_seconds`` without a byte end it."""

    def __init__(self, pool: ChannelPool, silent_seconds: float) -> None:
        self.done: Fetched = Deferred()
        self._pool = pool
        self._silent_seconds = silent_seconds
        self._channel: ClientChannel | None = None
        self._status = 0
        self._pieces: list[bytes] = []
        self._heard_seconds = pool.clock.seconds()
        self._timer: Any = pool.clock.callLater(WATCH_SECONDS, self._watch)

    def send(self, channel: ClientChannel | None, request: HttpRequest) -> None:
        """Sends the request once there is a channel."""
        if self.done.called:
            if channel is not None:
                channel.close()
            return
        if channel is None:
            self._end(Failure('no connection'))
            return
        self._channel = channel
        channel.send(request, self)

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Takes the head."""
        self._heard_seconds = self._pool.clock.seconds()
        self._status = head.status
        return True

    def answer_body(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        self._heard_seconds = self._pool.clock.seconds()
        self._pieces.append(piece)

    def answer_complete(self) -> None:
        """Ends with the answer."""
        channel = self._channel
        if channel is not None:
            self._pool.release(channel)
        self._end(Success(FetchedAnswer(self._status, b''.join(self._pieces))))

    def answer_failed(self, reason: BreakReason) -> None:
        """Ends without one."""
        self._end(Failure(str(reason)))

    def _watch(self) -> None:
        silent_seconds = self._pool.clock.seconds() - self._heard_seconds
        if silent_seconds < self._silent_seconds:
            self._timer = self._pool.clock.callLater(WATCH_SECONDS, self._watch)
            return
        if self._channel is not None:
            self._channel.cancel()
        self._end(Failure(f'silent for {silent_seconds:.1f} s'))

    def _end(self, outcome: Result[FetchedAnswer, str]) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(outcome)


def fetch(pool: ChannelPool, address: str, request: HttpRequest, silent_seconds: float) -> Fetched:
    """Sends a request to ``host:port`` and returns its whole answer, or why there is none."""
    collector = _Collector(pool, silent_seconds)
    channel = pool.acquire_idle(address)
    if channel is None:
        pool.connect(address, lambda made: collector.send(made, request))
    else:
        collector.send(channel, request)
    return collector.done


def make_request(method: bytes, address: str, target: bytes, body: bytes = b'') -> HttpRequest:
    """Makes a small request of our own."""
    headers = [(b'Host', address.encode())]
    if body or method in {b'PUT', b'POST'}:
        headers.append((b'Content-Length', str(len(body)).encode()))
        headers.append((b'Content-Type', b'application/json'))
    return HttpRequest(method, target, tuple(headers), body)
