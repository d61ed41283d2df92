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

from prometheus_client import Counter
from returns.result import Failure, Result
from twisted.internet.defer import Deferred

from jackdawsail import events, metrics_registry
from jackdawsail.clocks import Clock
from jackdawsail.site.document import EngineClass
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.drain import DrainAhead, StagingPace
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder
from jackdawsail.staging.engine_calls import EngineCalls
from jackdawsail.staging.fetch_workers import (
    CONCURRENT_AFTER_STALL,
    CONCURRENT_FETCHES,
    FetchWorkers,
)
from jackdawsail.staging.load_check import LoadCheck
from jackdawsail.staging.piece_fetcher import PieceFetcher
from jackdawsail.staging.staged_versions import StagedPieces, StagedVersions
from jackdawsail.staging.waves import may_change_over

RETRY_SECONDS = 0.25  # after a temporary failure: a source or the engine is unreachable
ORDER_SETTLE_SECONDS = 1.0  # after an order, until reports show whether the engine loads

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
VERSION_RESUMED = events.define(
    579, 'info', 'older weight version is staged, as the newest cannot be obtained now'
)
VERSIONS_GIVEN_UP = Counter(
    'jackdawsail_weights_versions_given_up',
    'Weight versions whose staging was given up for a newer one',
    registry=metrics_registry.REGISTRY,
)


