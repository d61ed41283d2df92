"""HTTP of the administration API: bounded requests, JSON answers and problems (RFC 9457)."""

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from twisted.web.http import Request as HttpRequest
from twisted.web.server import Request, Site

MAX_BODY_BYTES = 8 * 1024 * 1024
IDLE_SECONDS = 60
JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'
TOO_LARGE = b'HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'


@dataclass(frozen=True, slots=True)
class Problem:
    """Why a request failed; ``detail`` is for operators, ``extra`` for programs."""

    status: HTTPStatus
    code: str
    detail: str
    extra: dict[str, Any]


def make_problem(status: HTTPStatus, code: str, detail: str, **extra: Any) -> Problem:
    """Creates a problem; ``extra`` become further members of its JSON document."""
    return Problem(status, code, detail, extra)


class BoundedRequest(Request):
    """Closes the connection when a body exceeds ``MAX_BODY_BYTES``."""

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802 - Twisted's name
        """Stores a part of the body, or refuses the request if the body exceeds the limit."""
        if self.content is not None and self.content.tell() + len(data) > MAX_BODY_BYTES:
            self._refuse()
            return
        super().handleContentChunk(data)

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuses a declared length above the limit before any of the body is stored."""
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse()
            return
        super().gotLength(length)

    def _refuse(self) -> None:
        transport: Any = self.channel.transport
        transport.write(TOO_LARGE)
        self.channel.loseConnection()


def make_site(resource: Any) -> Site:
    """Creates the HTTP server of a resource tree, with time and size limits."""
    site = Site(
        resource,
        requestFactory=BoundedRequest,
        parsePOSTFormSubmission=False,
        timeout=IDLE_SECONDS,
    )
    site.displayTracebacks = False
    return site


def write_json(request: HttpRequest, document: Any, status: int = HTTPStatus.OK) -> None:
    """Writes a JSON answer and ends the request."""
    _write(request, document, status, JSON_TYPE)


def write_problem(request: HttpRequest, problem: Problem) -> None:
    """Writes a problem in the form of RFC 9457 and ends the request."""
    document = {
        'type': 'about:blank',
        'title': problem.status.phrase,
        'status': int(problem.status),
        'code': problem.code,
        'detail': problem.detail,
        **problem.extra,
    }
    _write(request, document, problem.status, PROBLEM_TYPE)


def _write(request: HttpRequest, document: Any, status: int, content_type: str) -> None:
    body = json.dumps(document, default=_plain).encode()
    request.setResponseCode(int(status))
    request.setHeader(b'content-type', content_type.encode())
    request.setHeader(b'content-length', str(len(body)).encode())
    request.write(body)
    request.finish()


def _plain(member: Any) -> str:
    return member.hex() if isinstance(member, bytes) else str(member)
