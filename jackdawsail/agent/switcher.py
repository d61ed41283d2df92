"""Decides when an engine switches to another release (pure).

No work is dispatched between the closing of the gate and the engine's
confirmation of the new release. If the engine restarts on its own, the next poll
closes the gate and the engine is loaded again.
"""

from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.agent.engine_admin import EngineState, LoadOrder

BACKOFF_FIRST_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 30.0
ATTEMPTS_BEFORE_REPORT = 3
PERMIT_REQUEST_SECONDS = 0.5
FENCELESS_WAIT_SECONDS = 2.5
MAX_MISSED_POLLS = 2
_NO_PERMIT = ('', float('-inf'))


class Phase(StrEnum):
    """State of the engine; the gate is open only while ``serving``."""

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
    """The right to order loads: whether the data centre's lease is live, and its fence number."""

    is_live: bool
    fence: int


@dataclass(frozen=True, slots=True)
class RequestPermit:
    """Effect: ask the tracker for a switch permit."""

    release: str


@dataclass(frozen=True, slots=True)
class CloseGate:
    """Effect: stop dispatching; the caller calls ``gate_closed`` when running work has ended."""

    reason: str


@dataclass(frozen=True, slots=True)
class OpenGate:
    """Effect: start dispatching for a release that the engine has confirmed."""

    release: str


@dataclass(frozen=True, slots=True)
class Load:
    """Effect: order the engine to load; the caller calls ``load_ended`` with the result."""

    order: LoadOrder
    attempt: int


SwitchEffect = RequestPermit | CloseGate | OpenGate | Load


