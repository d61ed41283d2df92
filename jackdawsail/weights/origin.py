"""Draws one chunk from the origin by ranges, and judges what it answers (pure).

A draw that is cut resumes where it stopped. The validator (ETag) of the first
good answer goes with every later request, so that content which changes under
the same name is seen before its bytes count.
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
    """The part of a response that is judged before its body is read."""

    status: int
    etag: str
    content_range: str
    retry_after_seconds: float


@dataclass(frozen=True, slots=True)
class FetchFailure:
    """Why a draw ends without a chunk."""

    outcome: FetchOutcome
    reason: str
    retry_after_seconds: float = 0


class OriginDraw:
    """The requests, the bytes so far and the verdict of one chunk's draw."""

    def __init__(self, manifest: Manifest, chunk: int, validator: str) -> None:
        self.body = bytearray()
        self.drawn_bytes = 0
        self.validator = validator
        self._manifest = manifest
        self._chunk = chunk
        self._span = manifest.span(chunk)
        self._attempts = 0

    @property
    def lacking_bytes(self) -> int:
        """Returns how much of the chunk is still to come."""
        return self._span.length_bytes - len(self.body)

    def request_headers(self) -> dict[str, str]:
        """Makes the headers of the next request."""
        self._attempts += 1
        first = self._span.offset_bytes + len(self.body)
        last = self._span.offset_bytes + self._span.length_bytes - 1
        headers = {'Range': f'bytes={first}-{last}'}
        if self.validator:
            headers['If-Match'] = self.validator
            headers['If-Range'] = self.validator
        return headers

    def judge(self, head: ResponseHead) -> FetchFailure | None:
        """Judges the head of a response; None lets the body be read."""
        if head.status in STATUS_BUSY:
            reason = f'origin answers {head.status}'
            return FetchFailure(FetchOutcome.busy, reason, head.retry_after_seconds)
        if head.status in {STATUS_CHANGED, STATUS_RANGE, *STATUS_MISSING}:
            return FetchFailure(FetchOutcome.changed, f'origin answers {head.status}')
        if head.status == STATUS_WHOLE:
            return FetchFailure(FetchOutcome.changed, 'origin sends the whole file for a range')
        if head.status != STATUS_PARTIAL:
            return FetchFailure(FetchOutcome.failed, f'origin answers {head.status}')
        return self._judge_partial(head)

    def take(self, piece: bytes) -> bool:
        """Takes received bytes; returns False when there are more than asked for."""
        self.drawn_bytes += len(piece)
        self.body += piece
        return self.lacking_bytes >= 0

    def may_resume(self) -> bool:
        """Tells whether a cut draw is worth another request."""
        return self._attempts < ATTEMPTS_MAX

    def verdict(self) -> FetchFailure | None:
        """Judges a whole body; None means that the chunk is proved."""
        if self._manifest.proves(self._chunk, bytes(self.body)):
            return None
        digest = hashlib.sha256(self.body).hexdigest()
        reason = f'origin sends a wrong digest {digest[:DIGEST_SHOWN]}'
        return FetchFailure(FetchOutcome.corrupt, reason)

    def _judge_partial(self, head: ResponseHead) -> FetchFailure | None:
        if self.validator and head.etag and head.etag != self.validator:
            return FetchFailure(FetchOutcome.changed, 'origin content has another validator')
        found = _CONTENT_RANGE.fullmatch(head.content_range)
        if found is None:
            return FetchFailure(FetchOutcome.failed, 'origin names no range')
        first, _last, total = (int(number) for number in found.groups())
        if total != self._manifest.size_bytes:
            reason = f'origin file has {total} bytes, not {self._manifest.size_bytes}'
            return FetchFailure(FetchOutcome.changed, reason)
        if first != self._span.offset_bytes + len(self.body):
            return FetchFailure(FetchOutcome.failed, 'origin sends another range')
        self.validator = self.validator or head.etag
        return None


def parse_retry_after(text: str) -> float:
    """Reads Retry-After in seconds; a date or nonsense counts as none."""
    try:
        return max(0, float(text))
    except ValueError:
        return 0
