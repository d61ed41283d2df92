"""Sends small requests and collects the complete answers, within limits on time and size."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest

TIME_CHECK_SECONDS = 0.1
NO_CONNECTION = 'no connection'
TOO_LATE = 'too late to be sent'
NOT_SENT = frozenset((NO_CONNECTION, TOO_LATE))  # reasons for which nothing was sent
MAX_BODY_BYTES = 4_194_304  # far above the largest piece or list of weights


@dataclass(frozen=True, slots=True)
class FetchLimits:
    """How long an answer may pause, how long all of it may take, and how long its body may be.

    A request that is not sent until ``send_by_seconds``, a time of the pool's clock, is not
    sent at all.
    """

    silent_seconds: float
    total_seconds: float
    body_bytes: int = MAX_BODY_BYTES
    send_by_seconds: float = math.inf


@dataclass(frozen=True, slots=True)
class FetchedAnswer:
    """A received answer with its complete body."""

    status: int
    body: bytes


DeferredAnswer = Deferred[Result[FetchedAnswer, str]]
FindFault = Callable[[FetchedAnswer], str]


def _no_fault(_answer: FetchedAnswer) -> str:
    return ''


class _AnswerCollector:
    """Collects one answer; fails once it exceeds one of its limits."""

    def __init__(self, pool: ChannelPool, limits: FetchLimits, find_fault: FindFault) -> None:
        self.done: DeferredAnswer = Deferred()
        self._pool = pool
        self._limits = limits
        self._find_fault = find_fault
        self._channel: ClientChannel | None = None
        self._status = 0
        self._body = bytearray()
        self._started_seconds = pool.clock.seconds()
        self._received_seconds = self._started_seconds
        self._timer: Any = pool.clock.callLater(TIME_CHECK_SECONDS, self._check_time)

    def send(self, channel: ClientChannel | None, request: HttpRequest) -> None:
        """Sends the request on a channel; None means that no connection could be made."""
        if self.done.called:
            if channel is not None:
                channel.close()
            return
        if channel is None:
            self._finish(Failure(NO_CONNECTION))
            return
        if self._pool.clock.seconds() > self._limits.send_by_seconds:
            self._pool.release(channel)
            self._finish(Failure(TOO_LATE))
            return
        self._channel = channel
        channel.send(request, self)

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Stores the status."""
        self._received_seconds = self._pool.clock.seconds()
        self._status = head.status
        return True

    def answer_body(self, piece: bytes) -> None:
        """Stores a piece of the body, up to the limit."""
        self._received_seconds = self._pool.clock.seconds()
        self._body += piece
        if len(self._body) > self._limits.body_bytes:
            self._give_up(f'body over {self._limits.body_bytes} bytes')

    def answer_complete(self) -> None:
        """Returns the channel to the pool and fires ``done`` with the answer.

        After a faulty answer the next one on the channel could be the one due now.
        """
        answer = FetchedAnswer(self._status, bytes(self._body))
        fault = self._find_fault(answer)
        if fault:
            self._give_up(fault)
            return
        if self._channel is not None:
            self._pool.release(self._channel)
        self._finish(Success(answer))

    def answer_failed(self, reason: BreakReason) -> None:
        """Fires ``done`` with the reason of the failure."""
        self._finish(Failure(str(reason)))

    def _check_time(self) -> None:
        now_seconds = self._pool.clock.seconds()
        silent_seconds = now_seconds - self._received_seconds
        if silent_seconds >= self._limits.silent_seconds:
            self._give_up(f'silent for {silent_seconds:.1f} s')
        elif now_seconds - self._started_seconds >= self._limits.total_seconds:
            self._give_up(f'not complete within {self._limits.total_seconds:.0f} s')
        else:
            self._timer = self._pool.clock.callLater(TIME_CHECK_SECONDS, self._check_time)

    def _give_up(self, reason: str) -> None:
        if self._channel is not None:
            self._channel.cancel()
        self._finish(Failure(reason))

    def _finish(self, outcome: Result[FetchedAnswer, str]) -> None:
        if self._timer.active():
            self._timer.cancel()
        if not self.done.called:
            self.done.callback(outcome)


def fetch(
    pool: ChannelPool,
    address: str,
    request: HttpRequest,
    limits: FetchLimits,
    find_fault: FindFault = _no_fault,
) -> DeferredAnswer:
    """Sends a request to ``host:port``; fires with the answer or with a failure reason.

    The limits on time are checked every ``TIME_CHECK_SECONDS``. An answer with an error
    status is a success. ``find_fault`` returns why a complete answer cannot belong to the
    request, or an empty string; such an answer is a failure and ends its connection.
    """
    collector = _AnswerCollector(pool, limits, find_fault)
    pool.acquire(address, lambda channel: collector.send(channel, request))
    return collector.done
