"""Carries out fetch orders: fetches and verifies chunks, writes and syncs them."""

from collections.abc import Callable
from typing import Any

from prometheus_client import Counter
from returns.result import Success

from jackdawsail import events, metrics_registry
from jackdawsail.clocks import Clock
from jackdawsail.weights.chunk_client import ChunkClient, FetchedChunk
from jackdawsail.weights.chunk_store import StoredRelease, StoreError
from jackdawsail.weights.origin import FetchFailure
from jackdawsail.wire.weight_messages import (
    FetchItem,
    FetchOrder,
    FetchOutcome,
    FetchResult,
    SourceKind,
)

SYNC_DELAY_SECONDS = 0.5
STORE_RETRY_SECONDS = 3.0
CHUNK_REJECTED = events.define(510, 'warning', 'fetched chunk was rejected')
STORE_FAULT = events.define(511, 'error', 'chunk store cannot write to disk')
FETCHED_BYTES = Counter(
    'jackdawsail_chunk_drawn_bytes',
    'Bytes of chunks that this agent has drawn',
    ['source'],
    registry=metrics_registry.REGISTRY,
)

RunInThread = Callable[..., Any]
SendResult = Callable[[FetchResult], None]


class Fetcher:
    """Owns the transfers of one release; ``run`` runs blocking work in a thread."""

    def __init__(
        self,
        stored: StoredRelease,
        client: ChunkClient,
        clock: Clock,
        run: RunInThread,
        send_result: SendResult,
    ) -> None:
        self.in_flight: set[int] = set()
        self._problem = ''
        self._retry_at_seconds = float('-inf')
        self.is_synced = True
        self._stored = stored
        self._client = client
        self._clock = clock
        self._run = run
        self._send_result = send_result
        self._sync_call: Any = None
        self._syncing = False

    @property
    def problem(self) -> str:
        """Returns why chunks cannot be stored; empty once the next attempt is due."""
        return self._problem if self._clock.seconds() < self._retry_at_seconds else ''

    def apply_order(self, order: FetchOrder) -> None:
        """Starts the ordered transfers.

        A chunk that is held already is reported as done, one in progress is skipped.
        """
        for fetch in order.fetches:
            if fetch.chunk >= self._stored.manifest.chunk_count:
                continue
            if fetch.chunk in self._stored.held:
                self._send_result(self._make_result(fetch, FetchOutcome.done))
            elif fetch.chunk not in self.in_flight:
                self.in_flight.add(fetch.chunk)
                fetching = self._client.fetch_chunk(self._stored.manifest, fetch)
                fetching.addCallback(self._fetch_ended, fetch)

    def _fetch_ended(self, fetched: FetchedChunk, fetch: FetchItem) -> None:
        self.in_flight.discard(fetch.chunk)
        FETCHED_BYTES.labels(source=fetch.source.value).inc(fetched.drawn_bytes)
        if fetch.source is SourceKind.origin:
            self._stored.origin_bytes += fetched.drawn_bytes
        failure = fetched.failure or self._store_chunk(fetch, fetched.body)
        if failure is None:
            self._send_result(self._make_result(fetch, FetchOutcome.done, fetched))
            return
        release = self._stored.manifest.release
        events.log(
            CHUNK_REJECTED,
            release=release,
            chunk=fetch.chunk,
            source=fetch.address or 'origin',
            outcome=failure.outcome.value,
            reason=failure.reason,
        )
        self._send_result(self._make_result(fetch, failure.outcome, fetched, failure))

    def _store_chunk(self, fetch: FetchItem, body: bytes) -> FetchFailure | None:
        written = self._stored.write(fetch.chunk, body)
        if not isinstance(written, Success):
            self._record_fault(written.failure())
            return FetchFailure(FetchOutcome.unkept, written.failure().reason)
        self._problem = ''
        self.is_synced = False
        self._sync_later()
        return None

    def _sync_later(self) -> None:
        if self._sync_call is None and not self._syncing:
            delay_seconds = 0 if self._stored.is_complete else SYNC_DELAY_SECONDS
            self._sync_call = self._clock.callLater(delay_seconds, self._sync)

    def _sync(self) -> None:
        self._sync_call = None
        self._syncing = True
        held_before = len(self._stored.held)
        self._run(self._stored.sync).addCallback(self._sync_ended, held_before)

    def _sync_ended(self, outcome: Any, held_before: int) -> None:
        self._syncing = False
        if not isinstance(outcome, Success):
            self._record_fault(outcome.failure())
            self._sync_later()
            return
        self.is_synced = len(self._stored.held) == held_before
        if not self.is_synced:
            self._sync_later()

    def _record_fault(self, error: StoreError) -> None:
        if self._problem != error.reason:
            events.log(STORE_FAULT, release=self._stored.manifest.release, reason=error.reason)
        self._problem = error.reason
        self._retry_at_seconds = self._clock.seconds() + STORE_RETRY_SECONDS

    def _make_result(
        self,
        fetch: FetchItem,
        outcome: FetchOutcome,
        fetched: FetchedChunk | None = None,
        failure: FetchFailure | None = None,
    ) -> FetchResult:
        return FetchResult(
            release=self._stored.manifest.release,
            chunk=fetch.chunk,
            source=fetch.source,
            address=fetch.address,
            outcome=outcome,
            reason=failure.reason if failure else '',
            drawn_bytes=fetched.drawn_bytes if fetched else 0,
            retry_after_seconds=failure.retry_after_seconds if failure else 0,
        )
