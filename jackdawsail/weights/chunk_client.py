"""Draws one chunk from the origin or from a peer; every end is a value."""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Success
from twisted.internet.defer import inlineCallbacks

from jackdawsail.clocks import Clock
from jackdawsail.weights.http_read import Paced, open_response, read_body, read_head, refuse_body
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.origin import FetchFailure, OriginDraw
from jackdawsail.weights.proof import PROOF_HEADER, RATE_HEADER, chunk_proof
from jackdawsail.wire.weight_messages import FetchItem, FetchOutcome, SourceKind

JudgeDraw = Callable[[OriginDraw], FetchFailure | None]
STATUS_OK = 200
STATUS_BUSY = 503


@dataclass(frozen=True, slots=True)
class FetchedChunk:
    """What a draw ended with; ``body`` is proved when ``end`` is None."""

    end: FetchFailure | None
    body: bytes
    drawn_bytes: int


class ChunkClient:
    """Makes the HTTP requests of draws."""

    def __init__(self, http_agent: Any, clock: Clock, secret: bytes) -> None:
        self.origin_url = ''
        self._http_agent = http_agent
        self._clock = clock
        self._secret = secret
        self._validators: dict[str, str] = {}

    def draw(self, manifest: Manifest, fetch: FetchItem) -> Any:
        """Draws as ordered; the Deferred fires with ``Drawn`` and never fails."""
        if fetch.source is SourceKind.origin:
            return self._from_origin(manifest, fetch, _judge_origin)
        return self._from_peer(manifest, fetch)

    def fetch_unverified(self, manifest: Manifest, fetch: FetchItem) -> Any:
        """Draws from the origin for a manifest that has no chunk digests yet."""
        return self._from_origin(manifest, fetch, _judge_length)

    def forget_validator(self, release: str) -> None:
        """Forgets a validator when an operator resumes a stopped release."""
        self._validators.pop(release, None)

    @inlineCallbacks
    def _from_origin(
        self, manifest: Manifest, fetch: FetchItem, judge: JudgeDraw
    ) -> Generator[Any, Any, FetchedChunk]:
        known = self._validators.get(manifest.release, '')
        draw = OriginDraw(manifest, fetch.chunk, known)
        started_seconds = self._clock.seconds()
        end: FetchFailure | None = None
        while draw.lacking_bytes > 0 and end is None and draw.may_resume():
            response = yield self._ask_origin(manifest, draw)
            paced = Paced(fetch.bits_per_second, started_seconds)
            end = yield self._read_origin(response, draw, paced)
        end = end or judge(draw)
        if end is None:
            self._validators[manifest.release] = draw.validator
        return FetchedChunk(end, bytes(draw.body), draw.drawn_bytes)

    def _ask_origin(self, manifest: Manifest, draw: OriginDraw) -> Any:
        path = manifest.origin_path.lstrip('/')
        url = f'{self.origin_url.rstrip("/")}/{path}'
        asked = open_response(self._http_agent, self._clock, url, draw.request_headers())
        return asked.addErrback(_as_failure)

    @inlineCallbacks
    def _read_origin(
        self, response: Any, draw: OriginDraw, paced: Paced
    ) -> Generator[Any, Any, FetchFailure | None]:
        if isinstance(response, Failure):
            return FetchFailure(FetchOutcome.failed, f'origin: {response.failure()}')
        end = draw.judge(read_head(response))
        if end is not None:
            refuse_body(response)
            return end
        yield read_body(response, self._clock, draw.take, paced)
        return None

    @inlineCallbacks
    def _from_peer(
        self, manifest: Manifest, fetch: FetchItem
    ) -> Generator[Any, Any, FetchedChunk]:
        digest = manifest.chunk_digests[fetch.chunk]
        started_seconds = self._clock.seconds()
        response = yield self._ask_peer(fetch, digest)
        if isinstance(response, Failure):
            return _failed(FetchOutcome.failed, response.failure())
        if response.code != STATUS_OK:
            refuse_body(response)
            return _refused(response.code)
        taken = _Taken(manifest.span(fetch.chunk).length_bytes)
        paced = Paced(fetch.bits_per_second, started_seconds)
        ended = yield read_body(response, self._clock, taken.take, paced)
        end = _judge_peer(manifest, fetch.chunk, ended, bytes(taken.body))
        return FetchedChunk(end, bytes(taken.body), len(taken.body))

    def _ask_peer(self, fetch: FetchItem, digest: str) -> Any:
        headers = {PROOF_HEADER: chunk_proof(self._secret, digest)}
        if fetch.bits_per_second > 0:
            headers[RATE_HEADER] = str(int(fetch.bits_per_second))
        url = f'http://{fetch.address}/chunks/{digest}'
        asked = open_response(self._http_agent, self._clock, url, headers)
        return asked.addErrback(_as_failure)


class _Taken:
    """Collects a peer's body up to the length of the chunk."""

    def __init__(self, length_bytes: int) -> None:
        self.body = bytearray()
        self._length_bytes = length_bytes

    def take(self, piece: bytes) -> bool:
        self.body += piece
        return len(self.body) <= self._length_bytes


def _judge_length(draw: OriginDraw) -> FetchFailure | None:
    if draw.lacking_bytes > 0:
        return FetchFailure(FetchOutcome.failed, 'origin cuts the connection')
    if draw.lacking_bytes < 0:
        return FetchFailure(FetchOutcome.corrupt, 'origin sends more than the range')
    return None


def _judge_origin(draw: OriginDraw) -> FetchFailure | None:
    return _judge_length(draw) or draw.verdict()


def _judge_peer(manifest: Manifest, chunk: int, ended: Any, body: bytes) -> FetchFailure | None:
    too_long = len(body) > manifest.span(chunk).length_bytes
    if not isinstance(ended, Success) and not too_long:
        return FetchFailure(FetchOutcome.failed, str(ended.failure()))
    if manifest.proves(chunk, body):
        return None
    return FetchFailure(FetchOutcome.corrupt, 'peer bytes do not match the manifest')


def _refused(status: int) -> FetchedChunk:
    outcome = FetchOutcome.busy if status == STATUS_BUSY else FetchOutcome.failed
    return _failed(outcome, f'peer answers {status}')


def _failed(outcome: FetchOutcome, reason: str) -> FetchedChunk:
    return FetchedChunk(FetchFailure(outcome, reason), b'', 0)


def _as_failure(failure: Any) -> Any:
    return Failure(failure.getErrorMessage() or failure.type.__name__)
