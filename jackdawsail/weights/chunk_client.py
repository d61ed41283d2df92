"""Fetches one chunk from the origin or from a peer; failures are returned as values."""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success
from twisted.internet.defer import inlineCallbacks

from jackdawsail.clocks import Clock
from jackdawsail.weights.http_read import Pace, discard_body, open_response, read_body, read_head
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

    def __init__(self, http_agent: Any, clock: Clock, secret: bytes) -> None:
        self.origin_url = ''
        self._http_agent = http_agent
        self._clock = clock
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
        started_seconds = self._clock.seconds()
        failure: FetchFailure | None = None
        while origin_fetch.missing_bytes > 0 and failure is None and origin_fetch.may_resume():
            response = yield self._request_origin(manifest, origin_fetch)
            pace = Pace(fetch.bits_per_second, started_seconds)
            failure = yield self._read_origin(response, origin_fetch, pace)
        failure = failure or check(origin_fetch)
        if failure is None:
            self._validators[manifest.release] = origin_fetch.validator
        return FetchedChunk(failure, bytes(origin_fetch.body), origin_fetch.drawn_bytes)

    def _request_origin(self, manifest: Manifest, origin_fetch: OriginFetch) -> Any:
        path = manifest.origin_path.lstrip('/')
        url = f'{self.origin_url.rstrip("/")}/{path}'
        requested = open_response(
            self._http_agent, self._clock, url, origin_fetch.request_headers()
        )
        return requested.addErrback(_as_failure)

    @inlineCallbacks
    def _read_origin(
        self, response: Any, origin_fetch: OriginFetch, pace: Pace
    ) -> Generator[Any, Any, FetchFailure | None]:
        if isinstance(response, Failure):
            return FetchFailure(FetchOutcome.failed, f'origin: {response.failure()}')
        failure = origin_fetch.check_head(read_head(response))
        if failure is not None:
            discard_body(response)
            return failure
        yield read_body(response, self._clock, origin_fetch.add_bytes, pace)
        return None

    @inlineCallbacks
    def _fetch_from_peer(
        self, manifest: Manifest, fetch: FetchItem
    ) -> Generator[Any, Any, FetchedChunk]:
        digest = manifest.chunk_digests[fetch.chunk]
        started_seconds = self._clock.seconds()
        response = yield self._request_peer(fetch, digest)
        if isinstance(response, Failure):
            return _make_failed(FetchOutcome.failed, response.failure())
        if response.code != STATUS_OK:
            discard_body(response)
            return _make_refused(response.code)
        peer_body = _PeerBody(manifest.span(fetch.chunk).length_bytes)
        pace = Pace(fetch.bits_per_second, started_seconds)
        body_end = yield read_body(response, self._clock, peer_body.add_bytes, pace)
        failure = _check_peer_body(manifest, fetch.chunk, body_end, bytes(peer_body.body))
        return FetchedChunk(failure, bytes(peer_body.body), len(peer_body.body))

    def _request_peer(self, fetch: FetchItem, digest: str) -> Any:
        headers = {PROOF_HEADER: chunk_proof(self._secret, digest)}
        if fetch.bits_per_second > 0:
            headers[RATE_HEADER] = str(int(fetch.bits_per_second))
        url = f'http://{fetch.address}/chunks/{digest}'
        requested = open_response(self._http_agent, self._clock, url, headers)
        return requested.addErrback(_as_failure)


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


def _as_failure(failure: Any) -> Any:
    return Failure(failure.getErrorMessage() or failure.type.__name__)
