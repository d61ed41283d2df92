"""One hand-over of a call to one upstream: connect, send, read the answer.

The task that owns the attempt is told of the head, of pieces of the body, and of
one end. Until the request is written nothing can have run; afterwards only the
upstream's own word says that it has not.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from jackdawsail.http1.client import BreakReason, ClientChannel
from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest
from jackdawsail.proxy.calls import DispatchDetails, UpstreamHead
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.routing.upstreams import Upstream

SUCCESS = range(200, 300)


class AttemptEnd(StrEnum):
    """How an attempt has failed."""

    unreached = 'unreached'
    broken = 'broken'
    silent = 'silent'


@dataclass(frozen=True, slots=True)
class ReceivedHead:
    """The head of the answer: as it came, and what it says."""

    raw: HttpAnswerHead
    meaning: UpstreamHead


class AttemptOwner(Protocol):
    """The task that a call's attempts belong to."""

    def attempt_sent(self, attempt: 'Attempt') -> None:
        """The request is being written; from now on it may run."""

    def attempt_head(self, attempt: 'Attempt', head: ReceivedHead) -> None:
        """The head of the answer has come."""

    def attempt_body(self, attempt: 'Attempt', piece: bytes) -> None:
        """A piece of the answer's body has come."""

    def attempt_whole(self, attempt: 'Attempt') -> None:
        """The answer is whole."""

    def attempt_failed(self, attempt: 'Attempt', end: AttemptEnd, reason: str) -> None:
        """No whole answer will come."""


class Attempt:
    """Owns one channel while the call is on it."""

    def __init__(
        self, parts: ProxyContext, owner: AttemptOwner, upstream: Upstream, attempt_id: str
    ) -> None:
        self.upstream = upstream
        self.weight_version = 0
        self.sent = False
        self.ended = False
        self.head: ReceivedHead | None = None
        self.begun_seconds = parts.clock.seconds()
        self.heard_seconds = self.begun_seconds
        self._parts = parts
        self._owner = owner
        self._attempt_id = attempt_id
        self._channel: ClientChannel | None = None
        self._connector: Any = None
        self._kept = False

    def begin(
        self, request: HttpRequest, handover: DispatchDetails, *, fresh_channel: bool
    ) -> None:
        """Sends the request on a kept channel, or on a new one."""
        address = self.upstream.registration.address
        headers = self._parts.codec.upstream_headers(request, handover)
        prepared = HttpRequest(request.method, request.target, headers, request.body)
        channel = None if fresh_channel else self._parts.pool.acquire_idle(address)
        if channel is not None:
            self._kept = True
            self._send(channel, prepared)
            return

        def opened(made: ClientChannel | None) -> None:
            self._opened(made, prepared)

        self._connector = self._parts.pool.connect(address, opened)

    def cancel(self) -> None:
        """Gives the attempt up; a running upstream learns it at once."""
        if self.ended:
            return
        self._finish()
        if self._channel is not None:
            self._channel.cancel()
        elif self._connector is not None:
            self._connector.disconnect()

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Takes the head; an answer to an earlier call on this channel is passed over."""
        meaning = self._parts.codec.decode_head(head)
        foreign = bool(meaning.attempt) and meaning.attempt != self._attempt_id
        unnamed = not meaning.attempt and head.status in SUCCESS
        if foreign or unnamed:
            return False
        self.heard_seconds = self._parts.clock.seconds()
        self.head = ReceivedHead(head, meaning)
        self._owner.attempt_head(self, self.head)
        return True

    def answer_body(self, piece: bytes) -> None:
        """Takes a piece of the body."""
        self.heard_seconds = self._parts.clock.seconds()
        if not self.ended:
            self._owner.attempt_body(self, piece)

    def answer_complete(self) -> None:
        """Takes the end of a whole answer; the channel may carry another call."""
        channel = self._channel
        if self.ended:
            return
        self._finish()
        if channel is not None:
            self._parts.pool.release(channel)
        self._owner.attempt_whole(self)

    def answer_failed(self, reason: BreakReason) -> None:
        """Takes the end of an answer that is not whole."""
        if self.ended:
            return
        self._finish()
        if not (self._kept and self.head is None):
            self.upstream.call_failed(self._parts.clock.seconds())
        self._owner.attempt_failed(self, AttemptEnd.broken, str(reason))

    def _opened(self, channel: ClientChannel | None, request: HttpRequest) -> None:
        if self.ended:
            if channel is not None:
                channel.close()
            return
        if channel is None:
            self._finish()
            self.upstream.call_failed(self._parts.clock.seconds())
            self._owner.attempt_failed(self, AttemptEnd.unreached, 'no connection')
            return
        self._send(channel, request)

    def _send(self, channel: ClientChannel, request: HttpRequest) -> None:
        self._channel = channel
        self.sent = True
        self.heard_seconds = self._parts.clock.seconds()
        self.upstream.call_sent(self.heard_seconds)
        self._owner.attempt_sent(self)
        channel.send(request, self)

    def _finish(self) -> None:
        self.ended = True
        if self.sent:
            self.upstream.calls -= 1
