"""A fake origin of weights: files with Range and ETag, a shared rate limit, and faults.

``GET /admin/counts`` gives the bytes and requests served; ``POST /admin/fault``
takes ``{kind, share, first, retry_after_seconds}`` with the kinds ``none``, ``slow``,
``stall``, ``429``, ``503``, ``cut``, ``lie-length``, ``corrupt`` and ``change``. A fault
affects the given share of requests, or the ``first`` requests for each range.
"""

import hashlib
import random
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter
from twisted.internet import reactor as installed_reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from bench.fakes.web import JsonResource, answer_json, read_json, read_options, serve

PIECE_BYTES = 16384
SLOW_PIECE_DELAY_SECONDS = 0.25
BITS_PER_BYTE = 8
HTTP_PARTIAL_CONTENT = 206
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_RANGE_NOT_SATISFIABLE = 416
REFUSAL_KINDS = ('429', '503')


@dataclass(frozen=True)
class OriginOptions:
    """Settings of a fake origin; all connections share the rate, and 0 means no limit."""

    folder: str
    name: str = 'origin'
    address: str = '127.0.0.1'
    port: int = 0
    bits_per_second: float = 0
    seed: int = 0


@dataclass
class Origin:
    """Counts of what the origin has served, and its current fault."""

    options: OriginOptions
    reactor: Any
    rng: random.Random
    link_free_seconds: float = 0
    fault: dict[str, Any] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    bytes_by_path: dict[str, int] = field(default_factory=dict)
    files: dict[str, bytes] = field(default_factory=dict)
    requests_by_range: dict[str, int] = field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount

    def choose_fault(self, request: Request) -> str:
        """Returns and counts the kind of fault for this request; empty if there is none."""
        kind = str(self.fault.get('kind', 'none'))
        if kind == 'none' or not self._is_affected(request):
            return ''
        self.count(f'fault_{kind}')
        return kind

    def _is_affected(self, request: Request) -> bool:
        first = int(self.fault.get('first', 0))
        if not first:
            return self.rng.random() < float(self.fault.get('share', 1))
        range_key = f'{request.path.decode()} {request.getHeader("Range")}'
        self.requests_by_range[range_key] = self.requests_by_range.get(range_key, 0) + 1
        return self.requests_by_range[range_key] <= first

    def wait_seconds(self, size_bytes: int, slow: bool) -> float:
        """Reserves time on the shared link for a piece; returns the delay until it is sent."""
        rate = self.options.bits_per_second
        now = self.reactor.seconds()
        if rate:
            transfer_seconds = size_bytes * BITS_PER_BYTE / rate
            self.link_free_seconds = max(now, self.link_free_seconds) + transfer_seconds
        wait_seconds = max(0, self.link_free_seconds - now)
        if slow:
            wait_seconds += SLOW_PIECE_DELAY_SECONDS
        return wait_seconds

    def read(self, path: str) -> bytes | None:
        """Returns the content of a file in the folder, cached in memory, or None."""
        if path not in self.files:
            file = (Path(self.options.folder) / path.lstrip('/')).resolve()
            inside = file.is_relative_to(Path(self.options.folder).resolve())
            if not inside or not file.is_file():
                return None
            self.files[path] = file.read_bytes()
        return self.files[path]


