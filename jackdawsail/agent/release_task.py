"""One release on this host: open the store, fetch, sync, verify the whole file."""

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
RELEASE_VERIFIED = events.define(501, 'info', 'release is whole and verified')
RELEASE_BAD = events.define(502, 'error', 'release failed its verification; bad chunks dropped')
STORE_FULL = events.define(503, 'error', 'chunk store has no room for the release')


def _tell_nobody(_ended: FetchResult) -> None:
    """Stands in until the owner sets ``tell``."""


def _ignore_verified() -> None:
    """Stands in until the owner sets ``on_verified``."""


class ReleaseTask:
    """Brings one release from nothing to a verified file."""

    def __init__(
        self,
        manifest: Manifest,
        store: ChunkStore,
        drawer: ChunkClient,
        clock: Clock,
        run: RunInThread,
    ) -> None:
        self.manifest = manifest
        self.problem = ''
        self.tell: Callable[[FetchResult], None] = _tell_nobody
        self.on_verified: Callable[[], None] = _ignore_verified
        self._store = store
        self._drawer = drawer
        self._clock = clock
        self._run = run
        self._stored: StoredRelease | None = None
        self._fetcher: Fetcher | None = None
        self._verifying = False
        self._retry_at_seconds = float('-inf')

    @property
    def held(self) -> set[int]:
        """Returns the proved chunks on this host."""
        return self._stored.held if self._stored else set()

    @property
    def in_flight(self) -> set[int]:
        """Returns the chunks under way."""
        return self._fetcher.in_flight if self._fetcher else set()

    @property
    def origin_bytes(self) -> int:
        """Returns what this host has drawn of the release from the origin."""
        return self._stored.origin_bytes if self._stored else 0

    def open(self, keep: Collection[str]) -> None:
        """Opens the store for the release; a full disk is tried again later."""
        now = self._clock.seconds()
        if self._stored is not None or now < self._retry_at_seconds:
            return
        self._retry_at_seconds = now + OPEN_RETRY_SECONDS
        outcome = self._store.open(self.manifest, keep)
        if not isinstance(outcome, Success):
            self._note_problem(outcome.failure().reason)
            return
        self.problem = ''
        self._stored = outcome.unwrap()
        self._fetcher = Fetcher(self._stored, self._drawer, self._clock, self._run, self._told)

    def order(self, order: FetchOrder) -> None:
        """Carries out an order for this release."""
        if self._fetcher is not None and order.release == self.manifest.release:
            self._fetcher.order(order)

    def advance(self) -> None:
        """Verifies the whole file once every chunk is held and synced."""
        stored = self._stored
        fetcher = self._fetcher
        if stored is None or fetcher is None:
            return
        self.problem = fetcher.problem
        due = stored.is_complete and fetcher.is_synced and not stored.is_verified
        if due and not self._verifying:
            self._verifying = True
            self._run(stored.verify).addBoth(self._verified)

    def ready(self) -> ReadyRelease | None:
        """Returns the release when its file may be loaded."""
        stored = self._stored
        if stored is None or not stored.is_verified:
            return None
        path = str(stored.path.resolve())
        return ReadyRelease(self.manifest.release, path, self.manifest.digest)

    def report(self, stage: str, problem: str, chunk_address: str) -> ChunkReport:
        """Makes the account that the tracker gets."""
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
        """Lets transfers under way end unheard."""
        self.tell = _tell_nobody

    def _told(self, ended: FetchResult) -> None:
        self.tell(ended)

    def _verified(self, outcome: Any) -> None:
        self._verifying = False
        event = RELEASE_VERIFIED if outcome is True else RELEASE_BAD
        events.log(event, release=self.manifest.release)
        self.on_verified()

    def _note_problem(self, reason: str) -> None:
        if reason != self.problem:
            events.log(STORE_FULL, release=self.manifest.release, reason=reason)
        self.problem = reason
