"""Makes the manifest of a release that was declared by its whole digest only.

The tracker of one data centre, chosen by rendezvous hash, reads the origin once
through, a range at a time, and keeps nothing but digests. The manifest goes to
the control hosts only when the whole digest is the declared one.
"""

import hashlib
from collections.abc import Callable, Generator, Sequence
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from jackdawsail import events
from jackdawsail.process import ProcessContext
from jackdawsail.weights.chunk_client import ChunkClient, FetchedChunk
from jackdawsail.weights.http_read import make_pool
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.release_messages import ManifestReport, ReleaseProblem
from jackdawsail.wire.weight_messages import FetchItem, FetchOutcome, SourceKind

RETRY_SECONDS = 1.0
MANIFEST_READ = events.define(540, 'info', 'manifest is made from the first read of the origin')
MANIFEST_REFUSED = events.define(541, 'error', 'the first read of a release cannot be completed')

Tell = Callable[[object], None]


class FirstReader:
    """Reads at most one release at a time; ``tell`` sends to the control hosts."""

    def __init__(self, context: ProcessContext, tell: Tell) -> None:
        http_agent = context.make_http_agent(make_pool(context.reactor))
        self._drawer = ChunkClient(http_agent, context.reactor, context.secret)
        self._zone = context.identity.zone
        self._reactor = context.reactor
        self._tell = tell
        self._reading = ''
        self._told: set[str] = set()
        self._wanted: frozenset[str] = frozenset()

    def follow(
        self,
        unread: Sequence[Manifest],
        zones: Sequence[str],
        origin_url: str,
        bits_per_second: float,
    ) -> None:
        """Takes the running releases that have no chunk digests yet."""
        self._wanted = frozenset(manifest.release for manifest in unread)
        self._told &= self._wanted
        self._drawer.origin_url = origin_url
        own = [each for each in unread if rank_zones(each.digest, zones)[:1] == [self._zone]]
        waiting = [each for each in own if each.release not in self._told]
        if waiting and not self._reading:
            self._reading = waiting[0].release
            self._read(waiting[0], bits_per_second).addBoth(self._ended)

    def stop(self) -> None:
        """Gives up what is being read; another tracker begins anew."""
        self._wanted = frozenset()

    def _ended(self, _outcome: Any) -> None:
        self._reading = ''

    @inlineCallbacks
    def _read(self, manifest: Manifest, bits_per_second: float) -> Generator[Any, Any, None]:
        whole = hashlib.sha256()
        digests: list[str] = []
        for chunk in range(manifest.chunk_count):
            fetch = FetchItem(chunk, SourceKind.origin, '', bits_per_second)
            drawn = yield self._draw(manifest, fetch)
            if drawn is None:
                return
            whole.update(drawn.body)
            digests.append(hashlib.sha256(drawn.body).hexdigest())
        self._close(manifest, whole.hexdigest(), digests)

    @inlineCallbacks
    def _draw(
        self, manifest: Manifest, fetch: FetchItem
    ) -> Generator[Any, Any, FetchedChunk | None]:
        """Draws one range until it is whole; None when the release is given up."""
        while manifest.release in self._wanted:
            drawn = yield self._drawer.fetch_unverified(manifest, fetch)
            if drawn.end is None:
                return drawn
            if drawn.end.outcome is FetchOutcome.changed:
                self._fail(manifest.release, drawn.end.reason)
                return None
            wait_seconds = max(RETRY_SECONDS, drawn.end.retry_after_seconds)
            yield deferLater(self._reactor, wait_seconds, lambda: None)
        return None

    def _close(self, manifest: Manifest, digest: str, digests: list[str]) -> None:
        release = manifest.release
        if digest != manifest.digest:
            self._fail(release, 'origin content has not the declared digest')
            return
        # The state shows the answer only a round trip later; do not read again meanwhile.
        self._told.add(release)
        events.log(MANIFEST_READ, release=release)
        self._tell(ManifestReport(release, manifest.chunk_bytes, digest, digests))

    def _fail(self, release: str, reason: str) -> None:
        self._told.add(release)
        events.log(MANIFEST_REFUSED, release=release, reason=reason)
        self._tell(ReleaseProblem(release, reason))
