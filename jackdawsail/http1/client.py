"""The calling side of HTTP/1.1, on the ``h11`` library.

A channel carries one request at a time. It may be kept for another only after a
whole answer with nothing behind it. Its owner is told of the head, each piece of
the body, and one end: whole, or broken with a reason.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone

from jackdawsail.http1.messages import HttpAnswerHead, HttpRequest

MAX_HEAD_BYTES = 65_536  # four times the largest head that the callers' limits allow


class BreakReason(StrEnum):
    """Why an answer broke off."""

    refused = 'refused'
    closed = 'closed'
    reset = 'reset'
    garbled = 'garbled'
    silent = 'silent'


class AnswerOwner(Protocol):
    """The task that waits for an answer."""

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Takes the head; False if this answer belongs to another request."""

    def answer_body(self, piece: bytes) -> None:
        """Takes a piece of the body."""

    def answer_complete(self) -> None:
        """The answer is complete."""

    def answer_failed(self, reason: BreakReason) -> None:
        """The answer will not come, or not wholly."""


@dataclass(slots=True)
class KeepTime:
    """How long the other side keeps an idle channel, as it last said; 0 if it did not."""

    seconds: float = 0


class ClientChannel(protocol.Protocol):
    """One connection to an upstream."""

    transport: Any

    def __init__(self, peer: str = '') -> None:
        self.peer = peer
        self.keep = KeepTime()
        self.reusable = False
        self.requests = 0
        self.lost = False
        self._core = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._owner: AnswerOwner | None = None
        self._request: HttpRequest | None = None
        self._skipping = False

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Sends small requests without delay."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: HttpRequest, owner: AnswerOwner) -> None:
        """Sends a whole request; the headers must frame its body."""
        self._owner = owner
        self._request = request
        self.reusable = False
        self.requests += 1
        self.transport.write(self._encode(request))

    def cancel(self) -> None:
        """Gives the request up; the upstream learns it by the closed channel."""
        self._owner = None
        self.transport.abortConnection()

    def close(self) -> None:
        """Closes an idle channel."""
        self.transport.loseConnection()

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Reads on; bytes that belong to no request end the channel."""
        if self._owner is None:
            self._drop()
            return
        try:
            self._core.receive_data(received)
            self._read()
        except h11.RemoteProtocolError:
            self._break(BreakReason.garbled)
            self._drop()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Ends an answer without a length, or breaks a waiting one off."""
        self.lost = True
        self.reusable = False
        if self._owner is None:
            return
        if not reason.check(ConnectionDone):
            self._break(BreakReason.reset)
            return
        try:
            self._core.receive_data(b'')
            self._read()
        except h11.RemoteProtocolError:
            self._break(BreakReason.closed)
        self._break(BreakReason.closed)

    def _encode(self, request: HttpRequest) -> bytes:
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        parts = [self._core.send(head)]
        if request.body:
            parts.append(self._core.send(h11.Data(request.body)))
        parts.append(self._core.send(h11.EndOfMessage()))
        return b''.join(part for part in parts if part)

    def _read(self) -> None:
        while self._owner is not None:
            event = self._core.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._break(BreakReason.closed)
                return
            self._take(event)

    def _take(self, event: Any) -> None:
        owner = self._owner
        if owner is None:
            return
        if isinstance(event, h11.Response):
            self._take_head(event, owner)
        elif isinstance(event, h11.Data) and not self._skipping:
            owner.answer_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._end(owner)

    def _take_head(self, event: h11.Response, owner: AnswerOwner) -> None:
        headers = tuple(event.headers.raw_items())
        head = HttpAnswerHead(event.status_code, bytes(event.reason), headers)
        self._note_keep_time(head)
        self._skipping = not owner.answer_head(head)

    def _end(self, owner: AnswerOwner) -> None:
        if self._skipping:
            self._read_next_answer()
            return
        self._owner = None
        kept = self._may_be_kept()
        self.reusable = kept
        # The owner may send the next request on this channel before it returns.
        owner.answer_complete()
        if not kept:
            self._drop()

    def _read_next_answer(self) -> None:
        """Goes on after an answer that belonged to an earlier request."""
        self._skipping = False
        rest, closed = self._core.trailing_data
        request = self._request
        if not self._may_be_kept(behind=len(rest)) or closed or request is None:
            self._break(BreakReason.garbled)
            self._drop()
            return
        self._core = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._encode(request)
        if rest:
            self._core.receive_data(rest)

    def _may_be_kept(self, behind: int = 0) -> bool:
        core = self._core
        if core.our_state is not h11.DONE or core.their_state is not h11.DONE:
            return False
        if len(core.trailing_data[0]) != behind:
            return False
        if not behind:
            core.start_next_cycle()
        return not self.lost

    def _note_keep_time(self, head: HttpAnswerHead) -> None:
        for part in head.header(b'keep-alive').split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.keep.seconds = float(value)

    def _break(self, reason: BreakReason) -> None:
        owner = self._owner
        self._owner = None
        if owner is not None:
            owner.answer_failed(reason)

    def _drop(self) -> None:
        if self.transport is not None and not self.lost:
            self.transport.abortConnection()
