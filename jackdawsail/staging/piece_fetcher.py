"""Fetches piece lists and pieces from the nearest source that has them, and verifies them.

A piece whose SHA-256 differs from the listed one is fetched again from the next source. A
list that such pieces contradict is fetched again, too, with the contradiction in the request,
so that a relay that copied the list from elsewhere reviews its own.
The origin's link is narrow: a process fetches from it only if no relay answers, or if
the relays have answered for ``BYPASS_SECONDS`` that they do not have what is wanted though
the origin answers. An origin that does not answer is probed and not asked (``origin_watch``).
"""

import hashlib
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import quote

from returns.result import Failure, Result, Success

from jackdawsail import events
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.fetch import DeferredAnswer, FetchLimits, FindFault, fetch
from jackdawsail.http1.messages import HttpRequest, make_request
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.list_doubts import ListDoubts, PieceEvidence, find_list_fault
from jackdawsail.staging.origin_watch import OriginWatch, make_origin_watch
from jackdawsail.staging.sources import OriginCodec, Source

# Three pieces that share a narrow link still get bytes within the silence, and each of them
# its last byte within the total at a twentieth of that link.
PIECE_LIMITS = FetchLimits(silent_seconds=1.5, total_seconds=20.0)
LIST_LIMITS = FetchLimits(silent_seconds=1.0, total_seconds=10.0)
OK = 200
NOT_HELD = 'not held'  # reason for a 404, which a relay sends when its own sources are unreachable
DIGEST_DIFFERS = 'digest differs'
IN_DOUBT = 'the list is in doubt'  # reason for a 409 of a relay
ORIGIN_UNREACHABLE = 'the origin does not answer'
RELAY_ANSWERS = (NOT_HELD, DIGEST_DIFFERS, IN_DOUBT)  # the origin has nothing better
UNOBTAINABLE = (NOT_HELD, ORIGIN_UNREACHABLE)  # until a source has it; others may be obtainable
RELAY_REFUSALS = {404: NOT_HELD, 409: IN_DOUBT}
SOURCE_REST_SECONDS = 2.0  # by then a relay that was lost is out of the list of members
BYPASS_SECONDS = 10.0  # several times what a relay needs once a source is reachable again

FetchedT = TypeVar('FetchedT')
FetchFrom = Callable[[Source], Awaitable[Result[FetchedT, str]]]
Transport = Callable[[ChannelPool, str, HttpRequest, FetchLimits, FindFault], DeferredAnswer]

FETCH_FAILED = events.define(
    560, 'warning', 'piece or piece list could not be fetched from a source'
)
SOURCE_RECOVERED = events.define(572, 'info', 'source of weights answers again')
LIST_REVIEWED = events.define(576, 'warning', 'piece list fetched again, as pieces contradict it')
LIST_NOT_FETCHED = events.define(573, 'warning', 'piece list could not be fetched from any source')


def _unknown_count(_model: str) -> int:
    return 0


@dataclass(slots=True)
class _RelayMisses:
    """Since when relays have answered only that they do not hold what was requested."""

    since_seconds: float | None = None

    def duration_seconds(self, now_seconds: float) -> float:
        """Returns how long this has lasted; the first call records the start."""
        if self.since_seconds is None:
            self.since_seconds = now_seconds
        return now_seconds - self.since_seconds


