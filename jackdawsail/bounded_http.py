"""An HTTP server with limits: connections, the body size and the time to send a request."""

from functools import partial
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

REQUEST_TIMEOUT_SECONDS = 30.0
IDLE_TIMEOUT_SECONDS = 60
_TOO_LARGE_HEAD = (
    b'HTTP/1.1 413 Content Too Large\r\n'
    b'Jackdawsail-Outcome: not-run\r\n'
    b'Content-Type: application/problem+json\r\n'
    b'Connection: close\r\n'
    b'Content-Length: 79\r\n\r\n'
)
_TOO_LARGE_BODY = (
    b'{"status": 413, "code": "body-too-large", "outcome": "not-run", "detail": "" }\n'
)


class BoundedRequest(Request):
    """A request whose body is limited to ``max_body_bytes`` of the site."""

    channel: Any
    _received_bytes = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Answers 413 if the declared length is over the limit, before reading the body."""
        super().gotLength(0 if length is None else min(length, self._limit_bytes))
        if length is not None and length > self._limit_bytes:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Counts received bytes, so that a body without a declared length is limited too."""
        self._received_bytes += len(data)
        if self._received_bytes > self._limit_bytes:
            self._refuse()
        if not self._refused:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Processes the request unless its body was refused."""
        self.channel.cancel_request_timeout()
        if not self._refused:
            super().requestReceived(command, path, version)

    @property
    def _limit_bytes(self) -> int:
        return int(self.channel.site.max_body_bytes)

    def _refuse(self) -> None:
        if self._refused:
            return
        self._refused = True
        self.channel.transport.write(_TOO_LARGE_HEAD + _TOO_LARGE_BODY)
        self.channel.loseConnection()


class BoundedChannel(HTTPChannel):
    """A connection that is aborted unless each request arrives in time once it has begun.

    The time of the first request counts from the start of the connection.
    """

    site: Any = None
    _request_timeout: Any = None
    _awaits_request = False

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
        super().requestDone(request)

    def cancel_request_timeout(self) -> None:
        """Stops the timeout of a request."""
        if self._request_timeout is not None and self._request_timeout.active():
            self._request_timeout.cancel()

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Stops the timeout and subtracts the connection from the site's count."""
        self.cancel_request_timeout()
        self.site.connections -= 1
        super().connectionLost(reason)

    def _start_request_timeout(self) -> None:
        self._request_timeout = self.site.clock.callLater(
            REQUEST_TIMEOUT_SECONDS, self.forceAbortClient
        )


class BoundedSite(Site):
    """Accepts at most ``max_connections`` connections; further ones are closed at once."""

    def __init__(self, root: Any, clock: Any, max_connections: int, max_body_bytes: int) -> None:
        super().__init__(
            root, requestFactory=BoundedRequest, timeout=IDLE_TIMEOUT_SECONDS, reactor=clock
        )
        self.displayTracebacks = False
        self.clock = clock
        self.connections = 0
        self.max_body_bytes = max_body_bytes
        self._max_connections = max_connections
        self.noisy = False

    def log(self, request: Any) -> None:
        """Suppresses Twisted's access log; outcomes are counted in the metrics."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Returns the channel of a new connection, or None over the limit."""
        if self.connections >= self._max_connections:
            return None
        self.connections += 1
        channel: Any = BoundedChannel()
        channel.factory = self
        channel.site = self
        channel.requestFactory = partial(BoundedRequest, parsePOSTFormSubmission=False)
        channel.timeOut = IDLE_TIMEOUT_SECONDS
        channel.callLater = self.clock.callLater
        return channel
