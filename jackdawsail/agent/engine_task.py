"""The I/O layer of the switcher: polls the engine, orders loads, opens and closes the gate."""

from collections.abc import Callable
from typing import Any

from returns.result import Success
from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.agent.engine_admin import EngineAdminClient, EngineState
from jackdawsail.agent.gate import WorkGate
from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.switcher import (
    Authority,
    CloseGate,
    Load,
    OpenGate,
    Phase,
    SwitchEffect,
    Switcher,
)
from jackdawsail.clocks import Clock
from jackdawsail.wire.membership_messages import UpstreamState

ENGINE_LOADING = events.define(520, 'info', 'engine was ordered to load a release')
ENGINE_LOADED = events.define(521, 'info', 'engine confirmed a release and serves it')
ENGINE_LOAD_FAILED = events.define(522, 'warning', 'engine failed to load a release')
ENGINE_GATE_CLOSED = events.define(523, 'info', 'stopped dispatching work to the engine')

EngineWatcher = Callable[[EngineState], None]


class EngineTask:
    """Owns the switcher of one engine; ``poll`` is called a few times a second.

    ``on_state`` gets each state that was read; ``on_progress`` is called when ``step``
    should run again.
    """

    def __init__(
        self,
        switcher: Switcher,
        admin: EngineAdminClient,
        gate: WorkGate,
        status: AgentStatus,
        clock: Clock,
    ) -> None:
        self.switcher = switcher
        self._admin = admin
        self._gate = gate
        self._status = status
        self._clock = clock
        self.on_progress: Callable[[], None] = _ignore
        self.on_state: EngineWatcher = _ignore
        self._poll_number = 0
        self._polling = False

    def poll(self) -> None:
        """Reads the engine's state, unless a poll is in progress."""
        if self._polling:
            return
        self._polling = True
        self._poll_number += 1
        self._admin.read_state().addCallback(self._on_state_read, self._poll_number)

    def step(self, authority: Authority) -> list[SwitchEffect]:
        """Performs the switcher's effects; returns those that are for the tracker."""
        effects = self.switcher.step(authority, self._clock.seconds())
        return [effect for effect in effects if not self._perform(effect)]

    def _perform(self, effect: SwitchEffect) -> bool:
        if isinstance(effect, CloseGate):
            events.log(ENGINE_GATE_CLOSED, reason=effect.reason)
            self._status.state = UpstreamState.loading
            closing: Deferred[None] = self._gate.close(effect.reason)
            closing.addCallback(self._on_gate_closed)
        elif isinstance(effect, OpenGate):
            events.log(ENGINE_LOADED, release=effect.release)
            self._gate.open(effect.release)
        elif isinstance(effect, Load):
            self._order_load(effect)
        else:
            return False
        return True

    def _on_gate_closed(self, _ended: None) -> None:
        self.switcher.gate_closed()
        self._clock.callLater(0, self.on_progress)

    def _order_load(self, effect: Load) -> None:
        release = effect.order.release
        events.log(ENGINE_LOADING, release=release, fence=effect.order.fence)
        self._admin.load(effect.order).addCallback(self._on_load_ended, effect)

    def _on_load_ended(self, outcome: Any, effect: Load) -> None:
        fault = '' if isinstance(outcome, Success) else str(outcome.failure())
        if fault:
            events.log(ENGINE_LOAD_FAILED, release=effect.order.release, reason=fault)
        self.switcher.load_ended(effect.attempt, fault, self._clock.seconds())
        if self.switcher.phase is Phase.confirming:
            # A poll that started before the load ended may have read the state before it.
            self._poll_number += 1
            self._polling = False
            self.poll()

    def _on_state_read(self, outcome: Any, poll_number: int) -> None:
        if poll_number != self._poll_number:
            return
        self._polling = False
        state = outcome.unwrap() if isinstance(outcome, Success) else None
        if state is not None:
            self.on_state(state)
        self.switcher.record_engine_state(state)
        self.on_progress()


def _ignore(_argument: Any = None) -> None:
    """Default of ``on_progress`` and ``on_state`` until the owner sets them."""
