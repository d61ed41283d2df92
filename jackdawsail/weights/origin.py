"""Fetches one chunk from the origin by range requests, and checks the answers (pure).

A fetch whose connection is cut resumes where it stopped. The validator (ETag) of
the first valid answer is sent with every later request, so that content which
changes under the same name is detected before its bytes are used.
"""

import hashlib
import re
from dataclasses import dataclass

from jackdawsail.weights.manifest import Manifest
from jackdawsail.wire.weight_messages import FetchOutcome

ATTEMPTS_MAX = 3
DIGEST_SHOWN = 16
STATUS_PARTIAL = 206
STATUS_WHOLE = 200
STATUS_MISSING = (404, 410)
STATUS_CHANGED = 412
STATUS_RANGE = 416
STATUS_BUSY = (429, 503)
_CONTENT_RANGE = re.compile(r'bytes (\d+)-(\d+)/(\d+)')


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The part of a response that is checked before its body is read."""

    status: int
    etag: str
    content_range: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class FetchFailure:
    """Why a fetch ended without a verified chunk."""

    outcome: FetchOutcome
    reason: str
    retry_after_seconds: float = 0


class OriginFetch:
    """The requests and the received bytes of one chunk, without I/O.

    ``drawn_bytes`` counts all received bytes, for the byte budget of the origin.
    """

    def __init__(self, manifest: Manifest, chunk: int, validator: str) -> None:
        self.body = bytearray()
        self.drawn_bytes = 0
        self.validator = validator
        self._manifest = manifest
        self._chunk = chunk
        self._span = manifest.span(chunk)
        self._attempts = 0

    @property
    def missing_bytes(self) -> int:
        """Returns how many bytes of the chunk are missing; negative if there are too many."""
        return self._span.length_bytes - len(self.body)

    def request_headers(self) -> dict[str, str]:
        """Returns the headers of the next request, which counts as an attempt."""
        self._attempts += 1
        first = self._span.offset_bytes + len(self.body)
        last = self._span.offset_bytes + self._span.length_bytes - 1
        headers = {'Range': f'bytes={first}-{last}'}
        if self.validator:
            headers['If-Match'] = self.validator
            headers['If-Range'] = self.validator
        return headers

    def check_head(self, head: ResponseHead) -> FetchFailure | None:
        """Checks the head of a response; None means that the body may be read."""
        if head.status in STATUS_BUSY:
            reason = f'origin answers {head.status}'
            return FetchFailure(FetchOutcome.busy, reason, head.retry_after_seconds)
        if head.status in {STATUS_CHANGED, STATUS_RANGE, *STATUS_MISSING}:
            return FetchFailure(FetchOutcome.changed, f'origin answers {head.status}')
        if head.status == STATUS_WHOLE:
            return FetchFailure(FetchOutcome.changed, 'origin sends the whole file for a range')
        if head.status != STATUS_PARTIAL:
            return FetchFailure(FetchOutcome.failed, f'origin answers {head.status}')
        return self._check_partial(head)

    def add_bytes(self, piece: bytes) -> bool:
        """Adds received bytes; returns False if there are more than were requested."""
        self.drawn_bytes += len(piece)
        self.body += piece
        return self.missing_bytes >= 0

    def may_resume(self) -> bool:
        """Returns whether an incomplete fetch may make another request."""
        return self._attempts < ATTEMPTS_MAX

    def check_body(self) -> FetchFailure | None:
        """Checks the complete body; None means that it is the chunk of the manifest."""
        if self._manifest.matches_chunk(self._chunk, bytes(self.body)):
            return None
        digest = hashlib.sha256(self.body).hexdigest()
        reason = f'origin sends a wrong digest {digest[:DIGEST_SHOWN]}'
        return FetchFailure(FetchOutcome.corrupt, reason)

    def _check_partial(self, head: ResponseHead) -> FetchFailure | None:
        if self.validator and head.etag and head.etag != self.validator:
            return FetchFailure(FetchOutcome.changed, 'origin content has another validator')
        match = _CONTENT_RANGE.fullmatch(head.content_range)
        if match is None:
            return FetchFailure(FetchOutcome.failed, 'origin names no range')
        first, _last, total = (int(number) for number in match.groups())
        if total != self._manifest.size_bytes:
            reason = f'origin file has {total} bytes, not {self._manifest.size_bytes}'
            return FetchFailure(FetchOutcome.changed, reason)
        if first != self._span.offset_bytes + len(self.body):
            return FetchFailure(FetchOutcome.failed, 'origin sends another range')
        self.validator = self.validator or head.etag
        return None


def parse_retry_after(text: str) -> float:
    """Returns Retry-After in seconds; 0 for a date or an invalid value."""
    try:
        return max(0, float(text))
    except ValueError:
        return 0
