"""One request that a server connection has read, and its answer."""

from collections.abc import Callable
from typing import Any, Protocol

from jackdawsail.budget.process_budget import Holding, ProcessBudget
from jackdawsail.clocks import Clock
from jackdawsail.http1.messages import Headers, HttpAnswer, HttpRequest
from jackdawsail.wire.backlog import Backlog

INTERNAL_ERROR = HttpAnswer(500, b'internal error')
NO_ROOM = HttpAnswer(503, b'too much is held for other callers', ((b'Retry-After', b'1'),))


class AnswerConnection(Protocol):
    """The connection that an exchange writes its answer to."""

    transport: Any
    backlog: Backlog
    budget: ProcessBudget
    holding: Holding

    def send_head(self, status: int, reason: bytes, headers: Headers) -> None:
        """Writes the head of the answer."""

    def send_body(self, body: bytes) -> None:
        """Writes a piece of the answer's body."""

    def end_answer(self) -> None:
        """Completes the answer."""


class Exchange:
    """One request and its answer; it belongs to the task that handles the request.

    ``on_disconnect`` is called once if the caller disconnects before the answer is complete,
    ``on_full`` with True when the caller does not read as fast as it is sent to, and with
    False once it has caught up.
    """

    def __init__(self, connection: AnswerConnection, request: HttpRequest, clock: Clock) -> None:
        self.request = request
        self.received_seconds = clock.seconds()
        self.on_disconnect: Callable[[], None] = lambda: None
        self.on_full: Callable[[bool], None] = lambda is_full: None
        self.started = False
        self.ended = False
        self._connection: AnswerConnection | None = connection

    def answer(self, answer: HttpAnswer) -> None:
        """Sends a complete answer that this process makes, or refuses if it is too large now."""
        connection = self._connection
        if connection is not None and not connection.budget.admits_answer(len(answer.body)):
            answer = NO_ROOM
        length = (b'Content-Length', str(len(answer.body)).encode())
        self.start(answer.status, b'', (*answer.headers, length))
        if self.request.method != b'HEAD':
            self.write(answer.body)
        self.finish()

    def start(self, status: int, reason: bytes, headers: Headers) -> None:
        """Sends the head; without ``Content-Length`` the body is sent chunked."""
        self.started = True
        if self._connection is not None:
            self._connection.send_head(status, reason, headers)

    def write(self, body: bytes) -> None:
        """Sends a piece of the body."""
        if self._connection is not None and body:
            self._connection.send_body(body)

    def count_buffered(self, size_bytes: int) -> None:
        """Counts a part of the answer that is kept until more of it has arrived."""
        if self._connection is not None:
            self._connection.budget.grow_request(self._connection.holding, size_bytes)

    def finish(self) -> None:
        """Completes the answer."""
        connection = self._release_connection()
        if connection is not None:
            connection.end_answer()

    def abort(self) -> None:
        """Aborts the connection, so that the caller cannot take the answer for complete."""
        connection = self._release_connection()
        if connection is not None:
            connection.transport.abortConnection()

    def fail(self) -> None:
        """Ends the exchange after an error of its handler; does nothing if it has ended."""
        if self.started:
            self.abort()
        elif not self.ended:
            self.answer(INTERNAL_ERROR)

    def report_disconnect(self) -> None:
        """Reports to the handling task that the caller has disconnected."""
        if self._release_connection() is not None:
            self.on_disconnect()

    @property
    def is_full(self) -> bool:
        """Returns whether the caller does not read as fast as it is sent to."""
        return self._connection is not None and self._connection.backlog.is_full

    def _release_connection(self) -> AnswerConnection | None:
        connection = self._connection
        self._connection = None
        self.ended = True
        return connection
