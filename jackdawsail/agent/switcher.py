"""Decides when an engine changes its release (pure).

No work is handed over between closing the gate and the engine's own
confirmation of the release. An engine that restarts on its own closes the gate
at the next look and is loaded again.
"""

from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.agent.engine_orders import EngineState, LoadOrder

BACKOFF_FIRST_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 30.0
ATTEMPTS_BEFORE_REPORT = 3
ASK_EVERY_SECONDS = 0.5
FENCELESS_WAIT_SECONDS = 2.5
LOOKS_MISSED_MAX = 2
_NO_PERMIT = ('', float('-inf'))


class Phase(StrEnum):
    """Where the engine stands; only ``serving`` has an open gate."""

    closed = 'closed'
    serving = 'serving'
    closing = 'closing'
    loading = 'loading'
    confirming = 'confirming'


@dataclass(frozen=True, slots=True)
class ReadyRelease:
    """A release whose file is verified on this host."""

    release: str
    path: str
    digest: str


@dataclass(frozen=True, slots=True)
class Authority:
    """The right to order: a live lease of the data centre, and its fence number."""

    is_live: bool
    fence: int


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Effect: ask the tracker for a switch permit."""

    release: str


@dataclass(frozen=True, slots=True)
class CloseGate:
    """Effect: hand nothing over; ``gate_closed`` answers it."""

    reason: str


@dataclass(frozen=True, slots=True)
class OpenGate:
    """Effect: serve under a release that the engine has confirmed."""

    release: str


@dataclass(frozen=True, slots=True)
class Load:
    """Effect: order the engine to load; ``load_ended`` answers it."""

    order: LoadOrder
    attempt: int


SwitchEffect = AskPermit | CloseGate | OpenGate | Load


class Switcher:
    """Driven by looks at the engine, permits, the gate and time."""

    def __init__(self, *, checks_fence: bool, now: float) -> None:
        self.phase = Phase.closed
        self.served = ''
        self.problem = ''
        self._first_order_at_seconds = now if checks_fence else now + FENCELESS_WAIT_SECONDS
        self._ready: ReadyRelease | None = None
        self._adoptable: frozenset[str] = frozenset()
        self._engine: EngineState | None = None
        self._confirmed: EngineState | None = None
        self._ordered_generation: int | str = ''
        self._missed = 0
        self._permit = _NO_PERMIT
        self._retry = _Retry()

    @property
    def attempt(self) -> int:
        """Numbers the load order under way."""
        return self._retry.number

    def want(self, ready: ReadyRelease | None, adoptable: frozenset[str]) -> None:
        """Names the verified release to change to (None: stay) and those fit to serve."""
        if ready is not None and (self._ready is None or ready.release != self._ready.release):
            self._retry.reset()
            self.problem = ''
        self._ready = ready
        self._adoptable = adoptable

    def permit(self, release: str, until_seconds: float) -> None:
        """Takes a permit of the tracker."""
        self._permit = (release, until_seconds)

    def seen(self, engine: EngineState | None) -> None:
        """Takes a look at the engine; None when it did not answer."""
        if engine is None:
            self._missed += 1
            if self._missed >= LOOKS_MISSED_MAX:
                self._engine = None
            return
        self._missed = 0
        self._engine = engine

    def gate_closed(self) -> None:
        """Notes that the running work has ended."""
        if self.phase is Phase.closing:
            self.phase = Phase.closed

    def load_ended(self, attempt: int, fault: str, now: float) -> None:
        """Takes the end of a load order; ``fault`` is empty when it was confirmed."""
        if attempt != self._retry.number or self.phase is not Phase.loading:
            return
        if fault:
            self._fail(fault, now)
            return
        self.phase = Phase.confirming
        self._engine = None

    def step(self, authority: Authority, now: float) -> list[SwitchEffect]:
        """Returns what to do now."""
        if self.phase is Phase.serving:
            return self._step_serving(now)
        if self.phase is Phase.loading:
            self._watch_restart(now)
        if self.phase is Phase.confirming:
            return self._step_confirming(now)
        if self.phase is Phase.closed:
            return self._step_closed(authority, now)
        return []

    def _step_serving(self, now: float) -> list[SwitchEffect]:
        if not self._still_serves():
            self.served = ''
            return self._close('engine has restarted or is not reachable')
        if self._ready is None or self._ready.release == self.served or not self._retry.due(now):
            return []
        release, until_seconds = self._permit
        if release == self._ready.release and now < until_seconds:
            self._permit = _NO_PERMIT
            return self._close('release changes')
        if self._retry.may_ask(now):
            return [AskPermit(self._ready.release)]
        return []

    def _step_closed(self, authority: Authority, now: float) -> list[SwitchEffect]:
        engine = self._engine
        if engine is None:
            return []
        if self._may_adopt(engine):
            return self._open(engine)
        may_order = authority.is_live and now >= self._first_order_at_seconds
        if self._ready is None or not may_order or not self._retry.due(now):
            return []
        self.phase = Phase.loading
        self._ordered_generation = engine.generation
        self._retry.number += 1
        ready = self._ready
        order = LoadOrder(ready.release, ready.path, ready.digest, authority.fence)
        return [Load(order, self._retry.number)]

    def _step_confirming(self, now: float) -> list[SwitchEffect]:
        engine = self._engine
        if engine is None:
            return []
        if engine.generation != self._ordered_generation or not engine.loaded:
            self._fail('engine restarted after its load', now)
            return []
        self._retry.reset()
        self.problem = ''
        return self._open(engine) if engine.release in self._adoptable else self._shut()

    def _may_adopt(self, engine: EngineState) -> bool:
        """Serves what the engine already has; but a wanted change first, once permitted."""
        if not engine.loaded or engine.release not in self._adoptable:
            return False
        if self._ready is None or engine.release == self._ready.release:
            return True
        return self.served != engine.release

    def _open(self, engine: EngineState) -> list[SwitchEffect]:
        self.phase = Phase.serving
        self.served = engine.release
        self._confirmed = engine
        return [OpenGate(engine.release)]

    def _shut(self) -> list[SwitchEffect]:
        self.phase = Phase.closed
        return []

    def _close(self, reason: str) -> list[SwitchEffect]:
        self.phase = Phase.closing
        return [CloseGate(reason)]

    def _still_serves(self) -> bool:
        engine = self._engine
        confirmed = self._confirmed
        if engine is None or confirmed is None or not engine.loaded:
            return False
        same_run = engine.generation == confirmed.generation
        return same_run and engine.release == confirmed.release

    def _watch_restart(self, now: float) -> None:
        engine = self._engine
        if engine is not None and engine.generation != self._ordered_generation:
            self._fail('engine restarted during its load', now)

    def _fail(self, fault: str, now: float) -> None:
        self.phase = Phase.closed
        self.served = ''
        self._retry.fail(now)
        if self._retry.failures >= ATTEMPTS_BEFORE_REPORT:
            self.problem = fault


class _Retry:
    """Backoff between load orders, and the pace of asking for permits."""

    def __init__(self) -> None:
        self.number = 0
        self.failures = 0
        self._at_seconds = float(0)
        self._asked_seconds = float('-inf')

    def reset(self) -> None:
        self.failures = 0
        self._at_seconds = float(0)
        self._asked_seconds = float('-inf')

    def due(self, now: float) -> bool:
        return now >= self._at_seconds

    def fail(self, now: float) -> None:
        delay_seconds = BACKOFF_FIRST_SECONDS * 2**self.failures
        self._at_seconds = now + min(BACKOFF_MAX_SECONDS, delay_seconds)
        self.failures += 1

    def may_ask(self, now: float) -> bool:
        if now - self._asked_seconds < ASK_EVERY_SECONDS:
            return False
        self._asked_seconds = now
        return True
