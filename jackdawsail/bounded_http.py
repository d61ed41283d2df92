"""An HTTP server with limits: connections, the body size and the time to send a request.

What its connections hold counts in the budget of the process. Bodies are kept in memory, so
that they need no descriptors.
"""

from functools import partial
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from jackdawsail.bounded_request import NO_ROOM, BoundedRequest
from jackdawsail.budget.limits import make_limits
from jackdawsail.budget.process_budget import (
    CloseReason,
    Holding,
    ProcessBudget,
)

REQUEST_TIMEOUT_SECONDS = 30.0
IDLE_TIMEOUT_SECONDS = 60


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
        if self._is_answering or self._is_full:
            self.forceAbortClient()
        elif self.requests:
            self.requests[-1].refuse(NO_ROOM)
        else:
            self.loseConnection()

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
        self.budget = budget or ProcessBudget(make_limits(0, 0), clock.seconds)
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