class Switcher:
    """State machine of one engine; its inputs are polls, permits, the gate and time.

    ``served`` is the release that is served or being replaced, or empty. ``problem`` is the
    fault of the latest load once ``ATTEMPTS_BEFORE_REPORT`` have failed in a row.
    """

    def __init__(self, *, checks_fence: bool, now: float) -> None:
        self.phase = Phase.closed
        self.served = ''
        self.problem = ''
        self._first_order_at_seconds = now if checks_fence else now + FENCELESS_WAIT_SECONDS
        self._ready_release: ReadyRelease | None = None
        self._adoptable_releases: frozenset[str] = frozenset()
        self._engine_state: EngineState | None = None
        self._confirmed_state: EngineState | None = None
        self._ordered_generation: int | str = ''
        self._missed_polls = 0
        self._permit = _NO_PERMIT
        self._retry = _RetryState()

    @property
    def attempt(self) -> int:
        """Returns the number of the latest load order."""
        return self._retry.order_number

    def set_target(self, ready: ReadyRelease | None, adoptable: frozenset[str]) -> None:
        """Sets the verified release to switch to, if any, and the releases that may be served."""
        if ready is not None and (
            self._ready_release is None or ready.release != self._ready_release.release
        ):
            self._retry.reset()
            self.problem = ''
        self._ready_release = ready
        self._adoptable_releases = adoptable

    def record_permit(self, release: str, until_seconds: float) -> None:
        """Records a switch permit of the tracker, valid until ``until_seconds``."""
        self._permit = (release, until_seconds)

    def record_engine_state(self, engine: EngineState | None) -> None:
        """Records a polled engine state, or None if the engine did not answer."""
        if engine is None:
            self._missed_polls += 1
            if self._missed_polls >= MAX_MISSED_POLLS:
                self._engine_state = None
            return
        self._missed_polls = 0
        self._engine_state = engine

    def gate_closed(self) -> None:
        """Records that the running work has ended after ``CloseGate``."""
        if self.phase is Phase.closing:
            self.phase = Phase.closed

    def load_ended(self, attempt: int, fault: str, now: float) -> None:
        """Records the end of a load order; ``fault`` is empty if the engine confirmed it."""
        if attempt != self._retry.order_number or self.phase is not Phase.loading:
            return
        if fault:
            self._fail(fault, now)
            return
        self.phase = Phase.confirming
        self._engine_state = None

    def step(self, authority: Authority, now: float) -> list[SwitchEffect]:
        """Returns the effects to perform now."""
        if self.phase is Phase.serving:
            return self._step_serving(now)
        if self.phase is Phase.loading:
            self._fail_if_restarted(now)
        if self.phase is Phase.confirming:
            return self._step_confirming(now)
        if self.phase is Phase.closed:
            return self._step_closed(authority, now)
        return []

    def _step_serving(self, now: float) -> list[SwitchEffect]:
        if not self._still_serves():
            self.served = ''
            return self._start_closing('engine has restarted or is not reachable')
        if (
            self._ready_release is None
            or self._ready_release.release == self.served
            or not self._retry.is_order_due(now)
        ):
            return []
        release, until_seconds = self._permit
        if release == self._ready_release.release and now < until_seconds:
            self._permit = _NO_PERMIT
            return self._start_closing('release changes')
        if self._retry.record_request_if_due(now):
            return [RequestPermit(self._ready_release.release)]
        return []

    def _step_closed(self, authority: Authority, now: float) -> list[SwitchEffect]:
        engine = self._engine_state
        if engine is None:
            return []
        if self._may_adopt(engine):
            return self._open(engine)
        may_order = authority.is_live and now >= self._first_order_at_seconds
        if self._ready_release is None or not may_order or not self._retry.is_order_due(now):
            return []
        self.phase = Phase.loading
        self._ordered_generation = engine.generation
        self._retry.order_number += 1
        ready = self._ready_release
        order = LoadOrder(ready.release, ready.path, ready.digest, authority.fence)
        return [Load(order, self._retry.order_number)]

    def _step_confirming(self, now: float) -> list[SwitchEffect]:
        engine = self._engine_state
        if engine is None:
            return []
        if engine.generation != self._ordered_generation or not engine.loaded:
            self._fail('engine restarted after its load', now)
            return []
        self._retry.reset()
        self.problem = ''
        return (
            self._open(engine)
            if engine.release in self._adoptable_releases
            else self._stay_closed()
        )

    def _may_adopt(self, engine: EngineState) -> bool:
        """Returns whether to serve what the engine has already loaded.

        A loaded release is not adopted again while it is being replaced.
        """
        if not engine.loaded or engine.release not in self._adoptable_releases:
            return False
        if self._ready_release is None or engine.release == self._ready_release.release:
            return True
        return self.served != engine.release

    def _open(self, engine: EngineState) -> list[SwitchEffect]:
        self.phase = Phase.serving
        self.served = engine.release
        self._confirmed_state = engine
        return [OpenGate(engine.release)]

    def _stay_closed(self) -> list[SwitchEffect]:
        self.phase = Phase.closed
        return []

    def _start_closing(self, reason: str) -> list[SwitchEffect]:
        self.phase = Phase.closing
        return [CloseGate(reason)]

    def _still_serves(self) -> bool:
        engine = self._engine_state
        confirmed = self._confirmed_state
        if engine is None or confirmed is None or not engine.loaded:
            return False
        same_run = engine.generation == confirmed.generation
        return same_run and engine.release == confirmed.release

    def _fail_if_restarted(self, now: float) -> None:
        engine = self._engine_state
        if engine is not None and engine.generation != self._ordered_generation:
            self._fail('engine restarted during its load', now)

    def _fail(self, fault: str, now: float) -> None:
        self.phase = Phase.closed
        self.served = ''
        self._retry.fail(now)
        if self._retry.failures >= ATTEMPTS_BEFORE_REPORT:
            self.problem = fault


class _RetryState:
    """Backoff between load orders, and the interval between permit requests."""

    def __init__(self) -> None:
        self.order_number = 0
        self.failures = 0
        self._next_order_at_seconds = float(0)
        self._requested_seconds = float('-inf')

    def reset(self) -> None:
        self.failures = 0
        self._next_order_at_seconds = float(0)
        self._requested_seconds = float('-inf')

    def is_order_due(self, now: float) -> bool:
        return now >= self._next_order_at_seconds

    def fail(self, now: float) -> None:
        delay_seconds = BACKOFF_FIRST_SECONDS * 2**self.failures
        self._next_order_at_seconds = now + min(BACKOFF_MAX_SECONDS, delay_seconds)
        self.failures += 1

    def record_request_if_due(self, now: float) -> bool:
        if now - self._requested_seconds < PERMIT_REQUEST_SECONDS:
            return False
        self._requested_seconds = now
        return True
