"""Serves verified chunks to other agents: ``GET /chunks/<digest>`` with a proof."""

from typing import Any

from prometheus_client import Counter
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from jackdawsail import events, metrics_registry
from jackdawsail.clocks import Clock
from jackdawsail.metrics_resource import MetricsResource
from jackdawsail.process import ProcessContext
from jackdawsail.weights.chunk_store import ChunkStore, StoredRelease
from jackdawsail.weights.pacing import TokenBucket
from jackdawsail.weights.proof import PROOF_HEADER, RATE_HEADER, check_chunk_proof

UPLOADS_MAX = 8
PIECE_BYTES = 65536
PACED_PIECE_BYTES = 8192
BITS_PER_BYTE = 8
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_BUSY = 503
CHUNKS_SERVED = events.define(500, 'info', 'chunk server listens')
SENT_BYTES = Counter(
    'jackdawsail_chunk_sent_bytes',
    'Bytes of chunks that this agent has sent to others',
    registry=metrics_registry.REGISTRY,
)


class ChunkResource(Resource):
    """All chunks that the store holds, by digest."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self, store: ChunkStore, secret: bytes, clock: Clock) -> None:
        super().__init__()
        self._store = store
        self._secret = secret
        self._clock = clock
        self._uploads = 0
        self._places: dict[str, dict[str, int]] = {}

    def render_GET(self, request: Request) -> Any:  # noqa: N802 - Twisted's name
        """Sends one chunk, or says why not."""
        digest = b'/'.join(request.postpath or []).decode('ascii', 'replace')
        if not check_chunk_proof(self._secret, digest, request.getHeader(PROOF_HEADER) or ''):
            return _refuse(request, STATUS_FORBIDDEN)
        if self._uploads >= UPLOADS_MAX:
            request.setHeader('Retry-After', '1')
            return _refuse(request, STATUS_BUSY)
        body = self._find(digest)
        if body is None:
            return _refuse(request, STATUS_NOT_FOUND)
        self._uploads += 1
        request.notifyFinish().addBoth(self._ended)
        request.setHeader('Content-Type', 'application/octet-stream')
        request.setHeader('Content-Length', str(len(body)))
        upload = _Upload(request, body, self._clock, _wanted_rate(request))
        request.registerProducer(upload, streaming=False)
        return NOT_DONE_YET

    def _ended(self, _outcome: Any) -> None:
        self._uploads -= 1

    def _find(self, digest: str) -> bytes | None:
        for stored in self._store.all():
            chunk = self._index(stored).get(digest)
            if chunk is not None and chunk in stored.held:
                return stored.read(chunk)
        return None

    def _index(self, stored: StoredRelease) -> dict[str, int]:
        digest = stored.manifest.digest
        if digest not in self._places:
            self._places = {each.manifest.digest: _places_of(each) for each in self._store.all()}
        return self._places[digest]


class _Upload:
    """Writes a chunk piece by piece as the connection and the wanted pace allow."""

    def __init__(self, request: Request, body: bytes, clock: Clock, rate: float) -> None:
        self._request = request
        self._body = body
        self._clock = clock
        self._sent = 0
        self._bucket = TokenBucket(rate, 0, clock.seconds()) if rate else None
        self._waiting: Any = None

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        if self._waiting is not None:
            return
        size_bytes = PACED_PIECE_BYTES if self._bucket else PIECE_BYTES
        piece = self._body[self._sent : self._sent + size_bytes]
        wait_seconds = float(0)
        if self._bucket is not None:
            wait_seconds = self._bucket.take(len(piece), self._clock.seconds())
        self._waiting = self._clock.callLater(wait_seconds, self._write, piece)

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        if self._waiting is not None and self._waiting.active():
            self._waiting.cancel()

    def _write(self, piece: bytes) -> None:
        self._waiting = None
        self._sent += len(piece)
        SENT_BYTES.inc(len(piece))
        is_last = self._sent >= len(self._body)
        if is_last:
            self._request.unregisterProducer()
        self._request.write(piece)
        if is_last:
            self._request.finish()


def _wanted_rate(request: Request) -> float:
    """Returns bytes a second, zero for no pace."""
    asked = request.getHeader(RATE_HEADER) or ''
    return int(asked) / BITS_PER_BYTE if asked.isdigit() else 0


def listen_for_chunks(context: ProcessContext, port: int, store: ChunkStore) -> Any:
    """Serves chunks and metrics on a port; returns the listening port."""
    root: Any = Resource()
    root.putChild(b'chunks', ChunkResource(store, context.secret, context.reactor))
    root.putChild(b'metrics', MetricsResource())
    site = Site(root)
    listener = context.reactor.listenTCP(port, site, interface=context.host.address)
    events.log(CHUNKS_SERVED, chunk_port=listener.getHost().port)
    return listener


def _places_of(stored: StoredRelease) -> dict[str, int]:
    return {digest: chunk for chunk, digest in enumerate(stored.manifest.chunk_digests)}


def _refuse(request: Request, status: int) -> bytes:
    request.setResponseCode(status)
    return b''
