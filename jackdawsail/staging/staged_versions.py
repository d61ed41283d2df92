"""The weight versions that an agent has pieces of, and the fetches of these pieces.

An engine stages one version at a time. The pieces of the version that is being staged, and of
others that may still be useful, are also kept in memory until one of them is loaded, so that
the choice between versions can change without fetching anything twice.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from returns.result import Failure, Result, Success

from jackdawsail.clocks import Clock
from jackdawsail.routing.weight_rules import LAST_SEND_MARGIN_SECONDS, expiry_seconds
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.piece_fetcher import UNOBTAINABLE, PieceFetcher
from jackdawsail.staging.piece_order import agent_order
from jackdawsail.staging.version_choice import (
    WORTH_LOADING_SECONDS,
    EngineOutlook,
    VersionProgress,
    is_finished_first,
)

MAX_KEPT_BYTES = 16_777_216  # of all versions; pieces beyond are fetched again if needed
MAX_KEPT_VERSIONS = 2  # besides the one that is being staged
LIST_RETRY_SECONDS = 0.25  # until a list is requested again after a failure
LIST_RETRY_RATIO = 2.0  # the same in fetches, as one may hang
AHEAD_PIECES = 8  # of another version, until the one that is being staged is tried again
MISSES_ALLOWED = 8  # pieces in a row that no source has, until the others are not tried now
FETCHES_KEPT = 8  # the fastest of them tells the pace of the link, as others wait for relays


@dataclass(slots=True)
class StagedPieces:
    """The pieces of a version that are known to be staged at the engine, by index.

    ``bodies`` are those kept in memory. ``misses`` counts the pieces in a row that no source
    had, ``missed`` and ``fetched`` those that were missed or arrived in the present pass over
    the missing ones. ``is_stalled`` is whether so many were missed that the version cannot go
    on now, ``has_stalled`` whether that was so at any time. ``probes`` counts the passes while
    it was stalled.
    """

    pieces: PieceList
    present: set[int] = field(default_factory=set)
    bodies: dict[int, bytes] = field(default_factory=dict)
    misses: int = 0
    missed: int = 0
    fetched: int = 0
    is_stalled: bool = False
    has_stalled: bool = False
    probes: int = 0

    def missing(self) -> list[int]:
        """Returns the pieces that are not known to be staged."""
        return [index for index in range(len(self.pieces.digests)) if index not in self.present]

    def lacking(self) -> list[int]:
        """Returns the pieces that have to be fetched."""
        return [index for index in self.missing() if index not in self.bodies]

    def is_within(self, loaded: int) -> bool:
        """Returns whether an engine with a loaded version has this one or a newer one."""
        return loaded >= self.pieces.version

    def replace_list(self, pieces: PieceList) -> None:
        """Replaces the list; pieces whose digest is another one now are missing."""
        unchanged = self.pieces.unchanged_in(pieces)
        self.present &= unchanged
        self.bodies = {index: body for index, body in self.bodies.items() if index in unchanged}
        self.pieces = pieces

    def progress(self, use_seconds: float) -> VersionProgress:
        """Returns what the choice of a version rests on."""
        counts = (len(self.lacking()), len(self.pieces.digests))
        return VersionProgress(self.pieces.version, *counts, use_seconds, self.is_stalled)


@dataclass(slots=True)
class StagedVersions:
    """Fetches pieces of several versions, and keeps those that the engine does not stage now."""

    clock: Clock
    view: SiteView
    settings: NodeSettings
    model: str = ''
    kept: dict[int, StagedPieces] = field(default_factory=dict)
    _fetch_seconds: deque[float] = field(default_factory=partial(deque, maxlen=FETCHES_KEPT))
    _unlisted_version: int = 0
    _list_retry_at_seconds: float = 0

    @property
    def seconds_per_piece(self) -> float:
        """Returns the time that the link takes for a piece; 0 before the first."""
        return min(self._fetch_seconds, default=0)

    async def list_version(self, fetcher: PieceFetcher, version: int) -> StagedPieces | None:
        """Returns a version that is kept, or one whose list is fetched; None if that fails."""
        if version in self.kept:
            return self.kept[version]
        started_seconds = self.clock.seconds()
        outcome = await fetcher.fetch_list(self.model, version)
        if isinstance(outcome, Success):
            return StagedPieces(outcome.unwrap())
        self._unlisted_version = version
        now_seconds = self.clock.seconds()
        wait_seconds = LIST_RETRY_RATIO * (now_seconds - started_seconds)
        self._list_retry_at_seconds = now_seconds + max(wait_seconds, LIST_RETRY_SECONDS)
        return None

    def waits_for_list(self, version: int) -> bool:
        """Returns whether the list of a version is not to be requested again yet."""
        is_early = self.clock.seconds() < self._list_retry_at_seconds
        return self._unlisted_version == version and is_early

    async def fetch_others(self, fetcher: PieceFetcher, staged: StagedPieces, loaded: int) -> bool:
        """Fetches pieces of other useful versions into memory; returns whether there were any."""
        for version in self.useful(loaded):
            if version == staged.pieces.version or self.waits_for_list(version):
                continue
            other = await self.list_version(fetcher, version)
            if other is not None and await self.fetch_ahead(fetcher, other):
                return True
        return False

    def whole_older(self, staged: StagedPieces, loaded: int) -> StagedPieces | None:
        """Returns an older version that is whole in memory and to be loaded before this one.

        That is so only while this one is stalled.
        """
        whole = [
            each
            for version, each in sorted(self.kept.items())
            if version < staged.pieces.version and not each.lacking()
        ]
        if not whole or not staged.is_stalled:
            return None
        wanted = staged.pieces.version
        is_first = self.is_finished_first(whole[-1], wanted, staged, loaded)
        return whole[-1] if is_first else None

    async def fetch_piece(
        self, fetcher: PieceFetcher, staged: StagedPieces, index: int
    ) -> Result[bytes, str]:
        """Returns a piece from memory or from a source."""
        if index in staged.bodies:
            return Success(staged.bodies[index])
        started_seconds = self.clock.seconds()
        pieces = staged.pieces
        outcome = await fetcher.fetch_piece(pieces, index)
        if isinstance(outcome, Success):
            self._fetch_seconds.append(self.clock.seconds() - started_seconds)
            self._record_success(staged)
            if pieces is staged.pieces:
                self._keep_body(staged, index, outcome.unwrap())
        elif outcome.failure() in UNOBTAINABLE:
            staged.misses += 1
            staged.missed += 1
        return outcome

    def may_go_on(self, staged: StagedPieces, outcome: Result[bytes, str]) -> bool:
        """Returns whether another piece is worth a try after a fetch that failed."""
        if not isinstance(outcome, Failure) or outcome.failure() not in UNOBTAINABLE:
            return False
        # One piece shows whether a stalled version can go on.
        staged.is_stalled = staged.is_stalled or staged.misses >= MISSES_ALLOWED
        staged.has_stalled = staged.has_stalled or staged.is_stalled
        return not staged.is_stalled

    def plan_pass(self, staged: StagedPieces) -> list[int]:
        """Returns the missing pieces in the order of a pass; another one each time if stalled."""
        digests = staged.pieces.digests
        order = agent_order(self.settings, self.view, digests, staged.missing())
        if not staged.is_stalled:
            return order
        staged.probes += 1
        in_memory = [index for index in order if index in staged.bodies]
        lacking = staged.lacking()
        return [*in_memory, lacking[staged.probes % len(lacking)]] if lacking else in_memory

    def pass_ended(self, staged: StagedPieces) -> bool:
        """Records that all missing pieces were tried, or as many as there was reason to.

        Returns whether the rest is worth another pass at once.
        """
        goes_on = staged.fetched > 0 and staged.missed > 0
        staged.is_stalled = staged.is_stalled or (staged.missed > 0 and not goes_on)
        staged.fetched = 0
        staged.missed = 0
        staged.has_stalled = staged.has_stalled or staged.is_stalled
        return goes_on and not staged.is_stalled

    def record_hang(self, staged: StagedPieces) -> None:
        """Records that a fetch hangs, though pieces have arrived before."""
        staged.has_stalled = staged.has_stalled or self.seconds_per_piece > 0

    async def fetch_ahead(self, fetcher: PieceFetcher, other: StagedPieces) -> bool:
        """Fetches some pieces of a version that the engine does not stage now.

        Returns whether it did.
        """
        self.kept[other.pieces.version] = other
        lacking = agent_order(self.settings, self.view, other.pieces.digests, other.lacking())
        fetched = 0
        for index in lacking[:AHEAD_PIECES]:
            outcome = await self.fetch_piece(fetcher, other, index)
            if isinstance(outcome, Failure) and not self.may_go_on(other, outcome):
                break
            fetched += isinstance(outcome, Success)
        self.pass_ended(other)
        return fetched > 0

    def useful(self, loaded: int) -> list[int]:
        """Returns the announced versions that are worth loading, the newest first."""
        return [
            target.version
            for target in reversed(self.view.weights.get(self.model, ()))
            if target.version > loaded
            and self._use_seconds(target.version) > WORTH_LOADING_SECONDS
        ]

    def is_finished_first(
        self, older: StagedPieces, wanted: int, staged: StagedPieces | None, loaded: int
    ) -> bool:
        """Returns whether an older version is staged before the wanted one.

        ``staged`` is what the engine stages now, ``loaded`` the version that it serves.
        """
        newest = self.kept.get(wanted)
        if newest is None and staged is not None and staged.pieces.version == wanted:
            newest = staged
        count = len(older.pieces.digests)
        progress = newest.progress(math.inf) if newest else VersionProgress(wanted, count, count)
        served_seconds = max(0, self._use_seconds(loaded)) if loaded else 0
        return is_finished_first(
            older.progress(self._use_seconds(older.pieces.version)),
            progress,
            EngineOutlook(served_seconds, self.seconds_per_piece),
        )

    def _use_seconds(self, version: int) -> float:
        """Returns for how long entries still send calls to a version; infinite for the newest."""
        targets = self.view.weights.get(self.model, ())
        limit_seconds = expiry_seconds(version, targets, self.settings.bounds.weights_seconds)
        return limit_seconds - LAST_SEND_MARGIN_SECONDS - self.clock.seconds()

    def set_aside(self, staged: StagedPieces) -> None:
        """Keeps the pieces of a version in memory while the engine stages another one."""
        staged.present.clear()
        self.kept[staged.pieces.version] = staged
        for oldest in sorted(self.kept)[:-MAX_KEPT_VERSIONS]:
            self.kept.pop(oldest)

    def drop_except(self, useful: Iterable[int]) -> None:
        """Forgets the versions that are of no use any more."""
        wanted = set(useful)
        self.kept = {version: staged for version, staged in self.kept.items() if version in wanted}

    def _record_success(self, staged: StagedPieces) -> None:
        staged.misses = 0
        staged.fetched += 1
        if staged.is_stalled:
            # What has ended, most often an outage of the origin, has ended for all versions.
            for each in (staged, *self.kept.values()):
                each.is_stalled = False

    def _keep_body(self, staged: StagedPieces, index: int, body: bytes) -> None:
        held = {id(each): each for each in (staged, *self.kept.values())}.values()
        held_bytes = sum(len(kept) for each in held for kept in each.bodies.values())
        if held_bytes + len(body) <= MAX_KEPT_BYTES:
            staged.bodies[index] = body
