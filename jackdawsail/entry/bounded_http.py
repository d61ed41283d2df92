"""Bounds on callers' connections: how many, how large a body, how long to send it."""

from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

REQUEST_SECONDS = 30.0
IDLE_SECONDS = 60
_TOO_LARGE = (
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
    """A request whose body may not pass the site's limit."""

    channel: Any
    _received_bytes = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a declared length that is too large."""
        super().gotLength(0 if length is None else min(length, self._limit_bytes))
        if length is not None and length > self._limit_bytes:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Counts what arrives, also of a body without a declared length."""
        self._received_bytes += len(data)
        if self._received_bytes > self._limit_bytes:
            self._refuse()
        if not self._refused:
            super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Handles the request, unless its body was refused."""
        self.channel.request_complete()
        if not self._refused:
            super().requestReceived(command, path, version)

    @property
    def _limit_bytes(self) -> int:
        return int(self.channel.site.max_body_bytes)

    def _refuse(self) -> None:
        if self._refused:
            return
        self._refused = True
        self.channel.transport.write(_TOO_LARGE + _TOO_LARGE_BODY)
        self.channel.loseConnection()


class BoundedChannel(HTTPChannel):
    """A connection that must bring its first whole request within a time."""

    site: Any = None
    _late: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Starts the time for the first request."""
        super().connectionMade()
        self._late = self.site.clock.callLater(REQUEST_SECONDS, self.forceAbortClient)

    def request_complete(self) -> None:
        """Ends the time for the first request."""
        if self._late is not None and self._late.active():
            self._late.cancel()

    def connectionLost(self, reason: Any = connectionDone) -> None:  # noqa: N802
        """Counts the connection out."""
        self.request_complete()
        self.site.connections -= 1
        super().connectionLost(reason)


class BoundedSite(Site):
    """Accepts no more connections than its limit; more are closed at once."""

    def __init__(self, root: Any, clock: Any, max_connections: int, max_body_bytes: int) -> None:
        super().__init__(root, requestFactory=BoundedRequest, timeout=IDLE_SECONDS, reactor=clock)
        self.clock = clock
        self.connections = 0
        self.max_body_bytes = max_body_bytes
        self._max_connections = max_connections
        self.noisy = False

    def log(self, request: Any) -> None:
        """Writes no access log; outcomes are counted in the metrics."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Makes the channel of a new connection, or none when there are too many."""
        if self.connections >= self._max_connections:
            return None
        self.connections += 1
        channel: Any = BoundedChannel()
        channel.factory = self
        channel.site = self
        channel.requestFactory = BoundedRequest
        channel.timeOut = IDLE_SECONDS
        channel.callLater = self.clock.callLater
        return channel
