"""The accepting side of HTTP/1.1, on the ``h11`` library.

A connection reads one whole request at a time, hands it to its handler as an
``Exchange`` and writes what the exchange is told. Requests whose framing could
be read in two ways are refused, and so are heads and bodies over the limits.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import h11
from twisted.internet import protocol

from jackdawsail.clocks import Clock
from jackdawsail.http1.messages import Headers, HttpAnswer, HttpRequest
from jackdawsail.site.document import CallerLimits
from jackdawsail.wire.backlog import Backlog

LINE_EXTRA_BYTES = 4  # separator and line end
READ_LIMIT_REASONS = {408: b'request came too slowly', 413: b'body is too large'}


@dataclass(slots=True)
class ServerOptions:
    """What the connections of a listening port share.

    ``closing`` makes each answer the last of its connection. ``limits`` may be
    replaced while connections are open.
    """

    handler: Callable[['Exchange'], None]
    clock: Clock
    limits: CallerLimits = field(default_factory=CallerLimits)
    closing: bool = False


class Exchange:
    """One request and the answer to it; it belongs to the task that handles it.

    ``on_disconnect`` is called once if the caller leaves before the answer is whole.
    """

    def __init__(self, connection: 'ServerConnection', request: HttpRequest) -> None:
        self.request = request
        self.received_seconds = connection.options.clock.seconds()
        self.on_disconnect: Callable[[], None] = lambda: None
        self.started = False
        self.ended = False
        self._connection: ServerConnection | None = connection

    def answer(self, answer: HttpAnswer) -> None:
        """Sends a whole answer."""
        length = (b'Content-Length', str(len(answer.body)).encode())
        self.start(answer.status, b'', (*answer.headers, length))
        self.write(answer.body)
        self.finish()

    def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends the head of an answer; without a length the body is sent in chunks."""
        self.started = True
        if self._connection is not None:
            self._connection.send_head(status, reason, headers)

    def write(self, body: bytes) -> None:
        """Sends a piece of the body."""
        if self._connection is not None and body:
            self._connection.send_body(body)

    def finish(self) -> None:
        """Ends the answer as a whole one."""
        connection = self._release()
        if connection is not None:
            connection.end_answer()

    def abort(self) -> None:
        """Breaks the connection off, so that the answer cannot seem whole."""
        connection = self._release()
        if connection is not None:
            connection.transport.abortConnection()

    def lose_caller(self) -> None:
        """Tells the task that the caller has left."""
        if self._release() is not None:
            self.on_disconnect()

    @property
    def unsent_bytes(self) -> int:
        """Returns how much of the answer waits for a slow caller."""
        return 0 if self._connection is None else self._connection.backlog.unsent_bytes

    def _release(self) -> 'ServerConnection | None':
        connection = self._connection
        self._connection = None
        self.ended = True
        return connection


