"""Brings the engine on this host to the newest announced weights.

Pieces are fetched and staged at the engine. Right before the order to load them,
every staged piece is read back and verified, since staged data may become corrupt. If
the engine may have accepted the order later than allowed after that, it serves nothing
until the pieces have been verified once more.
The engine serves the old weights until the order. It then finishes its running
streams and accepts no new requests; entries are informed shortly before.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure
from twisted.internet.defer import Deferred, gatherResults

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.routing.weight_rules import LAST_SEND_MARGIN_SECONDS, expiry_seconds
from jackdawsail.site.document import EngineClass
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.drain import DrainAhead, StagingPace
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder, PieceList
from jackdawsail.staging.engine_calls import EngineCalls
from jackdawsail.staging.load_check import LoadCheck
from jackdawsail.staging.piece_fetcher import PieceFetcher
from jackdawsail.staging.piece_order import agent_order
from jackdawsail.staging.waves import may_change_over

CONCURRENT_FETCHES = 1  # more would queue on this host's link ahead of the prompts of live calls
RETRY_SECONDS = 0.25  # after a temporary failure: a source or the engine is unreachable
ORDER_SETTLE_SECONDS = 1.0  # after an order, until reports show whether the engine loads
LIST_RETRY_SECONDS = 1.0  # until the list of a newer version is requested again after a failure
NEARLY_STAGED_SHARE = 0.1  # of the pieces; if no more are missing, they are fetched first
WORTH_LOADING_SECONDS = 2.0  # of remaining use; loading for less delays the newer version more

STAGING_STARTED = events.define(565, 'info', 'staging of weights started')
STAGING_COMPLETE = events.define(566, 'info', 'all pieces of a weight version are staged')
PIECE_CORRUPT = events.define(
    567, 'warning', 'staged piece is missing or corrupt; fetching it again'
)
LOAD_ORDERED = events.define(568, 'info', 'engine ordered to load the staged weights')
LOAD_REFUSED = events.define(
    569, 'warning', 'engine refused the order to load or did not answer it'
)
WEIGHTS_LOADED = events.define(570, 'info', 'engine has loaded the wanted weights')
STAGING_FAILED = events.define(571, 'warning', 'staging of weights failed; retrying')
LOAD_UNCONFIRMED = events.define(
    575, 'error', 'engine may have loaded corrupt pieces; it serves nothing until newer weights'
)
VERSION_GIVEN_UP = events.define(574, 'info', 'weight version is given up for a newer one')


@dataclass(slots=True)
class StagedPieces:
    """The pieces of a version that are known to be staged at the engine, by index."""

    pieces: PieceList
    present: set[int] = field(default_factory=set)

    def missing(self) -> list[int]:
        """Returns the pieces that are not known to be staged."""
        return [index for index in range(len(self.pieces.digests)) if index not in self.present]

    def replace_list(self, pieces: PieceList) -> None:
        """Replaces the list; staged pieces whose digest is another one now are missing."""
        self.present &= self.pieces.unchanged_in(pieces)
        self.pieces = pieces


@dataclass(slots=True)
class Changeover:
    """Stages weights at the engine and orders the engine to load them."""

    clock: Any
    view: SiteView
    calls: EngineCalls
    fetcher: PieceFetcher
    settings: NodeSettings
    check: LoadCheck
    model: str = ''
    _is_loading: bool = False
    _ordered_version: int = 0
    _drain: DrainAhead = field(default_factory=DrainAhead)
    _pace: StagingPace = field(default_factory=StagingPace)
    _staged: StagedPieces | None = None
    _working: bool = False
    _retry_at_seconds: float = 0
    _report: EngineReport | None = None
    _confirmed_version: int = 0
    _unconfirmed_version: int = 0
    _unlisted_version: int = 0
    _list_retry_at_seconds: float = 0
    _failing: bool = False

    def handle_report(self, report: EngineReport, engine: EngineClass) -> None:
        """Handles a fresh report of the engine and starts a changeover that is due."""
        self._report = report
        if not engine.models:
            return
        self.model = engine.models[0]
        self.check.engine_reported(report.born_milliseconds, report.orders)
        loaded = report.version_of(self.model)
        is_current = loaded and report.layers >= engine.layers and loaded >= self.wanted_version
        if is_current and loaded not in self.check.unconfirmed:
            self._record_loaded(loaded)
            return
        if loaded and loaded == self._ordered_version:
            # It serves these weights while newer ones are staged.
            self._ordered_version = 0
            self._is_loading = False
        fits_memory = engine.layers * engine.layer_megabytes <= engine.memory_megabytes
        is_due = self.clock.seconds() >= self._retry_at_seconds
        if fits_memory and is_due and not self._working and not report.busy:
            self._working = True
            work: Any = Deferred.fromCoroutine(self._change_over())
            work.addErrback(events.log_failure).addBoth(self._work_ended)

    def engine_lost(self) -> None:
        """Forgets the loaded version, as the engine may restart with another one."""
        self._confirmed_version = 0

    @property
    def switching(self) -> bool:
        """Returns whether the engine accepts no new calls because it will load other weights."""
        is_draining = self._is_loading or self._drain.is_active(self.clock.seconds())
        return is_draining or self._loaded_version() in self.check.unconfirmed

    @property
    def wanted_version(self) -> int:
        """Returns the newest announced version; 0, for the origin's newest, if there is none."""
        target = self.view.newest_weights(self.model)
        return target.version if target else 0

    def _remaining_use_seconds(self, version: int) -> float:
        """Returns for how long entries still send calls to a version; infinite for the newest."""
        targets = self.view.weights.get(self.model, ())
        limit_seconds = expiry_seconds(version, targets, self.settings.bounds.weights_seconds)
        return limit_seconds - LAST_SEND_MARGIN_SECONDS - self.clock.seconds()

    def _record_loaded(self, loaded: int) -> None:
        self._is_loading = False
        if self._confirmed_version != loaded:
            self._confirmed_version = loaded
            events.log(WEIGHTS_LOADED, model=self.model, version=loaded)

    def _work_ended(self, _outcome: Any) -> None:
        self._working = False

    async def _change_over(self) -> None:
        """Stages the missing pieces, verifies all of them and orders the engine to load them."""
        if self._loaded_version() in self.check.unconfirmed and not await self._replaces_loaded():
            return
        staged = await self._choose_version()
        complete = staged is not None and await self._stage_missing(staged)
        self._drain.end()
        if staged is None or not complete:
            # A newer version is chosen at the next report, which is no failure.
            if staged is None or not self._is_outdated(staged):
                self._retry_later('a source or the engine does not answer')
            return
        if not self._may_stop_serving(staged.pieces.version):
            return
        self._is_loading = True
        if not await self._verify_staged(staged):
            self._retry_later('staged pieces were missing or corrupt')
            return
        await self._order_load(staged)

    async def _choose_version(self) -> StagedPieces | None:
        wanted = self.wanted_version
        staged = self._staged
        if staged is not None and not self._is_outdated(staged):
            return staged
        outcome = await self.fetcher.fetch_list(self.model, wanted)
        if isinstance(outcome, Failure):
            # The version that is being staged may be usable long before the newer one.
            self._unlisted_version = wanted
            self._list_retry_at_seconds = self.clock.seconds() + LIST_RETRY_SECONDS
            return None if staged is None or self._has_loaded(staged) else staged
        pieces = outcome.unwrap()
        fresh = StagedPieces(pieces)
        if staged is None:
            # After a restart of this process the engine may still hold staged pieces.
            fresh.present = await self.check.valid_pieces(pieces)
        elif not self._has_loaded(staged):
            events.log(VERSION_GIVEN_UP, newer=pieces.version, **_progress(self.model, staged))
        self._staged = fresh
        missing = len(fresh.missing())
        events.log(STAGING_STARTED, model=self.model, version=pieces.version, missing=missing)
        return fresh

    async def _stage_missing(self, staged: StagedPieces) -> bool:
        missing = staged.missing()
        if not missing:
            self._failing = False
            return True
        digests = staged.pieces.digests
        pending = deque(agent_order(self.settings, self.view, digests, missing))
        self._pace = StagingPace(self.clock.seconds())
        workers = [
            Deferred.fromCoroutine(self._stage_pending(staged, pending))
            for _ in range(CONCURRENT_FETCHES)
        ]
        await gatherResults(workers)
        complete = not staged.missing()
        self._failing = self._failing and not complete
        if complete:
            events.log(STAGING_COMPLETE, model=self.model, version=staged.pieces.version)
        return complete

    async def _stage_pending(self, staged: StagedPieces, pending: deque[int]) -> None:
        while pending and staged is self._staged and not self._is_outdated(staged):
            index = pending.popleft()
            fetched = await self.fetcher.fetch_piece(staged.pieces, index)
            if isinstance(fetched, Failure):
                reviewed = await self.fetcher.review_list(staged.pieces)
                if isinstance(reviewed, Failure):
                    return
                staged.replace_list(reviewed.unwrap())
                pending.append(index)
                continue
            self.check.piece_staged()
            outcome = await self.calls.write_piece(self.model, index, fetched.unwrap())
            if isinstance(outcome, Failure):
                return
            staged.present.add(index)
            self._pace.arrived += 1
            self._drain_ahead(staged)

    def _drain_ahead(self, staged: StagedPieces) -> None:
        """Lets running streams end while the last pieces arrive."""
        version = staged.pieces.version
        if self._may_stop_serving(version):
            now_seconds = self.clock.seconds()
            remaining_seconds = self._pace.remaining_seconds(len(staged.missing()), now_seconds)
            self._drain.update(version, remaining_seconds, now_seconds)

    def _is_outdated(self, staged: StagedPieces) -> bool:
        """Returns whether a newer version should be staged instead.

        A version that the engine has already loaded is outdated. Otherwise a nearly
        staged version is finished first if it can still be used for more than
        ``WORTH_LOADING_SECONDS``, and any version is staged further while the list of
        the newer one cannot be fetched.
        """
        wanted = self.wanted_version
        version = staged.pieces.version
        if version >= wanted:
            return False
        if self._has_loaded(staged):
            return True
        nearly_staged = len(staged.missing()) <= NEARLY_STAGED_SHARE * len(staged.pieces.digests)
        if nearly_staged and self._remaining_use_seconds(version) > WORTH_LOADING_SECONDS:
            return False
        waits_for_list = (
            self._unlisted_version == wanted and self.clock.seconds() < self._list_retry_at_seconds
        )
        return not waits_for_list

    def _has_loaded(self, staged: StagedPieces) -> bool:
        """Returns whether the engine serves this version or a newer one."""
        return self._loaded_version() >= staged.pieces.version

    def _loaded_version(self) -> int:
        return self._report.version_of(self.model) if self._report else 0

    async def _replaces_loaded(self) -> bool:
        """Confirms the loaded weights; returns whether newer ones replace unconfirmed ones."""
        loaded = self._loaded_version()
        if await self.check.confirm(loaded):
            return False
        if self._unconfirmed_version != loaded:
            self._unconfirmed_version = loaded
            events.log(LOAD_UNCONFIRMED, model=self.model, version=loaded)
        self._retry_at_seconds = self.clock.seconds() + ORDER_SETTLE_SECONDS
        return loaded < self.wanted_version

    async def _verify_staged(self, staged: StagedPieces) -> bool:
        for index in await self.check.invalid_pieces(staged.pieces, sorted(staged.present)):
            staged.present.discard(index)
            events.log(PIECE_CORRUPT, model=self.model, piece=index)
        return not staged.missing()

    async def _order_load(self, staged: StagedPieces) -> None:
        report = self._report
        if report is None or self._is_outdated(staged):
            self._is_loading = False
            return
        version = staged.pieces.version
        order = LoadWeightsOrder(self.model, version, report.orders)
        outcome = await self.check.order_load(staged.pieces, order)
        details = {'version': version, 'running': report.running, 'orders': report.orders}
        if isinstance(outcome, Failure):
            events.log(LOAD_REFUSED, reason=outcome.failure().reason, **details)
        else:
            self._ordered_version = version
            events.log(LOAD_ORDERED, **details)
        # No further order is sent until reports show whether the engine loads.
        self._retry_at_seconds = self.clock.seconds() + ORDER_SETTLE_SECONDS

    def _may_stop_serving(self, version: int) -> bool:
        """Returns whether this engine may stop serving the old weights now."""
        targets = self.view.weights.get(self.model, ())
        target = next((each for each in targets if each.version == version), None)
        if target is None or not self._loaded_version():
            return True
        age_seconds = self.clock.seconds() - target.announced_seconds
        within_seconds = self.settings.bounds.weights_seconds
        own_address = self.settings.address
        return may_change_over(own_address, self.view.agents(), age_seconds, within_seconds)

    def _retry_later(self, reason: str) -> None:
        self._drain.end()
        self._is_loading = False
        self._retry_at_seconds = self.clock.seconds() + RETRY_SECONDS
        if not self._failing:
            self._failing = True
            events.log(STAGING_FAILED, reason=reason, **_progress(self.model, self._staged))


def make_changeover(
    clock: Clock, view: SiteView, calls: EngineCalls, fetcher: PieceFetcher, settings: NodeSettings
) -> Changeover:
    """Creates the changeover of the engine that ``calls`` reach."""
    return Changeover(clock, view, calls, fetcher, settings, LoadCheck(clock, calls))


def _progress(model: str, staged: StagedPieces | None) -> dict[str, Any]:
    """Returns the fields of the log that tell how much of a version is staged."""
    if staged is None:
        return {'model': model}
    pieces = staged.pieces
    counts = {'staged': len(staged.present), 'pieces': len(pieces.digests)}
    return {'model': model, 'version': pieces.version, **counts}
