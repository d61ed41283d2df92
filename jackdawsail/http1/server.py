"""The server side of HTTP/1.1, on the ``h11`` library.

A connection reads one complete request at a time, passes it to the handler as an
``Exchange`` and writes the answer that the handler gives to the exchange. Requests
with ambiguous framing are refused, and so are heads and bodies over the limits.
"""

from collections.abc import Iterable
from functools import partial
from typing import Any

import h11
from twisted.internet import protocol

from jackdawsail.budget.process_budget import (
    CloseReason,
    Holding,
    head_bytes_held,
)
from jackdawsail.clocks import Timeout
from jackdawsail.error_handling import ending_on_error
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import Headers, HttpAnswer, HttpRequest
from jackdawsail.http1.server_options import (
    MAX_HEAD_BYTES,
    REFUSAL_REASONS,
    ServerOptions,
    body_limit,
    head_bytes,
    refusal_of,
)
from jackdawsail.wire.backlog import Backlog

MAX_REQUEST_SECONDS = 60.0
# Of requests that a caller has sent ahead of its answers; beyond it reading stops.
MAX_UNREAD_BYTES = 65_536
CLOSE_HEADER = (b'Connection', b'close')
RETRY_HEADER = (b'Retry-After', b'1')  # room is made for a request within one


class ServerConnection(protocol.Protocol):
    """The server end of one connection."""

    transport: Any

    def __init__(self, options: ServerOptions) -> None:
        self.options = options
        self.backlog = Backlog(partial(_backlog_changed, self))
        self.budget = options.budget
        self.holding = Holding(partial(_give_way, self))
        self._core = h11.Connection(h11.SERVER, options.limits.head_bytes or MAX_HEAD_BYTES)
        self._exchange: Exchange | None = None
        self._head: h11.Request | None = None
        self._head_held_bytes = 0
        self._body = bytearray()
        self._unread_bytes = 0
        self._is_ended = False
        self._refused = False
        self._is_processing = False
        self._is_closing = False
        self._timeout = Timeout(options.clock, partial(_handle_timeout, self))

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Starts the idle timeout for the first request."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self.backlog, True)
        self._timeout.start(self.options.limits.idle_seconds)

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Parses received bytes; the first bytes of a request start the head timeout.

        It runs until the whole request is received, also its body. What follows a refused
        request is dropped.
        """
        if self._refused:
            return
        self._is_closing = False
        if self._exchange is None and not self._is_reading():
            self._timeout.start(self.options.limits.head_seconds or MAX_REQUEST_SECONDS)
        was_answering = self._exchange is not None or self.backlog.is_full
        self._core.receive_data(received)
        self._process_events()
        if was_answering:
            self._unread_bytes += len(received)
        elif self._exchange is not None:
            self._unread_bytes = len(self._core.trailing_data[0])
        if self._unread_bytes > MAX_UNREAD_BYTES:
            self.transport.pauseProducing()
        _count_unfinished(self)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Reports the disconnect to the task of a running exchange."""
        self._timeout.stop()
        self.budget.closed(self.holding)
        self._head = None
        self._body = bytearray()
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.report_disconnect()

    def is_idle(self) -> bool:
        """Returns whether no request is being read or answered."""
        return self._exchange is None and not self._is_reading()

    def close(self) -> None:
        """Closes the connection after the written bytes are sent."""
        self._is_ended = True
        self._timeout.stop()
        # A transport that waits to resume its producer never closes.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def close_idle(self) -> None:
        """Closes the connection in the next turn of the reactor, if it receives nothing before.

        A request may wait to be read, since the timers of a turn run before its reads.
        """
        self._is_closing = True
        self.options.clock.callLater(0, _close_if_still_idle, self)

    def send_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Writes the head of the answer."""
        extra_headers: list[tuple[bytes, bytes]] = []
        if self.options.closing:
            extra_headers.append((b'Connection', b'close'))
        response = h11.Response(
            status_code=status, headers=[*headers, *extra_headers], reason=reason
        )
        self._send(response)

    def send_body(self, body: bytes) -> None:
        """Writes a piece of the answer's body."""
        self._send(h11.Data(body))

    def end_answer(self) -> None:
        """Completes the answer and reads the next request."""
        self._exchange = None
        self.budget.end_request(self.holding)
        try:
            self._send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            # Fewer bytes than Content-Length: only an aborted connection shows it to the caller.
            self.transport.abortConnection()
            return
        if self._core.our_state is h11.MUST_CLOSE or self._core.their_state is not h11.DONE:
            self.close()
            return
        self._core.start_next_cycle()
        self._timeout.start(self.options.limits.idle_seconds)
        self._process_events()
        self._read_on()
        _count_unfinished(self)

    def _read_on(self) -> None:
        """Continues reading, unless the caller is still too far ahead of its answers."""
        was_paused = self._unread_bytes > MAX_UNREAD_BYTES
        waits = self._exchange is not None or self.backlog.is_full
        self._unread_bytes = len(self._core.trailing_data[0]) if waits else 0
        if was_paused and self._unread_bytes <= MAX_UNREAD_BYTES:
            self.transport.resumeProducing()

    def _process_events(self) -> None:
        if self._is_processing:
            # An answer given at once: the loop that handed over its request goes on.
            return
        self._is_processing = True
        has_event = True
        while has_event and self._may_begin():
            has_event = self._process_event()
        self._is_processing = False

    def _process_event(self) -> bool:
        """Handles the next event; returns False if there is none, or the connection ends."""
        try:
            event = self._core.next_event()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error).encode())
            return False
        if isinstance(event, h11.ConnectionClosed):
            self.close()
            return False
        if event is h11.NEED_DATA or event is h11.PAUSED:
            if self._core.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
            return False
        self._handle_event(event)
        return True

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > body_limit(self.options.limits):
                self._refuse(413, REFUSAL_REASONS[413])
        elif isinstance(event, h11.EndOfMessage):
            self._handle_request()

    def _handle_head(self, head: h11.Request) -> None:
        self._head = head
        size_bytes = head_bytes(head)
        self._head_held_bytes = head_bytes_held(size_bytes, len(head.headers))
        self._body = bytearray()
        refusal = refusal_of(head, size_bytes, self.options)
        if refusal is not None:
            self._refuse(*refusal)

    def _handle_request(self) -> None:
        head = self._head
        if head is None:
            return
        self._timeout.stop()
        headers = tuple(head.headers.raw_items())
        request = HttpRequest(head.method, head.target, headers, bytes(self._body))
        held_bytes = self._head_held_bytes + len(self._body)
        self._body = bytearray()
        if not self.budget.begin_request(self.holding, held_bytes):
            self._refuse(503, REFUSAL_REASONS[503])
            return
        self._head = None
        self._exchange = Exchange(self, request, self.options.clock)
        _pass_on(self._exchange, self.options)

    def _refuse(self, status: int, reason: bytes) -> None:
        """Answers an invalid request with an error and closes the connection."""
        self._timeout.stop()
        self._refused = True
        method = b'' if self._head is None else self._head.method
        # Not left to the garbage collection, which comes later than the next requests.
        self._head = None
        self._body = bytearray()
        self._exchange = Exchange(self, HttpRequest(method, b''), self.options.clock)
        if self._core.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            self._exchange.abort()
            return
        headers = (CLOSE_HEADER, RETRY_HEADER) if status == 503 else (CLOSE_HEADER,)
        self._exchange.answer(HttpAnswer(status, reason, headers))

    def _send(self, event: Any) -> None:
        sent = self._core.send(event)
        if sent:
            self.transport.write(sent)
            if self.backlog.is_full:
                held_bytes = self.holding.answer_bytes + len(sent)
                self.budget.set_answer(self.holding, held_bytes)

    def _may_begin(self) -> bool:
        """Returns whether another request may be read; a caller has to read its answers first."""
        return self._exchange is None and not self._refused and not self.backlog.is_full

    def _is_reading(self) -> bool:
        return self._head is not None or bool(self._core.trailing_data[0])


