"""Sends small requests and collects the complete answers, with a timeout on silence."""

from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest

SILENCE_CHECK_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A received answer with its complete body."""

    status: int
    body: bytes


DeferredAnswer = Deferred[Result[FetchedAnswer, str]]


class _AnswerCollector:
    """Collects one answer; fails after ``silent_seconds`` without a received byte."""

    def __init__(self, pool: ChannelPool, silent_seconds: float) -> None:
        self.done: DeferredAnswer = Deferred()
        self._pool = pool
        self._silent_seconds = silent_seconds
        self._channel: ClientChannel | None = None
        self._status = 0
        self._pieces: list[bytes] = []
        self._received_seconds = pool.clock.seconds()
        self._timer: Any = pool.clock.callLater(SILENCE_CHECK_SECONDS, self._check_silence)

    def send(self, channel: ClientChannel | None, request: HttpRequest) -> None:
        """Sends the request on a channel; None means that no connection could be made."""
        if self.done.called:
            if channel is not None:
                channel.close()
            return
        if channel is None:
            self._finish(Failure('no connection'))
            return
        self._channel = channel
        channel.send(request, self)

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Stores the status."""
        self._received_seconds = self._pool.clock.seconds()
        self._status = head.status
        return True

    def answer_body(self, piece: bytes) -> None:
        """Stores a piece of the body."""
        self._received_seconds = self._pool.clock.seconds()
        self._pieces.append(piece)

    def answer_complete(self) -> None:
        """Returns the channel to the pool and fires ``done`` with the answer."""
        channel = self._channel
        if channel is not None:
            self._pool.release(channel)
        self._finish(Success(FetchedAnswer(self._status, b''.join(self._pieces))))

    def answer_failed(self, reason: BreakReason) -> None:
        """Fires ``done`` with the reason of the failure."""
        self._finish(Failure(str(reason)))

    def _check_silence(self) -> None:
        silent_seconds = self._pool.clock.seconds() - self._received_seconds
        if silent_seconds < self._silent_seconds:
            self._timer = self._pool.clock.callLater(SILENCE_CHECK_SECONDS, self._check_silence)
            return
        if self._channel is not None:
            self._channel.cancel()
        self._finish(Failure(f'silent for {silent_seconds:.1f} s'))

    def _finish(self, outcome: Result[FetchedAnswer, str]) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(outcome)


def fetch(
    pool: ChannelPool, address: str, request: HttpRequest, silent_seconds: float
) -> DeferredAnswer:
    """Sends a request to ``host:port``; fires with the answer or with a failure reason.

    Fails after ``silent_seconds`` without a received byte, checked every
    ``SILENCE_CHECK_SECONDS``. An answer with an error status is a success.
    """
    collector = _AnswerCollector(pool, silent_seconds)
    channel = pool.acquire_idle(address)
    if channel is None:
        pool.connect(address, lambda opened: collector.send(opened, request))
    else:
        collector.send(channel, request)
    return collector.done


def make_request(method: bytes, address: str, target: bytes, body: bytes = b'') -> HttpRequest:
    """Makes a request with a ``Host`` header; a body is sent as JSON."""
    headers = [(b'Host', address.encode())]
    if body or method in {b'PUT', b'POST'}:
        headers.append((b'Content-Length', str(len(body)).encode()))
        headers.append((b'Content-Type', b'application/json'))
    return HttpRequest(method, target, tuple(headers), body)
