"""The client side of HTTP/1.1, on the ``h11`` library.

A channel is one connection and carries one request at a time. It is reused only
after a complete answer without trailing bytes. Its owner receives the head, each
piece of the body and one end: complete, or failed with a reason.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

import h11
from twisted.internet import protocol
from twisted.internet.error import ConnectionDone

from jackdawsail.http1.messages import FINAL_STATUSES, HttpAnswerHead, HttpRequest, framing_of
from jackdawsail.http1.repeated import RepeatedAnswers

MAX_HEAD_BYTES = 65_536  # four times the largest head that the callers' limits allow
WRITE_BYTES = 65_536  # a longer body is not copied into the transport at once
MAX_FOREIGN_ANSWERS = 4  # answers to earlier requests that may precede the awaited one


class BreakReason(StrEnum):
    """Why no complete answer was received."""

    refused = 'refused'
    closed = 'closed'
    reset = 'reset'
    garbled = 'garbled'
    silent = 'silent'
    unsendable = 'unsendable'  # the request is invalid, and nothing of it was sent


class AnswerOwner(Protocol):
    """Receives the answer to one request."""

    def answer_head(self, head: HttpAnswerHead) -> bool:
        """Handles the head; returns False if the answer belongs to another request."""

    def answer_body(self, piece: bytes) -> None:
        """Handles a piece of the body."""

    def answer_complete(self) -> None:
        """Called once, when the answer is complete."""

    def answer_failed(self, reason: BreakReason) -> None:
        """Called once, when no complete answer can be received any more."""


@dataclass(slots=True)
class KeepAliveTimeout:
    """The timeout of the last ``Keep-Alive`` header that the upstream sent; 0 without one."""

    seconds: float = 0


class _BodyWriter:
    """A pull producer that writes a large body piece by piece, as the upstream reads it."""

    def __init__(self, transport: Any, body: bytes) -> None:
        self.is_complete = False
        self._transport = transport
        self._body = body
        self._written_bytes = 0

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Writes the next piece, when the transport has sent the one before."""
        start = self._written_bytes
        self._written_bytes += WRITE_BYTES
        self._transport.write(self._body[start : self._written_bytes])
        if self._written_bytes >= len(self._body):
            self.is_complete = True
            self._body = b''
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Drops the body, as the connection has ended."""
        self._body = b''


class ClientChannel(protocol.Protocol):
    """One connection to an upstream; ``peer`` is its address."""

    transport: Any

    def __init__(self, peer: str = '') -> None:
        self.peer = peer
        self.keep_alive = KeepAliveTimeout()
        self.reusable = False
        self.request_count = 0
        self.is_closed = False
        self._core = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._owner: AnswerOwner | None = None
        self._request: HttpRequest | None = None
        self._skips_answer = False
        self._foreign_answers = 0
        self._head_bytes = 0
        self._head = HttpAnswerHead(0, b'', ())
        self._repeated = RepeatedAnswers()
        self._writer: _BodyWriter | None = None

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Disables Nagle's algorithm, so that small requests are sent without delay."""
        self.transport.setTcpNoDelay(True)

    def send(self, request: HttpRequest, owner: AnswerOwner) -> None:
        """Sends a request; its headers must state the length of the body."""
        self._owner = owner
        self._request = request
        self.reusable = False
        self.request_count += 1
        self._foreign_answers = 0
        self._head_bytes = 0
        repeated = self._repeated.encoded(request)
        if repeated:
            self._repeated.is_awaited = True
            self.transport.write(repeated)
            return
        try:
            head, body = self._encode_request(request)
        except h11.LocalProtocolError:
            self._fail(BreakReason.unsendable)
            self._abort()
            return
        if request.is_repeated:
            self._repeated.begin(request, head + body)
        if len(body) <= WRITE_BYTES:
            self.transport.write(head + body)
            return
        self.transport.write(head)
        self._writer = _BodyWriter(self.transport, body)
        self.transport.registerProducer(self._writer, False)

    def cancel(self) -> None:
        """Cancels the request by aborting the connection; the owner gets no further calls."""
        self._owner = None
        self._request = None
        self.transport.abortConnection()

    def pause(self) -> None:
        """Stops reading, also the end of the connection, until ``resume`` is called."""
        if not self.is_closed:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Reads again after ``pause``."""
        if not self.is_closed:
            self.transport.resumeProducing()

    def close(self) -> None:
        """Closes the connection of an idle channel."""
        self.transport.loseConnection()

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Parses the answer; aborts the connection if no request is waiting for one."""
        if self._owner is None:
            self._abort()
            return
        if self._repeated.is_awaited and _take_repeated(self, received, self._owner):
            return
        if self._request is not None and self._request.is_repeated:
            self._repeated.record_piece(received)
        try:
            self._core.receive_data(received)
            self._process_events()
        except h11.RemoteProtocolError:
            self._end_garbled()
        else:
            self._limit_head(len(received))

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Ends an answer whose body lasts until the connection closes, or reports a failure."""
        self.is_closed = True
        self.reusable = False
        if self._owner is None:
            return
        if not reason.check(ConnectionDone):
            self._fail(BreakReason.reset)
            return
        _expect_answer(self)
        try:
            self._core.receive_data(b'')
            self._process_events()
        except h11.RemoteProtocolError:
            self._fail(BreakReason.closed)
        self._fail(BreakReason.closed)

    def _limit_head(self, received_bytes: int) -> None:
        """Bounds all that precedes a head, such as interim answers, which h11 does not."""
        if self._core.their_state is h11.SEND_RESPONSE:
            self._head_bytes += received_bytes
            if self._head_bytes > MAX_HEAD_BYTES:
                self._end_garbled()

    def _end_garbled(self) -> None:
        self._fail(BreakReason.garbled)
        self._abort()

    def _encode_request(self, request: HttpRequest) -> tuple[bytes, bytes]:
        """Returns the head and the body as they are sent, without a copy of the body."""
        head = h11.Request(
            method=request.method, target=request.target, headers=list(request.headers)
        )
        encoded = self._core.send(head) or b''
        if request.body:
            # Only checks the length that the head states.
            self._core.send_with_data_passthrough(h11.Data(request.body))
        self._core.send(h11.EndOfMessage())
        return encoded, request.body

    def _process_events(self) -> None:
        while self._owner is not None:
            event = self._core.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._fail(BreakReason.closed)
                return
            self._handle_event(event)

    def _handle_event(self, event: Any) -> None:
        owner = self._owner
        if owner is None:
            return
        if isinstance(event, h11.Response):
            self._handle_head(event, owner)
        elif isinstance(event, h11.Data) and not self._skips_answer:
            owner.answer_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(owner)

    def _handle_head(self, event: h11.Response, owner: AnswerOwner) -> None:
        if event.status_code not in FINAL_STATUSES:
            # The library refuses what is under 100 and skips interim answers.
            raise h11.RemoteProtocolError('status of no final answer')
        headers = tuple(event.headers.raw_items())
        method = b'' if self._request is None else self._request.method
        framing = framing_of(method, event.status_code, headers)
        head = HttpAnswerHead(event.status_code, bytes(event.reason), headers, framing)
        self.keep_alive.seconds = _keep_alive_seconds(head) or self.keep_alive.seconds
        self._head = head
        self._skips_answer = not owner.answer_head(head)

    def _complete(self, owner: AnswerOwner) -> None:
        if self._skips_answer:
            self._read_next_answer()
            return
        self._owner = None
        is_reusable = self._prepare_reuse()
        self.reusable = is_reusable
        if is_reusable and self._request is not None and self._request.is_repeated:
            self._repeated.learn(self._head)
        # An idle channel would keep the body until its next request.
        self._request = None
        # The owner may send the next request on this channel before it returns.
        owner.answer_complete()
        if not is_reusable:
            self._abort()

    def _read_next_answer(self) -> None:
        """Reads the next answer after one that belonged to an earlier request."""
        self._skips_answer = False
        trailing, is_eof = self._core.trailing_data
        request = self._request
        self._foreign_answers += 1
        may_follow = self._prepare_reuse(trailing_bytes=len(trailing)) and not is_eof
        if request is None or not may_follow or self._foreign_answers > MAX_FOREIGN_ANSWERS:
            self._end_garbled()
            return
        self._core = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        # Only puts the new core into the state after this request, which is already sent.
        self._encode_request(request)
        if trailing:
            self._core.receive_data(trailing)

    def _prepare_reuse(self, trailing_bytes: int = 0) -> bool:
        core = self._core
        if self._writer is not None and not self._writer.is_complete:
            return False
        if core.our_state is not h11.DONE or core.their_state is not h11.DONE:
            return False
        if len(core.trailing_data[0]) != trailing_bytes:
            return False
        if not trailing_bytes:
            core.start_next_cycle()
        return not self.is_closed

    def _fail(self, reason: BreakReason) -> None:
        owner = self._owner
        self._owner = None
        self._request = None
        if owner is not None:
            owner.answer_failed(reason)

    def _abort(self) -> None:
        if self.transport is not None and not self.is_closed:
            self.transport.abortConnection()


def _take_repeated(channel: ClientChannel, received: bytes, owner: AnswerOwner) -> bool:
    """Handles a whole answer with a known head; returns False if it must be parsed."""
    found = channel._repeated.split(received)
    if found is None:
        _expect_answer(channel)
        return False
    channel._repeated.is_awaited = False
    head, body = found
    is_own = owner.answer_head(head)
    if not is_own:
        channel._end_garbled()
        return True
    if body:
        owner.answer_body(body)
    # The owner may have cancelled the request meanwhile.
    if channel._owner is owner:
        channel._owner = None
        channel.reusable = not channel.is_closed
        owner.answer_complete()
    return True


def _expect_answer(channel: ClientChannel) -> None:
    """Brings the core into the state after a repeated request, which is already sent."""
    request = channel._request
    if channel._repeated.is_awaited and request is not None:
        channel._repeated.is_awaited = False
        channel._repeated.begin(request, b''.join(channel._encode_request(request)))


def _keep_alive_seconds(head: HttpAnswerHead) -> float:
    """Returns the timeout of the ``Keep-Alive`` header, or 0 if it states none."""
    for part in head.header(b'keep-alive').split(b','):
        name, _, value = part.strip().partition(b'=')
        if name.lower() == b'timeout' and value.isdigit():
            return float(value)
    return 0
