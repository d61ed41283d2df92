"""HTTP interface of an entry for callers: routes each request to its handler."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from jackdawsail.entry.call import CallKind, Problem
from jackdawsail.entry.http_answers import HttpAnswer
from jackdawsail.entry.stages.parse import RawRequest
from jackdawsail.metrics_resource import MetricsResource

NOT_FOUND = 404
REQUEST_ID_BYTES = 12
MIN_ROUTE_SEGMENTS = 3

Handler = Callable[[Request, HttpAnswer, str], None]


@dataclass(frozen=True, slots=True)
class RouteHandlers:
    """The handler of each route; the string argument is the key or id in the path, or empty."""

    run: Callable[[RawRequest, HttpAnswer], None]
    caller_left: Callable[[str], None]
    entries: Handler
    health: Handler
    show_call: Handler
    cancel_call: Handler


class CallersResource(Resource):
    """The root resource of the caller port."""

    isLeaf = True  # noqa: N815

    def __init__(self, handlers: RouteHandlers) -> None:
        super().__init__()
        self._handlers = handlers
        self._metrics = MetricsResource()

    def render(self, request: Request) -> Any:
        """Routes a request by its path; the handlers finish the request themselves."""
        path = request.uri.decode('latin1')
        if path.partition('?')[0] == '/metrics':
            return self._metrics.render_GET(request)
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        handlers = self._handlers
        answer = HttpAnswer(request, request_id, lambda: handlers.caller_left(request_id))
        self._route(request, answer, request_id, path)
        return NOT_DONE_YET

    def _route(self, request: Request, answer: HttpAnswer, request_id: str, path: str) -> None:
        raw = make_raw_request(request, request_id, path)
        if raw is not None:
            self._handlers.run(raw, answer)
            return
        handler, argument = self._find_handler(request.method, path.partition('?')[0])
        if handler is None:
            answer.send_problem(Problem(NOT_FOUND, 'no-such-path'))
        else:
            handler(request, answer, argument)

    def _find_handler(self, method: bytes, path: str) -> tuple[Handler | None, str]:
        handlers = self._handlers
        if path.startswith('/v1/calls/'):
            argument = unquote(path.removeprefix('/v1/calls/'))
            return (handlers.cancel_call if method == b'DELETE' else handlers.show_call), argument
        return {'/v1/entries': handlers.entries, '/health': handlers.health}.get(path), ''


def make_raw_request(request: Request, request_id: str, path: str) -> RawRequest | None:
    """Returns the pipeline's input, or None for a path that the pipeline does not serve."""
    segments = path.removeprefix('/v1/').split('/', 2)
    if not path.startswith('/v1/backends/') or len(segments) < MIN_ROUTE_SEGMENTS:
        return None
    _, backend, kind_and_tail = segments
    kind_name, _, tail = kind_and_tail.partition('/')
    if kind_name not in set(CallKind):
        return None
    kind = CallKind(kind_name)
    if kind is CallKind.generate and (tail or request.method != b'POST'):
        return None
    upstream_path = '/v1/generate' if kind is CallKind.generate else f'/{tail}'
    return RawRequest(
        request_id=request_id,
        kind=kind,
        backend=backend,
        method=request.method.decode('latin1'),
        path=upstream_path,
        headers=_headers(request),
        body=request.content.read() if request.content else b'',
    )


def _headers(request: Request) -> dict[str, str]:
    return {
        name.decode('latin1').lower(): values[-1].decode('latin1')
        for name, values in request.requestHeaders.getAllRawHeaders()
    }
