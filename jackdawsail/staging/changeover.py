"""Brings the engine on this host to the newest named weights.

Pieces are drawn, staged and marked; right before the order to load them every
staged piece is read back and checked, since what lies at an engine may go bad.
The old weights serve until the order; an engine finishes its running streams and
takes nothing new meanwhile, which entries are told shortly before.
"""

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Success
from twisted.internet.defer import Deferred, gatherResults

from jackdawsail import events
from jackdawsail.site.document import EngineClass
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.drawing import Drawing, is_sound
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder, PieceList
from jackdawsail.staging.engine_calls import EngineCalls
from jackdawsail.staging.waves import may_change_over

DRAWS_AT_ONCE = 1  # more would queue on this host's link before the prompts of live calls
RETRY_SECONDS = 0.25  # after a failure that may pass: a source or the engine is away
STATE_SECONDS = 1.0
LIST_AGAIN_SECONDS = 1.0  # until a newer version whose list could not be drawn is tried again
NEARLY_STAGED_SHARE = 0.1  # of the pieces; so few are drawn before a newer version is begun
WORTH_LOADING_SECONDS = 3.0  # of use before a newer version is due; less costs the newer one more

STAGING = events.define(565, 'info', 'staging of weights begins')
STAGED = events.define(566, 'info', 'all pieces are staged')
PIECE_SPOILT = events.define(567, 'warning', 'staged piece is missing or spoilt, drawn again')
START_ORDERED = events.define(568, 'info', 'engine ordered to load the staged weights')
START_REFUSED = events.define(569, 'warning', 'engine refused or lost the order to load')
WEIGHTS_LOADED = events.define(570, 'info', 'engine holds the wanted weights')
STAGING_FAILED = events.define(571, 'warning', 'staging of weights failed, tried again later')


@dataclass(slots=True)
class StagedPieces:
    """Which pieces of a version lie at the engine, as far as known."""

    pieces: PieceList
    marked: set[int] = field(default_factory=set)

    def missing(self) -> list[int]:
        """Returns the pieces that are not known to be staged."""
        return [index for index in range(len(self.pieces.digests)) if index not in self.marked]