class ServerFactory(protocol.Factory):
    """Accepts connections and keeps the set of open ones."""

    noisy = False

    def __init__(self, options: ServerOptions) -> None:
        self.options = options
        self._open_connections: dict[ServerConnection, None] = {}

    def buildProtocol(self, addr: Any) -> ServerConnection | None:  # noqa: N802
        """Makes the protocol of a new connection, or none if the process has too many."""
        connection = _TrackedConnection(self.options, self._open_connections)
        return connection if connection.budget.open(connection.holding) else None

    def idle(self) -> Iterable[ServerConnection]:
        """Returns the connections without a request in progress."""
        return [connection for connection in self._open_connections if connection.is_idle()]

    @property
    def open_count(self) -> int:
        """Returns the number of open connections."""
        return len(self._open_connections)


class _TrackedConnection(ServerConnection):
    """A connection that adds itself to its factory's set while it is open."""

    def __init__(
        self, options: ServerOptions, open_connections: dict[ServerConnection, None]
    ) -> None:
        super().__init__(options)
        self._open_connections = open_connections

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self._open_connections[self] = None
        super().connectionMade()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        self._open_connections.pop(self, None)
        super().connectionLost(reason)


def _pass_on(exchange: Exchange, options: ServerOptions) -> None:
    """Passes a request to the handler; an error ends only this exchange, as by a disconnect."""
    with ending_on_error(partial(_end_failed, exchange)):
        options.handler(exchange)


def _end_failed(exchange: Exchange) -> None:
    exchange.fail()
    exchange.on_disconnect()


def _close_if_still_idle(connection: ServerConnection) -> None:
    if connection._is_closing:
        connection.close()


def _backlog_changed(connection: ServerConnection, is_full: bool) -> None:
    if connection._exchange is not None:
        connection._exchange.on_full(is_full)
    if is_full:
        return
    connection.budget.set_answer(connection.holding, 0)
    if connection._exchange is None and not connection._is_ended:
        connection._process_events()
        connection._read_on()
        _count_unfinished(connection)


def _count_unfinished(connection: ServerConnection) -> None:
    """Tells the budget what is kept of requests that are incomplete or have to wait."""
    held_bytes = 0
    if connection._exchange is not None or connection.backlog.is_full:
        held_bytes = connection._unread_bytes
    elif connection._head is not None:
        held_bytes = connection._head_held_bytes + len(connection._body)
    elif not connection._refused:
        held_bytes = len(connection._core.trailing_data[0])
    if held_bytes != connection.holding.unfinished_bytes and not connection._refused:
        connection.budget.set_unfinished(connection.holding, held_bytes)


def _give_way(connection: ServerConnection, reason: CloseReason) -> None:
    """Closes the connection for others; nothing of an incomplete request has run."""
    has_answer = connection._exchange is not None or connection.backlog.is_full
    if has_answer or connection._is_ended:
        connection.transport.abortConnection()
    elif connection._is_reading():
        connection._refuse(503, REFUSAL_REASONS[503])
    elif reason is CloseReason.descriptors:
        connection.close_idle()


def _handle_timeout(connection: ServerConnection) -> None:
    if connection._is_reading():
        connection._refuse(408, REFUSAL_REASONS[408])
    else:
        connection.close_idle()