@dataclass(slots=True)
class Changeover:
    """Stages weights at the engine and orders the engine to load them."""

    clock: Any
    view: SiteView
    calls: EngineCalls
    fetcher: PieceFetcher
    settings: NodeSettings
    check: LoadCheck
    _versions: StagedVersions
    model: str = ''
    _is_loading: bool = False
    _ordered_version: int = 0
    _drain: DrainAhead = field(default_factory=DrainAhead)
    _pace: StagingPace = field(default_factory=StagingPace)
    _staged: StagedPieces | None = None
    _working: bool = False
    _goes_on_at_once: bool = False
    _retry_at_seconds: float = 0
    _report: EngineReport | None = None
    _confirmed_version: int = 0
    _unconfirmed_version: int = 0
    _failing: bool = False

    def handle_report(self, report: EngineReport, engine: EngineClass) -> None:
        """Handles a fresh report of the engine and starts a changeover that is due."""
        self._report = report
        if not engine.models:
            return
        self.model = engine.models[0]
        self._versions.model = self.model
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
            work.addErrback(events.log_failure).addBoth(
                lambda _outcome: setattr(self, '_working', False)
            )

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

    def _record_loaded(self, loaded: int) -> None:
        self._is_loading = False
        if self._confirmed_version != loaded:
            self._confirmed_version = loaded
            events.log(WEIGHTS_LOADED, model=self.model, version=loaded)

    async def _change_over(self) -> None:
        """Stages the missing pieces, verifies all of them and orders the engine to load them."""
        if self._loaded_version() in self.check.unconfirmed and not await self._replaces_loaded():
            return
        staged = await self._choose_version()
        complete = staged is not None and await self._stage_missing(staged)
        self._drain.end()
        if staged is None or not complete:
            await self._handle_incomplete(staged)
            return
        if not self._may_stop_serving(staged.pieces.version):
            await self._versions.fetch_others(self.fetcher, staged, self._loaded_version())
            return
        self._is_loading = True
        if not await self._verify_staged(staged):
            self._retry_later('staged pieces were missing or corrupt')
            return
        await self._order_load(staged)

    async def _handle_incomplete(self, staged: StagedPieces | None) -> None:
        """Fetches pieces of other versions if this one is stalled, or waits for a retry."""
        if staged is not None:
            if self._goes_on_at_once or self._is_outdated(staged):
                # A newer version is chosen at the next report, which is no failure.
                return
            fetch_others = self._versions.fetch_others
            loaded = self._loaded_version()
            if staged.is_stalled and await fetch_others(self.fetcher, staged, loaded):
                return
        self._retry_later('a source or the engine does not answer')

    async def _choose_version(self) -> StagedPieces | None:
        wanted = self.wanted_version
        staged = self._staged
        loaded = self._loaded_version()
        self._versions.drop_except(self._versions.useful(loaded))
        if staged is not None and not self._is_outdated(staged):
            older = self._versions.whole_older(staged, loaded)
            if older is None:
                return staged
            events.log(VERSION_RESUMED, newer=wanted, **_progress(self.model, older))
            return self._start_staging(older)
        fresh = await self._versions.list_version(self.fetcher, wanted)
        if fresh is None:
            # The version that is being staged may be usable long before the newer one.
            return None if staged is None or staged.is_within(loaded) else staged
        if staged is None:
            # After a restart of this process the engine may still hold staged pieces.
            fresh.present = await self.check.valid_pieces(fresh.pieces)
        elif not staged.is_within(loaded):
            VERSIONS_GIVEN_UP.inc()
            progress = _progress(self.model, staged)
            events.log(VERSION_GIVEN_UP, newer=fresh.pieces.version, **progress)
        return self._start_staging(fresh)

    def _start_staging(self, chosen: StagedPieces) -> StagedPieces:
        """Makes a version the one that the engine stages, and keeps the other one for later."""
        staged = self._staged
        if staged is not None and not staged.is_within(self._loaded_version()):
            self._versions.set_aside(staged)
        self._versions.kept.pop(chosen.pieces.version, None)
        self._staged = chosen
        missing = len(chosen.missing())
        version = chosen.pieces.version
        events.log(STAGING_STARTED, model=self.model, version=version, missing=missing)
        return chosen

    async def _stage_missing(self, staged: StagedPieces) -> bool:
        if not staged.missing():
            self._failing = False
            return True
        pending = deque(self._versions.plan_pass(staged))
        self._pace = StagingPace(self.clock.seconds())
        workers = FetchWorkers(
            self.clock,
            lambda: self._stage_pending(staged, pending, workers),
            lambda: self._versions.record_hang(staged),
        )
        await workers.run(CONCURRENT_AFTER_STALL if staged.has_stalled else CONCURRENT_FETCHES)
        self._goes_on_at_once = self._versions.pass_ended(staged)
        complete = not staged.missing()
        self._failing = self._failing and not complete
        if complete:
            events.log(STAGING_COMPLETE, model=self.model, version=staged.pieces.version)
        return complete

    async def _stage_pending(
        self, staged: StagedPieces, pending: deque[int], workers: FetchWorkers
    ) -> None:
        while pending and staged is self._staged and not self._is_outdated(staged):
            index = pending.popleft()
            with workers.guard():
                fetched = await self._versions.fetch_piece(self.fetcher, staged, index)
            if isinstance(fetched, Failure):
                if not await self._goes_on(staged, pending, index, fetched):
                    return
                continue
            self.check.piece_staged()
            outcome = await self.calls.write_piece(self.model, index, fetched.unwrap())
            if isinstance(outcome, Failure):
                return
            staged.present.add(index)
            self._pace.arrived += 1
            self._drain_ahead(staged)

    async def _goes_on(
        self, staged: StagedPieces, pending: deque[int], index: int, failed: Result[bytes, str]
    ) -> bool:
        """Returns whether other pieces are worth a try after a fetch that failed.

        The piece is tried again if its list was wrong and is replaced.
        """
        reviewed = await self.fetcher.review_list(staged.pieces)
        if isinstance(reviewed, Failure):
            goes_on = self._versions.may_go_on(staged, failed)
            if staged.is_stalled:
                # The other workers end, too; the next pass begins once a piece arrives.
                pending.clear()
            return goes_on
        staged.replace_list(reviewed.unwrap())
        pending.append(index)
        return True

    def _drain_ahead(self, staged: StagedPieces) -> None:
        """Lets running streams end while the last pieces arrive."""
        version = staged.pieces.version
        if self._may_stop_serving(version):
            now_seconds = self.clock.seconds()
            remaining_seconds = self._pace.remaining_seconds(len(staged.missing()), now_seconds)
            self._drain.update(version, remaining_seconds, now_seconds)

    def _is_outdated(self, staged: StagedPieces) -> bool:
        """Returns whether a newer version should be staged instead.

        A version that the engine has already loaded is outdated. Otherwise ``version_choice``
        decides, and any version is staged further while the list of the newer one cannot
        be fetched.
        """
        wanted = self.wanted_version
        version = staged.pieces.version
        if version >= wanted:
            return False
        loaded = self._loaded_version()
        if staged.is_within(loaded):
            return True
        if self._versions.is_finished_first(staged, wanted, self._staged, loaded):
            return False
        return not self._versions.waits_for_list(wanted)

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
    versions = StagedVersions(clock, view, settings)
    return Changeover(clock, view, calls, fetcher, settings, LoadCheck(clock, calls), versions)


def _progress(model: str, staged: StagedPieces | None) -> dict[str, Any]:
    """Returns the fields of the log that tell how much of a version is staged."""
    if staged is None:
        return {'model': model}
    pieces = staged.pieces
    counts = {'staged': len(staged.present), 'pieces': len(pieces.digests)}
    return {'model': model, 'version': pieces.version, **counts}