@dataclass(slots=True)
class Changeover:
    """Owns what is staged at the engine and the orders to it."""

    clock: Any
    view: SiteView
    calls: EngineCalls
    drawing: Drawing
    settings: NodeSettings
    model: str = ''
    switching: bool = False
    _staged: StagedPieces | None = None
    _working: bool = False
    _retry_seconds: float = 0
    _report: EngineReport | None = None
    _confirmed: int = 0
    _unavailable: int = 0
    _list_again_seconds: float = 0
    _failing: bool = False

    def look(self, report: EngineReport, engine: EngineClass) -> None:
        """Takes a fresh report and begins work that is due."""
        self._report = report
        if not engine.models:
            return
        self.model = engine.models[0]
        loaded = report.version_of(self.model)
        if loaded and report.layers >= engine.layers and self._is_current(loaded):
            self._confirm(loaded)
            return
        fits = engine.layers * engine.layer_megabytes <= engine.memory_megabytes
        due = self.clock.seconds() >= self._retry_seconds
        if fits and due and not self._working and not report.busy:
            self._working = True
            work: Any = Deferred.fromCoroutine(self._bring_up())
            work.addErrback(events.log_failure).addBoth(self._worked)

    def engine_lost(self) -> None:
        """Forgets what the engine held, as it may start again with something else."""
        self._confirmed = 0

    @property
    def wanted_version(self) -> int:
        """Returns the newest named version; 0 when none was named, then the origin decides."""
        target = self.view.newest_weights(self.model)
        return target.version if target else 0

    def _is_current(self, loaded: int) -> bool:
        return loaded >= self.wanted_version

    def _use_seconds(self) -> float:
        """Returns for how long an older version may still be used."""
        target = self.view.newest_weights(self.model)
        if target is None:
            return 0
        return target.named_seconds + self.settings.bounds.weights_seconds - self.clock.seconds()

    def _confirm(self, loaded: int) -> None:
        self.switching = False
        if self._confirmed != loaded:
            self._confirmed = loaded
            events.log(WEIGHTS_LOADED, model=self.model, version=loaded)

    def _worked(self, _outcome: Any) -> None:
        self._working = False

    async def _bring_up(self) -> None:
        """Stages what is missing, checks all of it and orders the engine to load it."""
        staged = await self._staged_version()
        if staged is None or not await self._stage(staged):
            self._fail_for_now('a source or the engine does not answer')
            return
        if not self._is_turn(staged.pieces.version):
            return
        self.switching = True
        if not await self._verify(staged):
            self._fail_for_now('staged pieces were spoilt')
            return
        await self._order(staged)

    async def _staged_version(self) -> StagedPieces | None:
        wanted = self.wanted_version
        staged = self._staged
        if staged is not None and not self._is_outdated(staged):
            return staged
        outcome = await self.drawing.draw_list(self.model, wanted)
        if isinstance(outcome, Failure):
            # The version that is staged already may be in place long before the newer one.
            self._unavailable = wanted
            self._list_again_seconds = self.clock.seconds() + LIST_AGAIN_SECONDS
            return staged
        pieces = outcome.unwrap()
        fresh = StagedPieces(pieces)
        if staged is None:
            # After a start of this process the engine may hold the pieces already.
            await self._mark_sound(fresh)
        self._staged = fresh
        missing = len(fresh.missing())
        events.log(STAGING, model=self.model, version=pieces.version, missing=missing)
        return fresh

    async def _mark_sound(self, staged: StagedPieces) -> None:
        outcome = await self.calls.held(self.model)
        held = outcome.unwrap() if isinstance(outcome, Success) else ()
        for index in held:
            if await self._is_staged(staged.pieces, index):
                staged.marked.add(index)
            elif not staged.marked:
                # The first one is of another version, then so are the others.
                return

    async def _stage(self, staged: StagedPieces) -> bool:
        missing = staged.missing()
        left = deque(missing)
        workers = [
            Deferred.fromCoroutine(self._stage_some(staged, left)) for _ in range(DRAWS_AT_ONCE)
        ]
        await gatherResults(workers)
        whole = not staged.missing()
        self._failing = self._failing and not whole
        if whole and missing:
            events.log(STAGED, model=self.model, version=staged.pieces.version)
        return whole

    async def _stage_some(self, staged: StagedPieces, left: deque[int]) -> None:
        while left and staged is self._staged and not self._is_outdated(staged):
            index = left.popleft()
            drawn = await self.drawing.draw_piece(staged.pieces, index)
            if isinstance(drawn, Failure):
                return
            outcome = await self.calls.write_piece(self.model, index, drawn.unwrap())
            if isinstance(outcome, Failure):
                return
            staged.marked.add(index)

    def _is_outdated(self, staged: StagedPieces) -> bool:
        """Tells whether a newer version should be staged instead.

        One that is nearly staged is finished first if it will be of use for a while,
        and so is one while the list of the newer one cannot be drawn, unless the
        engine holds it already.
        """
        wanted = self.wanted_version
        version = staged.pieces.version
        if version >= wanted:
            return False
        if self._report is not None and self._report.version_of(self.model) >= version:
            return True
        nearly = len(staged.missing()) <= NEARLY_STAGED_SHARE * len(staged.pieces.digests)
        if nearly and self._use_seconds() > WORTH_LOADING_SECONDS:
            return False
        away = self._unavailable == wanted and self.clock.seconds() < self._list_again_seconds
        return not away

    async def _verify(self, staged: StagedPieces) -> bool:
        for index in sorted(staged.marked):
            if not await self._is_staged(staged.pieces, index):
                staged.marked.discard(index)
                events.log(PIECE_SPOILT, model=self.model, piece=index)
        return not staged.missing()

    async def _is_staged(self, pieces: PieceList, index: int) -> bool:
        outcome = await self.calls.read_piece(self.model, index)
        return isinstance(outcome, Success) and is_sound(pieces, index, outcome.unwrap())

    async def _order(self, staged: StagedPieces) -> None:
        report = self._report
        if report is None or self._is_outdated(staged):
            self.switching = False
            return
        version = staged.pieces.version
        order = LoadWeightsOrder(self.model, version, report.orders)
        outcome = await self.calls.start(order)
        details = {'version': version, 'running': report.running, 'orders': report.orders}
        if isinstance(outcome, Failure):
            events.log(START_REFUSED, reason=outcome.failure(), **details)
        else:
            events.log(START_ORDERED, **details)
        # The next reports tell whether it loads; until then nothing is ordered again.
        self._retry_seconds = self.clock.seconds() + STATE_SECONDS

    def _is_turn(self, version: int) -> bool:
        """Tells whether this engine may stop serving old weights now."""
        named = self.view.weights.get(self.model, ())
        target = next((one for one in named if one.version == version), None)
        serving = self._report is not None and self._report.version_of(self.model)
        if target is None or not serving:
            return True
        age_seconds = self.clock.seconds() - target.named_seconds
        within_seconds = self.settings.bounds.weights_seconds
        own_address = self.settings.address
        return may_change_over(own_address, self.view.agents(), age_seconds, within_seconds)

    def _fail_for_now(self, reason: str) -> None:
        self.switching = False
        self._retry_seconds = self.clock.seconds() + RETRY_SECONDS
        if not self._failing:
            self._failing = True
            events.log(STAGING_FAILED, model=self.model, reason=reason)
