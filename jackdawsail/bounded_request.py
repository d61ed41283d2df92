"""A request of the own interface, with a limit on its body, and the answers that refuse it."""

import json
from io import BytesIO
from typing import Any

from twisted.web.server import Request

from jackdawsail.budget.process_budget import head_bytes_held

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
NO_ROOM = _refusal('503 Service Unavailable', 'too-much-held', 'Retry-After: 1')


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
            self.refuse(NO_ROOM)

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
            self.refuse(NO_ROOM)
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
