"""Fetches one chunk from the origin or from a peer; failures are returned as values."""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import inlineCallbacks

from jackdawsail.errors import UserError
from jackdawsail.http1.base_url import BaseUrl, parse_base_url
from jackdawsail.http1.channel_pool import ChannelPool, MakeChannelPool
from jackdawsail.http1.messages import Headers, HttpRequest
from jackdawsail.weights.http_read import Pace, PacedRead, open_read, read_head
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.origin import FetchFailure, OriginFetch
from jackdawsail.weights.proof import PROOF_HEADER, RATE_HEADER, chunk_proof
from jackdawsail.wire.weight_messages import FetchItem, FetchOutcome, SourceKind

CheckFetch = Callable[[OriginFetch], FetchFailure | None]
STATUS_OK = 200
STATUS_BUSY = 503


@dataclass(frozen=True, slots=True)
class FetchedChunk:
    """The result of a fetch; ``body`` is the verified chunk if ``failure`` is None.

    ``drawn_bytes`` counts all received bytes, also those of a failed fetch.
    """

    failure: FetchFailure | None
    body: bytes
    drawn_bytes: int


class ChunkClient:
    """Fetches chunks by HTTP; keeps the origin's validator (ETag) of each release."""

    def __init__(self, make_pool: MakeChannelPool, secret: bytes) -> None:
        self.origin_url = ''
        self._peers: ChannelPool = make_pool()
        self._tls_origins: ChannelPool = make_pool(uses_tls=True)
        self._secret = secret
        self._validators: dict[str, str] = {}

    def fetch_chunk(self, manifest: Manifest, fetch: FetchItem) -> Any:
        """Fetches and verifies a chunk; the Deferred fires with ``FetchedChunk`` and never fails."""
        if fetch.source is SourceKind.origin:
            return self._fetch_from_origin(manifest, fetch, _check_content)
        return self._fetch_from_peer(manifest, fetch)

    def fetch_unverified(self, manifest: Manifest, fetch: FetchItem) -> Any:
        """Fetches from the origin for a manifest that has no chunk digests yet.

        Only the length of the body is checked.
        """
        return self._fetch_from_origin(manifest, fetch, _check_length)

    def forget_validator(self, release: str) -> None:
        """Drops the validator of a stopped release that an operator resumes."""
        self._validators.pop(release, None)

    @inlineCallbacks
    def _fetch_from_origin(
        self, manifest: Manifest, fetch: FetchItem, check: CheckFetch
    ) -> Generator[Any, Any, FetchedChunk]:
        validator = self._validators.get(manifest.release, '')
        origin_fetch = OriginFetch(manifest, fetch.chunk, validator)
        started_seconds = self._peers.clock.seconds()
        failure: FetchFailure | None = None
        while origin_fetch.missing_bytes > 0 and failure is None and origin_fetch.may_resume():
            paced_read = self._open_origin(manifest, origin_fetch)
            if isinstance(paced_read, Failure):
                failure = FetchFailure(FetchOutcome.failed, f'origin: {paced_read.failure()}')
                break
            pace = Pace(fetch.bits_per_second, started_seconds)
            failure = yield self._read_origin(paced_read.unwrap(), origin_fetch, pace)
        failure = failure or check(origin_fetch)
        if failure is None:
            self._validators[manifest.release] = origin_fetch.validator
        return FetchedChunk(failure, bytes(origin_fetch.body), origin_fetch.drawn_bytes)

    def _open_origin(
        self, manifest: Manifest, origin_fetch: OriginFetch
    ) -> Result[PacedRead, str]:
        try:
            base_url = parse_base_url(self.origin_url)
        except UserError as error:
            return Failure(str(error))
        path = manifest.origin_path.lstrip('/')
        headers = _encode_headers(origin_fetch.request_headers())
        request = base_url.make_request('GET', f'/{path}', headers)
        pool = self._tls_origins if base_url.uses_tls else self._peers
        return Success(open_read(pool, base_url.address, request))

    @inlineCallbacks
    def _read_origin(
        self, paced_read: PacedRead, origin_fetch: OriginFetch, pace: Pace
    ) -> Generator[Any, Any, FetchFailure | None]:
        opened = yield paced_read.opened
        if isinstance(opened, Failure):
            return FetchFailure(FetchOutcome.failed, f'origin: {opened.failure()}')
        failure = origin_fetch.check_head(read_head(opened.unwrap()))
        if failure is not None:
            paced_read.discard_body()
            return failure
        yield paced_read.read_body(origin_fetch.add_bytes, pace)
        return None

    @inlineCallbacks
    def _fetch_from_peer(
        self, manifest: Manifest, fetch: FetchItem
    ) -> Generator[Any, Any, FetchedChunk]:
        digest = manifest.chunk_digests[fetch.chunk]
        started_seconds = self._peers.clock.seconds()
        paced_read = open_read(self._peers, fetch.address, self._peer_request(fetch, digest))
        opened = yield paced_read.opened
        if isinstance(opened, Failure):
            return _make_failed(FetchOutcome.failed, opened.failure())
        status = opened.unwrap().status
        if status != STATUS_OK:
            paced_read.discard_body()
            return _make_refused(status)
        peer_body = _PeerBody(manifest.span(fetch.chunk).length_bytes)
        pace = Pace(fetch.bits_per_second, started_seconds)
        body_end = yield paced_read.read_body(peer_body.add_bytes, pace)
        failure = _check_peer_body(manifest, fetch.chunk, body_end, bytes(peer_body.body))
        return FetchedChunk(failure, bytes(peer_body.body), len(peer_body.body))

    def _peer_request(self, fetch: FetchItem, digest: str) -> HttpRequest:
        headers = {PROOF_HEADER: chunk_proof(self._secret, digest)}
        if fetch.bits_per_second > 0:
            headers[RATE_HEADER] = str(int(fetch.bits_per_second))
        base_url = BaseUrl(fetch.address, '/chunks')
        return base_url.make_request('GET', f'/{digest}', _encode_headers(headers))