class Files(Resource):
    """``GET /<path>`` with Range, If-Range and If-Match."""

    isLeaf = True

    def __init__(self, origin: Origin) -> None:
        super().__init__()
        self._origin = origin

    def render_GET(self, request: Request) -> Any:
        origin = self._origin
        origin.count('requests')
        content = origin.read(request.path.decode())
        if content is None:
            return answer_json(request, {'problem': 'no such file'}, HTTP_NOT_FOUND)
        kind = origin.choose_fault(request)
        if kind in REFUSAL_KINDS:
            request.setHeader('Retry-After', str(origin.fault.get('retry_after_seconds', 1)))
            return answer_json(request, {'problem': 'busy'}, int(kind))
        if kind == 'change':
            content = bytes(reversed(content))
        part = choose_part(request, content)
        if part is None:
            return b''
        request.setHeader('Content-Type', 'application/octet-stream')
        request.setHeader('Content-Length', str(len(part)))
        if kind == 'lie-length':
            part = part[: len(part) // 2]
            request.setHeader('Content-Length', str(len(part)))
        if request.method == b'HEAD':
            return b''
        BodySender(origin, request, apply_corruption(part, kind, origin.rng), kind).start()
        return NOT_DONE_YET


def choose_part(request: Request, content: bytes) -> bytes | None:
    """Applies If-Match, If-Range and Range, and sets status and headers.

    Returns None when the response has no body.
    """
    tag = f'"{hashlib.sha256(content).hexdigest()[:32]}"'
    request.setHeader('ETag', tag)
    request.setHeader('Accept-Ranges', 'bytes')
    if_match = request.getHeader('If-Match')
    if if_match and if_match not in {tag, '*'}:
        request.setResponseCode(HTTP_PRECONDITION_FAILED)
        return None
    range_header = request.getHeader('Range')
    if not range_header or request.getHeader('If-Range') not in {None, tag}:
        return content
    first_text, _, last_text = range_header.removeprefix('bytes=').partition('-')
    first = int(first_text)
    last = min(len(content) - 1, int(last_text) if last_text else len(content))
    if first > last:
        request.setResponseCode(HTTP_RANGE_NOT_SATISFIABLE)
        return None
    request.setResponseCode(HTTP_PARTIAL_CONTENT)
    request.setHeader('Content-Range', f'bytes {first}-{last}/{len(content)}')
    return content[slice(first, last + 1)]


def apply_corruption(part: bytes, kind: str, rng: random.Random) -> bytes:
    """Flips one random bit of a part if the fault is ``corrupt``."""
    if kind != 'corrupt' or not part:
        return part
    corrupted = bytearray(part)
    corrupted[rng.randrange(len(corrupted))] ^= 1
    return bytes(corrupted)


class BodySender:
    """Sends one response body in pieces at the origin's rate."""

    def __init__(self, origin: Origin, request: Request, part: bytes, kind: str) -> None:
        self._origin = origin
        self._request = request
        self._part = part
        self._kind = kind
        self._sent = 0
        self._disconnected = False

    def start(self) -> None:
        self._request.notifyFinish().addErrback(self._connection_lost)
        self._schedule_piece()

    def _connection_lost(self, _reason: Any) -> None:
        self._disconnected = True

    def _schedule_piece(self) -> None:
        size = min(PIECE_BYTES, len(self._part) - self._sent)
        delay_seconds = self._origin.wait_seconds(size, self._kind == 'slow')
        if delay_seconds:
            self._origin.reactor.callLater(delay_seconds, self._write, size)
        else:
            self._write(size)

    def _write(self, size: int) -> None:
        if self._disconnected:
            return
        origin = self._origin
        start = self._sent
        self._sent += size
        self._request.write(self._part[start : self._sent])
        origin.count('bytes', size)
        path = self._request.path.decode()
        origin.bytes_by_path[path] = origin.bytes_by_path.get(path, 0) + size
        is_half_sent = self._sent * 2 >= len(self._part)
        if is_half_sent and self._kind == 'stall':
            return
        if is_half_sent and self._kind == 'cut':
            self._request.transport.abortConnection()
        elif self._sent >= len(self._part):
            self._request.finish()
        else:
            origin.reactor.callLater(0, self._schedule_piece)


class Counts(JsonResource):
    """``GET /admin/counts``."""

    def __init__(self, origin: Origin) -> None:
        super().__init__()
        self._origin = origin

    def on_get(self, _request: Request) -> Any:
        return {**self._origin.counts, 'bytes_by_path': self._origin.bytes_by_path}


class Fault(JsonResource):
    """``POST /admin/fault``."""

    def __init__(self, origin: Origin) -> None:
        super().__init__()
        self._origin = origin

    def on_post(self, request: Request) -> Any:
        self._origin.fault = read_json(request)
        return self._origin.fault


class Root(Resource):
    """Serves files at every path outside ``/admin``."""

    def __init__(self, origin: Origin) -> None:
        super().__init__()
        admin = Resource()
        admin.putChild(b'counts', Counts(origin))
        admin.putChild(b'fault', Fault(origin))
        self.putChild(b'admin', admin)
        self._files = Files(origin)

    def getChild(self, path: bytes, request: Request) -> Resource:
        return self._files


app = App(help='A fake origin of weights.')


@app.default
def main(
    *,
    settings: Path | None = None,
    options: Annotated[OriginOptions | None, Parameter(name='*')] = None,
) -> None:
    """Runs the fake origin."""
    chosen = read_options(OriginOptions, options, settings)
    origin = Origin(chosen, installed_reactor, random.Random(chosen.seed))
    serve('fake-origin', chosen, Root(origin))


if __name__ == '__main__':
    app()