@dataclass(frozen=True, slots=True)
class _ListFault:
    """Why the list of a version could not be fetched."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class PieceFetcher:
    """Fetches for one process.

    ``sources`` lists the sources of an item, the nearest first, by the digest of a piece or by
    the model of a list, and ``piece_count`` returns the number of pieces of a model, 0 if it is
    not known. A relay that has failed is tried after the others for ``SOURCE_REST_SECONDS``.
    """

    pool: ChannelPool
    codec: OriginCodec
    sources: Callable[[str], list[Source]]
    transport: Transport = fetch
    piece_count: Callable[[str], int] = _unknown_count
    doubts: ListDoubts = field(default_factory=ListDoubts)
    watch: OriginWatch | None = None
    _failed_seconds: dict[str, float] = field(default_factory=dict)
    _relay_misses: _RelayMisses = field(default_factory=_RelayMisses)
    _list_faults: dict[str, _ListFault] = field(default_factory=dict)

    async def fetch_list(
        self, model: str, version: int, evidence: PieceEvidence | None = None
    ) -> Result[PieceList, str]:
        """Fetches the piece digests of a version; version 0 means the newest.

        With ``evidence`` a list that it contradicts counts as a failure of its source.
        """

        async def fetch_from(source: Source) -> Result[PieceList, str]:
            return await self._fetch_list_from(source, model, version, evidence)

        # Relays that disagree with the evidence review their lists; the origin's link is narrow.
        outcome = await self._fetch_from_any(
            model, f'list of {model} {version}', fetch_from, may_bypass=evidence is None
        )
        self._record_list(model, version, outcome)
        return outcome

    async def review_list(
        self, pieces: PieceList, told: PieceEvidence | None = None
    ) -> Result[PieceList, str]:
        """Fetches a list again if pieces contradict it, or what another process has told.

        Fails if that is not due, or if no source has a list that agrees with the evidence.
        """
        evidence = self.doubts.start_review(pieces, self.pool.clock.seconds(), told)
        if evidence is None:
            return Failure('no review is due')
        outcome = await self.fetch_list(pieces.model, pieces.version, evidence)
        details = {'model': pieces.model, 'version': pieces.version, 'piece': evidence.index}
        events.log(LIST_REVIEWED, replaced=isinstance(outcome, Success), **details)
        return outcome

    async def fetch_piece(self, pieces: PieceList, index: int) -> Result[bytes, str]:
        """Fetches one piece; a body with another digest counts as a failure of its source."""
        if self.doubts.holds_back(pieces, index, self.pool.clock.seconds()):
            return Failure(IN_DOUBT)

        async def fetch_from(source: Source) -> Result[bytes, str]:
            def find_fault(body: bytes) -> str:
                found = PieceEvidence(index, digest_of(body))
                if not found.contradicts(pieces):
                    return ''
                self.doubts.record_piece(pieces, found, is_verified=not source.is_origin)
                return DIGEST_DIFFERS

            target = self._piece_target(source, pieces, index)
            return await self._get_body(source, target, PIECE_LIMITS, find_fault)

        what = f'piece {index} of {pieces.model} {pieces.version}'
        outcome = await self._fetch_from_any(pieces.digests[index], what, fetch_from)
        if isinstance(outcome, Failure) and outcome.failure() == IN_DOUBT:
            self.doubts.hold_back(pieces, index, self.pool.clock.seconds())
        return outcome

    async def _fetch_from_any(
        self, key: str, what: str, fetch_from: FetchFrom[FetchedT], *, may_bypass: bool = True
    ) -> Result[FetchedT, str]:
        """Tries the sources in order and returns the first success, or the last failure."""
        reason = 'no source is known'
        relays_answer = False
        for source in self._order_sources(key):
            if source.is_origin and relays_answer and not self._may_bypass(may_bypass, source):
                break
            outcome = await self._ask(source, fetch_from)
            if isinstance(outcome, Success):
                self._record_success(source)
                self._relay_misses.since_seconds = None
                return outcome
            reason = outcome.failure()
            relays_answer = relays_answer or reason in RELAY_ANSWERS
            # Relays that doubt the list fetch from the origin at growing intervals themselves.
            may_bypass = may_bypass and reason != IN_DOUBT
            self._record_failure(source, what, reason)
        return Failure(reason)

    def _order_sources(self, key: str) -> list[Source]:
        """Returns the sources with relays that failed recently behind the other relays."""
        rested_seconds = self.pool.clock.seconds() - SOURCE_REST_SECONDS

        def rank(source: Source) -> tuple[bool, bool]:
            failed_seconds = self._failed_seconds.get(source.address, -math.inf)
            return source.is_origin, failed_seconds > rested_seconds

        return sorted(self.sources(key), key=rank)

    def _may_bypass(self, is_permitted: bool, origin: Source) -> bool:
        """Returns whether the origin may be asked though relays answer that they hold nothing.

        After an outage of the origin the relays come first: it must have answered for a while.
        """
        missed_seconds = self._relay_misses.duration_seconds(self.pool.clock.seconds())
        if not is_permitted or missed_seconds <= BYPASS_SECONDS:
            return False
        return self.watch is None or self.watch.has_settled(origin.address)

    async def _ask(self, source: Source, fetch_from: FetchFrom[FetchedT]) -> Result[FetchedT, str]:
        """Fetches from a source, unless it is an origin that does not answer."""
        watch = self.watch if source.is_origin else None
        if watch is not None and watch.holds_back(source.address):
            return Failure(ORIGIN_UNREACHABLE)
        return await fetch_from(source)

    async def _fetch_list_from(
        self, source: Source, model: str, version: int, evidence: PieceEvidence | None
    ) -> Result[PieceList, str]:
        if source.is_origin:
            target = self.codec.list_target(model, version)
        else:
            target = relay_list_target(model, version, evidence)

        def find_fault(body: bytes) -> str:
            decoded = self.codec.decode_list(body)
            if isinstance(decoded, Failure):
                return decoded.failure()
            pieces = decoded.unwrap()
            if evidence is not None and evidence.contradicts(pieces):
                return 'pieces contradict the list'
            return find_list_fault(pieces, model, version, self.piece_count(model))

        outcome = await self._get_body(source, target, LIST_LIMITS, find_fault)
        return outcome.bind(self.codec.decode_list)

    async def _get_body(
        self,
        source: Source,
        target: bytes,
        limits: FetchLimits,
        find_fault: Callable[[bytes], str],
    ) -> Result[bytes, str]:
        request = make_request(b'GET', source.address, target)
        outcome = await self.transport(
            self.pool,
            source.address,
            request,
            limits,
            lambda answer: find_fault(answer.body) if answer.status == OK else '',
        )
        if isinstance(outcome, Failure):
            return outcome
        answer = outcome.unwrap()
        if answer.status in RELAY_REFUSALS:
            return Failure(RELAY_REFUSALS[answer.status])
        if answer.status != OK:
            return Failure(f'status {answer.status}')
        return Success(answer.body)

    def _piece_target(self, source: Source, pieces: PieceList, index: int) -> bytes:
        if source.is_origin:
            return self.codec.piece_target(pieces.model, pieces.version, index)
        return relay_piece_target(pieces, index)

    def _record_failure(self, source: Source, what: str, reason: str) -> None:
        """Records a failure of a source; logs only the first one until it has recovered.

        A relay that answers 404 does not count as failed: it logs itself why it has
        nothing to send. Nor does one whose piece differs, as it has verified it with its list.
        """
        if reason in RELAY_ANSWERS and not source.is_origin:
            return
        if reason == ORIGIN_UNREACHABLE:
            return
        if source.is_origin and self.watch is not None:
            self.watch.record_failure(source.address, reason)
        if source.address not in self._failed_seconds:
            events.log(FETCH_FAILED, source=source.address, what=what, reason=reason)
        self._failed_seconds[source.address] = self.pool.clock.seconds()

    def _record_list(self, model: str, version: int, outcome: Result[PieceList, str]) -> None:
        """Logs why a list could not be fetched, once until the reason changes."""
        if isinstance(outcome, Success):
            self._list_faults.pop(model, None)
            return
        fault = _ListFault(version, outcome.failure())
        if self._list_faults.get(model) != fault:
            self._list_faults[model] = fault
            relays = sum(not source.is_origin for source in self.sources(model))
            details = {'model': model, 'version': version, 'reason': fault.reason}
            events.log(LIST_NOT_FETCHED, relays=relays, **details)

    def _record_success(self, source: Source) -> None:
        if source.is_origin and self.watch is not None:
            self.watch.record_success(source.address)
        if self._failed_seconds.pop(source.address, None) is not None:
            events.log(SOURCE_RECOVERED, source=source.address)


def make_piece_fetcher(
    pool: ChannelPool,
    codec: OriginCodec,
    sources: Callable[[str], list[Source]],
    piece_count: Callable[[str], int],
) -> PieceFetcher:
    """Creates the fetcher of a process, which probes an origin that does not answer."""
    watch = make_origin_watch(pool)
    return PieceFetcher(pool, codec, sources, piece_count=piece_count, watch=watch)


def matches_digest(pieces: PieceList, index: int, body: bytes) -> bool:
    """Returns whether the body of a piece has the listed digest."""
    return digest_of(body) == pieces.digests[index]


def digest_of(body: bytes) -> str:
    """Returns the digest of a piece as lists hold it."""
    return hashlib.sha256(body).hexdigest()


def relay_list_target(model: str, version: int, evidence: PieceEvidence | None = None) -> bytes:
    """Returns the request target of a piece list at a relay, one that agrees with ``evidence``."""
    query = f'?piece={evidence.index}&digest={evidence.digest}' if evidence else ''
    return f'/weights/{quote(model)}/{version}/list{query}'.encode()


def relay_piece_target(pieces: PieceList, index: int) -> bytes:
    """Returns the request target of a piece at a relay, whose list may have another digest."""
    path = f'/weights/{quote(pieces.model)}/{pieces.version}/{index}'
    return f'{path}?piece={index}&digest={pieces.digests[index]}'.encode()
