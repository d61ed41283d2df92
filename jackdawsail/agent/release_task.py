"""Prepares one release on this host: opens the store, fetches, syncs and verifies the file."""

from collections.abc import Callable, Collection
from typing import Any

from returns.result import Success

from jackdawsail import events
from jackdawsail.agent.switcher import ReadyRelease
from jackdawsail.clocks import Clock
from jackdawsail.weights.bitmap import pack_chunks
from jackdawsail.weights.chunk_client import ChunkClient
from jackdawsail.weights.chunk_store import ChunkStore, StoredRelease
from jackdawsail.weights.fetcher import Fetcher, RunInThread
from jackdawsail.weights.manifest import Manifest
from jackdawsail.wire.weight_messages import ChunkReport, FetchOrder, FetchResult

OPEN_RETRY_SECONDS = 2.0
RELEASE_VERIFIED = events.define(501, 'info', 'release is complete and verified')
RELEASE_CORRUPT = events.define(
    502, 'error', 'release failed verification; corrupt chunks were dropped'
)
STORE_FULL = events.define(503, 'error', 'chunk store has no room for the release')


def _ignore_result(_result: FetchResult) -> None:
    """Default of ``on_fetch_ended`` until the owner sets it, and again after ``stop``."""


def _ignore_verification() -> None:
    """Default of ``on_verification_ended`` until the owner sets it."""


class ReleaseTask:
    """Fetches and verifies one release; ``run`` calls blocking work in a thread.

    ``on_verification_ended`` is called after each verification, also if it failed.
    """

    def __init__(
        self,
        manifest: Manifest,
        store: ChunkStore,
        chunk_client: ChunkClient,
        clock: Clock,
        run: RunInThread,
    ) -> None:
        self.manifest = manifest
        self.problem = ''
        self.on_fetch_ended: Callable[[FetchResult], None] = _ignore_result
        self.on_verification_ended: Callable[[], None] = _ignore_verification
        self._store = store
        self._chunk_client = chunk_client
        self._clock = clock
        self._run = run
        self._stored: StoredRelease | None = None
        self._fetcher: Fetcher | None = None
        self._verifying = False
        self._retry_at_seconds = float('-inf')

    @property
    def held(self) -> set[int]:
        """Returns the indexes of the verified chunks on this host."""
        return self._stored.held if self._stored else set()

    @property
    def in_flight(self) -> set[int]:
        """Returns the indexes of the chunks that are being fetched."""
        return self._fetcher.in_flight if self._fetcher else set()

    @property
    def origin_bytes(self) -> int:
        """Returns the bytes of the release that this host has fetched from the origin."""
        return self._stored.origin_bytes if self._stored else 0

    def open(self, kept_releases: Collection[str]) -> None:
        """Opens the store for the release, unless it is open or an attempt has just failed.

        The time between attempts is at least ``OPEN_RETRY_SECONDS``. The store removes all
        other releases that are not in ``kept_releases``.
        """
        now = self._clock.seconds()
        if self._stored is not None or now < self._retry_at_seconds:
            return
        self._retry_at_seconds = now + OPEN_RETRY_SECONDS
        outcome = self._store.open(self.manifest, kept_releases)
        if not isinstance(outcome, Success):
            self._set_problem(outcome.failure().reason)
            return
        self.problem = ''
        self._stored = outcome.unwrap()
        self._fetcher = Fetcher(
            self._stored, self._chunk_client, self._clock, self._run, self._fetch_ended
        )

    def order(self, order: FetchOrder) -> None:
        """Starts the transfers of an order, if it is for this release and the store is open."""
        if self._fetcher is not None and order.release == self.manifest.release:
            self._fetcher.apply_order(order)

    def advance(self) -> None:
        """Starts the verification of the file once every chunk is held and synced."""
        stored = self._stored
        fetcher = self._fetcher
        if stored is None or fetcher is None:
            return
        self.problem = fetcher.problem
        verification_due = stored.is_complete and fetcher.is_synced and not stored.is_verified
        if verification_due and not self._verifying:
            self._verifying = True
            self._run(stored.verify).addBoth(self._record_verification)

    def ready(self) -> ReadyRelease | None:
        """Returns the release if its file is verified and may be loaded, else None."""
        stored = self._stored
        if stored is None or not stored.is_verified:
            return None
        path = str(stored.path.resolve())
        return ReadyRelease(self.manifest.release, path, self.manifest.digest)

    def report(self, stage: str, problem: str, chunk_address: str) -> ChunkReport:
        """Builds the report to the tracker."""
        return ChunkReport(
            release=self.manifest.release,
            bitmap=pack_chunks(self.held, self.manifest.chunk_count),
            in_flight=sorted(self.in_flight),
            stage=stage,
            problem=problem,
            chunk_address=chunk_address,
            origin_bytes=self.origin_bytes,
        )

    def stop(self) -> None:
        """Stops reporting; transfers in progress end without a report to the tracker."""
        self.on_fetch_ended = _ignore_result

    def _fetch_ended(self, fetch_result: FetchResult) -> None:
        self.on_fetch_ended(fetch_result)

    def _record_verification(self, outcome: Any) -> None:
        self._verifying = False
        event = RELEASE_VERIFIED if outcome is True else RELEASE_CORRUPT
        events.log(event, release=self.manifest.release)
        self.on_verification_ended()

    def _set_problem(self, reason: str) -> None:
        if reason != self.problem:
            events.log(STORE_FULL, release=self.manifest.release, reason=reason)
        self.problem = reason
