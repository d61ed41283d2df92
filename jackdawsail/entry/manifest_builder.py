"""Builds the manifest of a release that was declared with its whole-file digest only.

The tracker of one data centre, chosen by rendezvous hash, reads the release once
from the origin, one range at a time, and keeps only the digests. It sends the
manifest to the control hosts only if the whole-file digest is the declared one.
"""

import hashlib
from collections.abc import Callable, Generator, Sequence
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from jackdawsail import events
from jackdawsail.process import ProcessContext
from jackdawsail.weights.chunk_client import ChunkClient, FetchedChunk
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.release_messages import ManifestReport, ReleaseProblem
from jackdawsail.wire.weight_messages import FetchItem, FetchOutcome, SourceKind

RETRY_SECONDS = 1.0
MANIFEST_BUILT = events.define(540, 'info', 'manifest built from the first read of the origin')
MANIFEST_FAILED = events.define(
    541, 'error', 'cannot build the manifest of a release from the origin'
)

SendToControl = Callable[[object], None]


class ManifestBuilder:
    """Builds one manifest at a time; ``send_to_control`` sends to the control hosts."""

    def __init__(self, context: ProcessContext, send_to_control: SendToControl) -> None:
        self._chunk_client = ChunkClient(context.make_channel_pool, context.secret)
        self._zone = context.identity.zone
        self._reactor = context.reactor
        self._send_to_control = send_to_control
        self._building_release = ''
        self._reported_releases: set[str] = set()
        self._wanted_releases: frozenset[str] = frozenset()

    def update(
        self,
        manifests: Sequence[Manifest],
        zones: Sequence[str],
        origin_url: str,
        bits_per_second: float,
    ) -> None:
        """Sets the running releases without chunk digests and starts a build if none runs.

        Releases that rendezvous hashing assigns to another zone are skipped.
        """
        self._wanted_releases = frozenset(manifest.release for manifest in manifests)
        self._reported_releases &= self._wanted_releases
        self._chunk_client.origin_url = origin_url
        assigned = [
            each for each in manifests if rank_zones(each.digest, zones)[:1] == [self._zone]
        ]
        unreported = [each for each in assigned if each.release not in self._reported_releases]
        if unreported and not self._building_release:
            self._building_release = unreported[0].release
            self._build(unreported[0], bits_per_second).addBoth(self._build_ended)

    def stop(self) -> None:
        """Aborts the current build; the next tracker starts it again from the first range."""
        self._wanted_releases = frozenset()

    def _build_ended(self, _outcome: Any) -> None:
        self._building_release = ''

    @inlineCallbacks
    def _build(self, manifest: Manifest, bits_per_second: float) -> Generator[Any, Any, None]:
        file_hash = hashlib.sha256()
        digests: list[str] = []
        for chunk in range(manifest.chunk_count):
            fetch = FetchItem(chunk, SourceKind.origin, '', bits_per_second)
            fetched = yield self._fetch_range(manifest, fetch)
            if fetched is None:
                return
            file_hash.update(fetched.body)
            digests.append(hashlib.sha256(fetched.body).hexdigest())
        self._finish(manifest, file_hash.hexdigest(), digests)

    @inlineCallbacks
    def _fetch_range(
        self, manifest: Manifest, fetch: FetchItem
    ) -> Generator[Any, Any, FetchedChunk | None]:
        """Fetches one range, retrying until it succeeds.

        Returns None if the release is no longer wanted or its content changed at the origin.
        """
        while manifest.release in self._wanted_releases:
            fetched = yield self._chunk_client.fetch_unverified(manifest, fetch)
            if fetched.failure is None:
                return fetched
            if fetched.failure.outcome is FetchOutcome.changed:
                self._fail(manifest.release, fetched.failure.reason)
                return None
            wait_seconds = max(RETRY_SECONDS, fetched.failure.retry_after_seconds)
            yield deferLater(self._reactor, wait_seconds, lambda: None)
        return None

    def _finish(self, manifest: Manifest, digest: str, digests: list[str]) -> None:
        release = manifest.release
        if digest != manifest.digest:
            self._fail(release, 'origin content has not the declared digest')
            return
        # The replicated state shows the manifest only a round trip later; until then the
        # release must not be read again.
        self._reported_releases.add(release)
        events.log(MANIFEST_BUILT, release=release)
        self._send_to_control(ManifestReport(release, manifest.chunk_bytes, digest, digests))

    def _fail(self, release: str, reason: str) -> None:
        self._reported_releases.add(release)
        events.log(MANIFEST_FAILED, release=release, reason=reason)
        self._send_to_control(ReleaseProblem(release, reason))
