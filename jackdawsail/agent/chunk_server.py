"""Serves verified chunks to other agents: ``GET /chunks/<digest>`` with a proof header."""

from typing import Any

from prometheus_client import Counter
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from jackdawsail import events, metrics_registry
from jackdawsail.bounded_http import BoundedSite
from jackdawsail.clocks import Clock
from jackdawsail.metrics_resource import MetricsResource
from jackdawsail.process import ProcessContext
from jackdawsail.weights.chunk_store import ChunkStore, StoredRelease
from jackdawsail.weights.pacing import TokenBucket
from jackdawsail.weights.proof import PROOF_HEADER, RATE_HEADER, check_chunk_proof

MAX_UPLOADS = 8
MAX_CONNECTIONS = 1000
MAX_BODY_BYTES = 4096  # no request needs a body
BLOCK_BYTES = 65536
PACED_BLOCK_BYTES = 8192
BITS_PER_BYTE = 8
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_BUSY = 503
CHUNK_SERVER_LISTENS = events.define(500, 'info', 'chunk server is listening')
SENT_BYTES = Counter(
    'jackdawsail_chunk_sent_bytes',
    'Bytes of chunks that this agent has sent to others',
    registry=metrics_registry.REGISTRY,
)


class ChunkResource(Resource):
    """Serves every chunk in the store by its digest.

    ``_chunk_indexes`` maps chunk digest to chunk index, by manifest digest.
    """

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self, store: ChunkStore, secret: bytes, clock: Clock) -> None:
        super().__init__()
        self._store = store
        self._secret = secret
        self._clock = clock
        self._uploads = 0
        self._chunk_indexes: dict[str, dict[str, int]] = {}

    def render_GET(self, request: Request) -> Any:  # noqa: N802 - Twisted's name
        """Sends one chunk, or 403 for a wrong proof, 503 at the upload limit, 404 if not held."""
        digest = b'/'.join(request.postpath or []).decode('ascii', 'replace')
        if not check_chunk_proof(self._secret, digest, request.getHeader(PROOF_HEADER) or ''):
            return _refuse(request, STATUS_FORBIDDEN)
        if self._uploads >= MAX_UPLOADS:
            request.setHeader('Retry-After', '1')
            return _refuse(request, STATUS_BUSY)
        body = self._read_chunk(digest)
        if body is None:
            return _refuse(request, STATUS_NOT_FOUND)
        self._uploads += 1
        request.notifyFinish().addBoth(self._upload_ended)
        request.setHeader('Content-Type', 'application/octet-stream')
        request.setHeader('Content-Length', str(len(body)))
        upload = _Upload(request, body, self._clock, _requested_rate(request))
        request.registerProducer(upload, streaming=False)
        return NOT_DONE_YET

    def _upload_ended(self, _outcome: Any) -> None:
        self._uploads -= 1

    def _read_chunk(self, digest: str) -> bytes | None:
        for stored in self._store.releases():
            chunk = self._chunk_indexes_for(stored).get(digest)
            if chunk is not None and chunk in stored.held:
                return stored.read(chunk)
        return None

    def _chunk_indexes_for(self, stored: StoredRelease) -> dict[str, int]:
        digest = stored.manifest.digest
        if digest not in self._chunk_indexes:
            self._chunk_indexes = {
                each.manifest.digest: _chunk_indexes_of(each) for each in self._store.releases()
            }
        return self._chunk_indexes[digest]


class _Upload:
    """Writes a chunk block by block, as the connection and the requested rate allow."""

    def __init__(
        self, request: Request, body: bytes, clock: Clock, bytes_per_second: float
    ) -> None:
        self._request = request
        self._body = body
        self._clock = clock
        self._sent_bytes = 0
        self._bucket = (
            TokenBucket(bytes_per_second, 0, clock.seconds()) if bytes_per_second else None
        )
        self._pending_write: Any = None

    def resumeProducing(self) -> None:  # noqa: N802 - Twisted's name
        if self._pending_write is not None:
            return
        size_bytes = PACED_BLOCK_BYTES if self._bucket else BLOCK_BYTES
        block = self._body[self._sent_bytes : self._sent_bytes + size_bytes]
        wait_seconds = float(0)
        if self._bucket is not None:
            wait_seconds = self._bucket.take(len(block), self._clock.seconds())
        self._pending_write = self._clock.callLater(wait_seconds, self._write, block)

    def stopProducing(self) -> None:  # noqa: N802 - Twisted's name
        if self._pending_write is not None and self._pending_write.active():
            self._pending_write.cancel()

    def _write(self, block: bytes) -> None:
        self._pending_write = None
        self._sent_bytes += len(block)
        SENT_BYTES.inc(len(block))
        is_last = self._sent_bytes >= len(self._body)
        if is_last:
            self._request.unregisterProducer()
        self._request.write(block)
        if is_last:
            self._request.finish()


def _requested_rate(request: Request) -> float:
    """Returns the requested rate in bytes per second, or 0 for no limit."""
    header = request.getHeader(RATE_HEADER) or ''
    return int(header) / BITS_PER_BYTE if header.isdigit() else 0


def listen_for_chunks(context: ProcessContext, port: int, store: ChunkStore) -> Any:
    """Starts an HTTP server for chunks and metrics; returns the listening port."""
    root: Any = Resource()
    root.putChild(b'chunks', ChunkResource(store, context.secret, context.reactor))
    root.putChild(b'metrics', MetricsResource())
    site = BoundedSite(root, context.reactor, MAX_CONNECTIONS, MAX_BODY_BYTES, context.budget)
    listener = context.reactor.listenTCP(port, site, interface=context.host.address)
    events.log(CHUNK_SERVER_LISTENS, chunk_port=listener.getHost().port)
    return listener


def _chunk_indexes_of(stored: StoredRelease) -> dict[str, int]:
    return {digest: chunk for chunk, digest in enumerate(stored.manifest.chunk_digests)}


def _refuse(request: Request, status: int) -> bytes:
    request.setResponseCode(status)
    return b''