class _Patience:
    """Calls back when nothing has come for too long; each wait replaces the last."""

    def __init__(self, clock: Clock, over: Callable[[], None]) -> None:
        self._clock = clock
        self._over = over
        self._timer: Any = None

    def wait(self, seconds: float) -> None:
        """Begins to wait; zero means for ever."""
        self.stop()
        if seconds > 0:
            self._timer = self._clock.callLater(seconds, self._over)

    def stop(self) -> None:
        """Ends the wait."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


class ServerConnection(protocol.Protocol):
    """One connection of a caller."""

    transport: Any

    def __init__(self, options: ServerOptions) -> None:
        self.options = options
        self.backlog = Backlog()
        self._core = h11.Connection(h11.SERVER, options.limits.head_bytes)
        self._exchange: Exchange | None = None
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._refused = False
        self._patience = _Patience(options.clock, self._waited)

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        """Waits for the first request."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self.backlog, True)
        self._patience.wait(self.options.limits.idle_seconds)

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Reads on."""
        if self._exchange is None and not self._is_reading():
            self._patience.wait(self.options.limits.head_seconds)
        self._core.receive_data(received)
        self._read()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Tells the task of a running exchange that its caller has left."""
        self._patience.stop()
        exchange = self._exchange
        self._exchange = None
        if exchange is not None:
            exchange.lose_caller()

    def is_idle(self) -> bool:
        """Tells whether no request is being read or answered."""
        return self._exchange is None and not self._is_reading()

    def close(self) -> None:
        """Closes the connection once what was written is sent."""
        self._patience.stop()
        self.transport.loseConnection()

    def send_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Writes the head of the answer."""
        added: list[tuple[bytes, bytes]] = []
        if self.options.closing:
            added.append((b'Connection', b'close'))
        response = h11.Response(status_code=status, headers=[*headers, *added], reason=reason)
        self._send(response)

    def send_body(self, body: bytes) -> None:
        """Writes a piece of the answer's body."""
        self.backlog.count(len(body))
        self._send(h11.Data(body))

    def end_answer(self) -> None:
        """Ends the answer and goes on to the next request."""
        self._exchange = None
        try:
            self._send(h11.EndOfMessage())
        except h11.LocalProtocolError:
            # Fewer bytes than announced: only a broken connection tells the caller.
            self.transport.abortConnection()
            return
        if self._core.our_state is h11.MUST_CLOSE or self._core.their_state is not h11.DONE:
            self.close()
            return
        self._core.start_next_cycle()
        self._patience.wait(self.options.limits.idle_seconds)
        self._read()

    def _read(self) -> None:
        while self._exchange is None and not self._refused:
            try:
                event = self._core.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint, str(error).encode())
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._invite_body()
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
                return
            self._take(event)

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._begin(event)
        elif isinstance(event, h11.Data):
            self._collect(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle()

    def _begin(self, head: h11.Request) -> None:
        self._head = head
        self._body = []
        names = {name for name, _value in head.headers}
        if b'transfer-encoding' in names and b'content-length' in names:
            self._refuse(400, b'both a length and chunks')
        elif 0 < self.options.limits.head_bytes < _head_bytes(head):
            self._refuse(431, b'head is too large')
        elif int(dict(head.headers).get(b'content-length', b'0')) > _body_limit(
            self.options.limits
        ):
            self._refuse(413, READ_LIMIT_REASONS[413])

    def _collect(self, piece: bytes) -> None:
        self._body.append(piece)
        if sum(map(len, self._body)) > _body_limit(self.options.limits):
            self._refuse(413, READ_LIMIT_REASONS[413])

    def _handle(self) -> None:
        head = self._head
        if head is None:
            return
        self._patience.stop()
        headers = tuple(head.headers.raw_items())
        request = HttpRequest(head.method, head.target, headers, b''.join(self._body))
        self._head = None
        self._exchange = Exchange(self, request)
        self.options.handler(self._exchange)

    def _refuse(self, status: int, reason: bytes) -> None:
        """Answers what cannot be read, and closes the connection."""
        self._patience.stop()
        self._refused = True
        self._exchange = Exchange(self, HttpRequest(b'', b''))
        if self._core.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            self._exchange.abort()
            return
        close = (b'Connection', b'close')
        self._exchange.answer(HttpAnswer(status, reason, (close,)))

    def _invite_body(self) -> None:
        if self._core.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))

    def _send(self, event: Any) -> None:
        sent = self._core.send(event)
        if sent:
            self.transport.write(sent)

    def _is_reading(self) -> bool:
        return self._head is not None or bool(self._core.trailing_data[0])

    def _waited(self) -> None:
        if self._is_reading():
            self._refuse(408, READ_LIMIT_REASONS[408])
        else:
            self.close()


class ServerFactory(protocol.Factory):
    """Accepts connections and knows those that are open."""

    noisy = False

    def __init__(self, options: ServerOptions) -> None:
        self.options = options
        self._open: set[ServerConnection] = set()

    def buildProtocol(self, addr: Any) -> ServerConnection:  # noqa: N802 - Twisted's name
        """Makes the protocol of a new connection."""
        connection = _TrackedConnection(self.options, self._open)
        return connection

    def idle(self) -> Iterable[ServerConnection]:
        """Returns the connections on which nothing is going on."""
        return [one for one in self._open if one.is_idle()]

    @property
    def open_count(self) -> int:
        """Returns how many connections are open."""
        return len(self._open)


class _TrackedConnection(ServerConnection):
    """A connection that adds itself to its factory's set while it is open."""

    def __init__(self, options: ServerOptions, opened: set[ServerConnection]) -> None:
        super().__init__(options)
        self._opened = opened

    def connectionMade(self) -> None:  # noqa: N802 - Twisted's name
        self._opened.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        self._opened.discard(self)
        super().connectionLost(reason)


def _body_limit(limits: CallerLimits) -> float:
    return limits.body_bytes or float('inf')


def _head_bytes(head: h11.Request) -> int:
    """Counts a head as it was sent; the parser bounds only heads that are not whole yet."""
    lines = [head.method + head.target, *(name + value for name, value in head.headers)]
    return sum(len(line) + LINE_EXTRA_BYTES for line in lines)
