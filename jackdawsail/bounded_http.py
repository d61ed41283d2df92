"""An HTTP server with limits: connections, the body size and the time to send a request.

What its connections hold counts in the budget of the process. Bodies are kept in memory, so
that they need no descriptors.
"""

import json
from functools import partial
from io import BytesIO
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from jackdawsail.budget.process_budget import (
    CloseReason,
    Holding,
    ProcessBudget,
    head_bytes_held,
    make_process_budget,
)

REQUEST_TIMEOUT_SECONDS = 30.0
IDLE_TIMEOUT_SECONDS = 60
# The body of a request exists twice while it is passed on to an upstream.
COPIES_OF_A_REQUEST = 2


def _refusal(status_line: str, code: str, *headers: str) -> bytes:
    """Returns a whole answer that refuses a request before it has run."""
    status = int(status_line.partition(' ')[0])
    problem = {'status': status, 'code': code, 'outcome': 'not-run', 'detail': ''}
    body = json.dumps(problem) + '\n'
    lines = (
        f'HTTP/1.1 {status_line}',
        'Jackdawsail-Outcome: not-run',
        'Content-Type: application/problem+json',
        'Connection: close',
        *headers,
        f'Content-Length: {len(body)}',
    )
    return '\r\n'.join((*lines, '', body)).encode()


_TOO_LARGE = _refusal('413 Content Too Large', 'body-too-large')
_NO_ROOM = _refusal('503 Service Unavailable', 'too-much-held', 'Retry-After: 1')


class BoundedRequest(Request):
    """A request whose body is limited to ``max_body_bytes`` of the site."""

    channel: Any
    _head_held_bytes = 0
    _received_bytes = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Answers 413 if the declared length is over the limit, before reading the body."""
        # Twisted keeps a body of a length over 100,000 in a file.
        super().gotLength(0)
        headers = list(self.requestHeaders.getAllRawHeaders())
        size_bytes = sum(len(name) + sum(map(len, values)) for name, values in headers)
        self._head_held_bytes = head_bytes_held(size_bytes, len(headers))
        if length is not None and length > self._limit_bytes:
            self.refuse(_TOO_LARGE)
        elif not self.channel.site.budget.admits(length or 0):
            self.refuse(_NO_ROOM)

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Counts received bytes, so that a body without a declared length is limited too."""
        self._received_bytes += len(data)
        if self._received_bytes > self._limit_bytes:
            self.refuse(_TOO_LARGE)
        if self._refused:
            return
        super().handleContentChunk(data)
        self.channel.count_unfinished(self._head_held_bytes + self._received_bytes)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Processes the request unless its body was refused."""
        self.channel.cancel_request_timeout()
        held_bytes = self._head_held_bytes + COPIES_OF_A_REQUEST * self._received_bytes
        if not self._refused and not self.channel.begin_request(held_bytes):
            self.refuse(_NO_ROOM)
        if not self._refused:
            super().requestReceived(command, path, version)

    @property
    def _limit_bytes(self) -> int:
        return int(self.channel.site.max_body_bytes)

    def refuse(self, answer: bytes) -> None:
        """Answers that the request has not run, drops its body and closes the connection."""
        if self._refused:
            return
        self._refused = True
        self.content = BytesIO()
        self.channel.transport.write(answer)
        self.channel.loseConnection()


class BoundedChannel(HTTPChannel):
    """A connection that is aborted unless each request arrives in time once it has begun.

    The time of the first request counts from the start of the connection.
    """

    site: Any = None
    _request_timeout: Any = None
    _awaits_request = False
    _is_answering = False
    _is_full = False

    def __init__(self) -> None:
        super().__init__()
        self.holding = Holding(self._give_way)

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the timeout of the first request."""
        super().connectionMade()
        self._start_request_timeout()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Starts the timeout of a further request with its first bytes."""
        if self._awaits_request:
            self._awaits_request = False
            self._start_request_timeout()
        super().dataReceived(data)

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Awaits the next request on this connection."""
        self._awaits_request = True
        self._is_answering = False
        self.site.budget.end_request(self.holding)
        super().requestDone(request)

    def begin_request(self, held_bytes: int) -> bool:
        """Counts a complete request; returns False if it does not fit and must be refused."""
        self._is_answering = self.site.budget.begin_request(self.holding, held_bytes)
        return self._is_answering

    def count_unfinished(self, held_bytes: int) -> None:
        """Counts what an incomplete request holds."""
        self.site.budget.set_unfinished(self.holding, held_bytes)

    def write(self, data: bytes) -> None:
        """Writes a part of an answer, and counts it if the caller does not read."""
        super().write(data)
        self._count_answer(len(data))

    def writeSequence(self, iovec: Any) -> None:  # noqa: N802
        """Writes parts of an answer, and counts them as ``write`` does."""
        super().writeSequence(iovec)
        self._count_answer(sum(len(part) for part in iovec))

    def pauseProducing(self) -> None:  # noqa: N802
        """Called when the caller does not read as fast as it is sent to."""
        self._is_full = True
        super().pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Called once the caller has read what it was sent."""
        self._is_full = False
        self.site.budget.set_answer(self.holding, 0)
        super().resumeProducing()

    def cancel_request_timeout(self) -> None:
        """Stops the timeout of a request."""
        if self._request_timeout is not None and self._request_timeout.active():
            self._request_timeout.cancel()

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Stops the timeout and subtracts the connection from the site's count."""
        self.cancel_request_timeout()
        self.site.connections -= 1
        self.site.budget.closed(self.holding)
        super().connectionLost(reason)

    def _count_answer(self, size_bytes: int) -> None:
        if self._is_full:
            held_bytes = self.holding.answer_bytes + size_bytes
            self.site.budget.set_answer(self.holding, held_bytes)

    def _give_way(self, reason: CloseReason) -> None:
        """Closes the connection for others; nothing of an incomplete request has run."""
        unfinished = self.requests[-1] if self.requests and not self._is_answering else None
        if unfinished is None or self._is_full:
            self.forceAbortClient()
        else:
            unfinished.refuse(_NO_ROOM)

    def _start_request_timeout(self) -> None:
        self._request_timeout = self.site.clock.callLater(
            REQUEST_TIMEOUT_SECONDS, self.forceAbortClient
        )


class BoundedSite(Site):
    """Accepts at most ``max_connections`` connections; further ones are closed at once."""

    def __init__(
        self,
        root: Any,
        clock: Any,
        max_connections: int,
        max_body_bytes: int,
        budget: ProcessBudget | None = None,
    ) -> None:
        super().__init__(
            root, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_SECONDS, reactor=clock
        )
        self.displayTracebacks = False
        self.clock = clock
        self.connections = 0
        self.max_body_bytes = max_body_bytes
        self.budget = budget or make_process_budget(0, 0, clock.seconds)
        self._max_connections = max_connections
        self.noisy = False

    def log(self, request: Any) -> None:
        """Suppresses Twisted's access log; outcomes are counted in the metrics."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Returns the channel of a new connection, or None over the limit."""
        if self.connections >= self._max_connections:
            return None
        channel: Any = BoundedChannel()
        if not self.budget.open(channel.holding):
            return None
        self.connections += 1
        channel.factory = self
        channel.site = self
        channel.requestFactory = partial(BoundedRequest, parsePOSTFormSubmission=False)
        channel.timeOut = IDLE_TIMEOUT_SECONDS
        channel.callLater = self.clock.callLater
        return channel