class _PeerBody:
    """Collects a peer's body; refuses more bytes than the length of the chunk."""

    def __init__(self, length_bytes: int) -> None:
        self.body = bytearray()
        self._length_bytes = length_bytes

    def add_bytes(self, piece: bytes) -> bool:
        self.body += piece
        return len(self.body) <= self._length_bytes


def _check_length(origin_fetch: OriginFetch) -> FetchFailure | None:
    if origin_fetch.missing_bytes > 0:
        return FetchFailure(FetchOutcome.failed, 'origin cuts the connection')
    if origin_fetch.missing_bytes < 0:
        return FetchFailure(FetchOutcome.corrupt, 'origin sends more than the range')
    return None


def _check_content(origin_fetch: OriginFetch) -> FetchFailure | None:
    return _check_length(origin_fetch) or origin_fetch.check_body()


def _check_peer_body(
    manifest: Manifest, chunk: int, body_end: Any, body: bytes
) -> FetchFailure | None:
    too_long = len(body) > manifest.span(chunk).length_bytes
    if not isinstance(body_end, Success) and not too_long:
        return FetchFailure(FetchOutcome.failed, str(body_end.failure()))
    if manifest.matches_chunk(chunk, body):
        return None
    return FetchFailure(FetchOutcome.corrupt, 'peer bytes do not match the manifest')


def _make_refused(status: int) -> FetchedChunk:
    outcome = FetchOutcome.busy if status == STATUS_BUSY else FetchOutcome.failed
    return _make_failed(outcome, f'peer answers {status}')


def _make_failed(outcome: FetchOutcome, reason: str) -> FetchedChunk:
    return FetchedChunk(FetchFailure(outcome, reason), b'', 0)


def _encode_headers(headers: dict[str, str]) -> Headers:
    return tuple((name.encode(), text.encode()) for name, text in headers.items())
