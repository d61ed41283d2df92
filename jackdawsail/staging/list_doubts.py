"""Tells when a piece list is contradicted by pieces, so that it is fetched again.

A list that came from outside may be wrong once and would then be believed for as long as its
version is used. A piece that arrives complete and differs from the list says nothing by
itself, as single answers of an origin may be corrupt, too. Two answers that agree with each
other and not with the list make the list suspect. It is replaced only by a list that agrees
with these pieces; a piece that differs from the list is never used.
"""

import math
from dataclasses import dataclass, field

from jackdawsail.staging.engine import PieceList

FIRST_REVIEW_SECONDS = 0.5  # from one review of a list to the next, doubled each time
MAX_REVIEW_SECONDS = 30.0
AGREEING_ANSWERS = 2
VERSIONS_KEPT = 4
EVIDENCE_KEPT = 64  # of a version
_DIGEST_CHARACTERS = frozenset('0123456789abcdef')
_DIGEST_LENGTH = 64


@dataclass(frozen=True, slots=True)
class PieceEvidence:
    """The digest of a piece in which answers agree, in place of the one in the list."""

    index: int
    digest: str

    def contradicts(self, pieces: PieceList) -> bool:
        """Returns whether a list has another digest for the piece, or none."""
        listed = pieces.digests[self.index : self.index + 1]
        return listed != (self.digest,)


@dataclass(slots=True)
class _ReviewTimes:
    """When a list may be reviewed for one piece of evidence; the intervals grow."""

    next_seconds: float = -math.inf
    wait_seconds: float = FIRST_REVIEW_SECONDS

    def start(self, now_seconds: float) -> bool:
        """Returns whether a review is due, and records its start."""
        if now_seconds < self.next_seconds:
            return False
        self.next_seconds = now_seconds + self.wait_seconds
        self.wait_seconds = min(2 * self.wait_seconds, MAX_REVIEW_SECONDS)
        return True


@dataclass(slots=True)
class _Doubt:
    """What contradicts the list of one version; ``evidence`` is what this process found itself."""

    seen: dict[PieceEvidence, int] = field(default_factory=dict)
    evidence: PieceEvidence | None = None
    reviews: dict[PieceEvidence, _ReviewTimes] = field(default_factory=dict)
    held_back_until_seconds: dict[int, float] = field(default_factory=dict)

    def times_of(self, evidence: PieceEvidence) -> _ReviewTimes:
        """Returns the times of the reviews for a piece of evidence."""
        if len(self.reviews) >= EVIDENCE_KEPT and evidence not in self.reviews:
            self.reviews.pop(next(iter(self.reviews)))
        return self.reviews.setdefault(evidence, _ReviewTimes())


@dataclass(slots=True)
class ListDoubts:
    """The doubts of one process about the lists that it holds.

    Example::

        doubts.record_piece(pieces, PieceEvidence(3, digest), is_verified=False)
        evidence = doubts.start_review(pieces, now_seconds)
    """

    _by_version: dict[tuple[str, int], _Doubt] = field(default_factory=dict)

    def record_piece(self, pieces: PieceList, found: PieceEvidence, *, is_verified: bool) -> None:
        """Records a complete piece that differs from the list.

        One that its source has verified with its own list is evidence by itself.
        """
        doubt = self._doubt_of(pieces)
        if len(doubt.seen) >= EVIDENCE_KEPT and found not in doubt.seen:
            doubt.seen.pop(next(iter(doubt.seen)))
        doubt.seen[found] = doubt.seen.get(found, 0) + 1
        if is_verified or doubt.seen[found] >= AGREEING_ANSWERS:
            doubt.evidence = found

    def start_review(
        self, pieces: PieceList, now_seconds: float, told: PieceEvidence | None = None
    ) -> PieceEvidence | None:
        """Returns what a new list must agree with; None if the list is not to be fetched now.

        ``told`` is what another process has in its list or found. A list that stays contradicted
        is fetched again after growing intervals, as it may be the other side that is wrong.
        """
        doubt = self._doubt_of(pieces)
        evidence = told or doubt.evidence
        if evidence is None or not evidence.contradicts(pieces):
            return None
        return evidence if doubt.times_of(evidence).start(now_seconds) else None

    def hold_back(self, pieces: PieceList, index: int, now_seconds: float) -> None:
        """Records that a relay holds a piece back."""
        until_seconds = now_seconds + FIRST_REVIEW_SECONDS
        self._doubt_of(pieces).held_back_until_seconds[index] = until_seconds

    def holds_back(self, pieces: PieceList, index: int, now_seconds: float) -> bool:
        """Returns whether a piece is not worth fetching until the list is reviewed again."""
        doubt = self._doubt_of(pieces)
        evidence = doubt.evidence
        until_seconds = doubt.held_back_until_seconds.get(index, -math.inf)
        if evidence is not None and evidence.index == index and evidence.contradicts(pieces):
            until_seconds = max(until_seconds, doubt.times_of(evidence).next_seconds)
        return now_seconds < until_seconds

    def _doubt_of(self, pieces: PieceList) -> _Doubt:
        key = (pieces.model, pieces.version)
        if key not in self._by_version:
            self._by_version[key] = _Doubt()
            for oldest in sorted(self._by_version, key=lambda each: each[1])[:-VERSIONS_KEPT]:
                self._by_version.pop(oldest)
        return self._by_version.setdefault(key, _Doubt())


def find_list_fault(pieces: PieceList, model: str, version: int, piece_count: int) -> str:
    """Returns why a list cannot be that of a version, or an empty string.

    ``version`` 0 stands for any version, ``piece_count`` 0 for an unknown number of pieces.
    """
    if pieces.model != model:
        return 'list is of another model'
    if version not in {0, pieces.version}:
        return 'list is of another version'
    if not all(_is_digest(digest) for digest in pieces.digests):
        return 'list has a malformed digest'
    if len(pieces.digests) != (piece_count or len(pieces.digests)):
        return 'list has another number of pieces'
    return '' if pieces.digests else 'list is empty'


def _is_digest(digest: str) -> bool:
    return len(digest) == _DIGEST_LENGTH and _DIGEST_CHARACTERS.issuperset(digest)
