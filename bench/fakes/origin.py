"""A fake origin of weights: files by Range with ETag, a shared rate, and faults.

``GET /admin/counts`` gives the bytes and requests served; ``POST /admin/fault``
takes ``{kind, share, first, retry_after_seconds}`` with the kinds ``none``, ``slow``,
``stall``, ``429``, ``503``, ``cut``, ``lie-length``, ``corrupt`` and ``change``. A fault
strikes the given share of requests, or the ``first`` requests of each range.
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
SLOW_PIECE_SECONDS = 0.25
BITS_PER_BYTE = 8
PARTIAL = 206
NOT_FOUND = 404
PRECONDITION_FAILED = 412
NOT_SATISFIABLE = 416
REFUSALS = ('429', '503')


@dataclass(frozen=True)
class OriginOptions:
    """Settings of a fake origin; the rate is shared by all its connections."""

    folder: str
    name: str = 'origin'
    address: str = '127.0.0.1'
    port: int = 0
    bits_per_second: float = 0
    seed: int = 0


@dataclass
class Origin:
    """What the origin has served, and its present fault."""

    options: OriginOptions
    reactor: Any
    rng: random.Random
    free_seconds: float = 0
    fault: dict[str, Any] = field(default_factory=dict)
    counts: dict[str, int] = field(default_factory=dict)
    bytes_by_path: dict[str, int] = field(default_factory=dict)
    files: dict[str, bytes] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)

    def count(self, name: str, amount: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + amount

    def strikes(self, request: Request) -> str:
        """Returns the kind of fault that strikes this request, or an empty text."""
        kind = str(self.fault.get('kind', 'none'))
        if kind == 'none' or not self._is_struck(request):
            return ''
        self.count(f'fault_{kind}')
        return kind

    def _is_struck(self, request: Request) -> bool:
        first = int(self.fault.get('first', 0))
        if not first:
            return self.rng.random() < float(self.fault.get('share', 1))
        wanted = f'{request.path.decode()} {request.getHeader("Range")}'
        self.asked[wanted] = self.asked.get(wanted, 0) + 1
        return self.asked[wanted] <= first

    def wait_seconds(self, size_bytes: int, slow: bool) -> float:
        """Takes room on the shared link and returns how long to wait for it."""
        rate = self.options.bits_per_second
        now = self.reactor.seconds()
        if rate:
            taken_seconds = size_bytes * BITS_PER_BYTE / rate
            self.free_seconds = max(now, self.free_seconds) + taken_seconds
        wait_seconds = max(0, self.free_seconds - now)
        if slow:
            wait_seconds += SLOW_PIECE_SECONDS
        return wait_seconds

    def read(self, path: str) -> bytes | None:
        """Returns a file of the folder; files are kept in memory."""
        if path not in self.files:
            found = (Path(self.options.folder) / path.lstrip('/')).resolve()
            inside = found.is_relative_to(Path(self.options.folder).resolve())
            if not inside or not found.is_file():
                return None
            self.files[path] = found.read_bytes()
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
            return answer_json(request, {'problem': 'no such file'}, NOT_FOUND)
        kind = origin.strikes(request)
        if kind in REFUSALS:
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
        Sending(origin, request, damage(part, kind, origin.rng), kind).start()
        return NOT_DONE_YET


def choose_part(request: Request, content: bytes) -> bytes | None:
    """Applies the conditional and Range headers; None when the answer has no body."""
    tag = f'"{hashlib.sha256(content).hexdigest()[:32]}"'
    request.setHeader('ETag', tag)
    request.setHeader('Accept-Ranges', 'bytes')
    wanted = request.getHeader('If-Match')
    if wanted and wanted not in {tag, '*'}:
        request.setResponseCode(PRECONDITION_FAILED)
        return None
    asked = request.getHeader('Range')
    if not asked or request.getHeader('If-Range') not in {None, tag}:
        return content
    first_text, _, last_text = asked.removeprefix('bytes=').partition('-')
    first = int(first_text)
    last = min(len(content) - 1, int(last_text) if last_text else len(content))
    if first > last:
        request.setResponseCode(NOT_SATISFIABLE)
        return None
    request.setResponseCode(PARTIAL)
    request.setHeader('Content-Range', f'bytes {first}-{last}/{len(content)}')
    return content[slice(first, last + 1)]


def damage(part: bytes, kind: str, rng: random.Random) -> bytes:
    """Flips one bit of a part when the fault says so."""
    if kind != 'corrupt' or not part:
        return part
    damaged = bytearray(part)
    damaged[rng.randrange(len(damaged))] ^= 1
    return bytes(damaged)


class Sending:
    """Sends one answer piece by piece at the origin's rate."""

    def __init__(self, origin: Origin, request: Request, part: bytes, kind: str) -> None:
        self._origin = origin
        self._request = request
        self._part = part
        self._kind = kind
        self._sent = 0
        self._gone = False

    def start(self) -> None:
        self._request.notifyFinish().addErrback(self._lost)
        self._next()

    def _lost(self, _reason: Any) -> None:
        self._gone = True

    def _next(self) -> None:
        size = min(PIECE_BYTES, len(self._part) - self._sent)
        wait = self._origin.wait_seconds(size, self._kind == 'slow')
        if wait:
            self._origin.reactor.callLater(wait, self._write, size)
        else:
            self._write(size)

    def _write(self, size: int) -> None:
        if self._gone:
            return
        origin = self._origin
        begin = self._sent
        self._sent += size
        self._request.write(self._part[begin : self._sent])
        origin.count('bytes', size)
        path = self._request.path.decode()
        origin.bytes_by_path[path] = origin.bytes_by_path.get(path, 0) + size
        half_way = self._sent * 2 >= len(self._part)
        if half_way and self._kind == 'stall':
            return
        if half_way and self._kind == 'cut':
            self._request.transport.abortConnection()
        elif self._sent >= len(self._part):
            self._request.finish()
        else:
            origin.reactor.callLater(0, self._next)


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
    """Serves files at every path that is not the fake's own."""

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
