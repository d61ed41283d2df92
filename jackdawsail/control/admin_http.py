"""HTTP of the administration API: JSON answers and problems (RFC 9457)."""

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from twisted.web.http import Request as HttpRequest

from jackdawsail.bounded_http import BoundedSite
from jackdawsail.budget.process_budget import ProcessBudget

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 1000
JSON_TYPE = 'application/json'
PROBLEM_TYPE = 'application/problem+json'


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


def make_site(resource: Any, clock: Any, budget: ProcessBudget | None = None) -> BoundedSite:
    """Creates the HTTP server of a resource tree, with time and size limits."""
    return BoundedSite(resource, clock, MAX_CONNECTIONS, MAX_BODY_BYTES, budget)


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
