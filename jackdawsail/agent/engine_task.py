"""Runs the switcher against the engine: looks, load orders and the work gate."""

from collections.abc import Callable
from typing import Any

from returns.result import Success
from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.agent.engine_orders import EngineOrders, EngineState
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

ENGINE_LOADING = events.define(520, 'info', 'engine is ordered to load a release')
ENGINE_LOADED = events.define(521, 'info', 'engine serves a release that it confirmed')
ENGINE_LOAD_FAILED = events.define(522, 'warning', 'engine did not load a release')
ENGINE_GATE_CLOSED = events.define(523, 'info', 'no work goes to the engine')

EngineWatcher = Callable[[EngineState], None]


class EngineTask:
    """Owns the switcher of one engine; ``poll`` is called a few times a second."""

    def __init__(
        self,
        switcher: Switcher,
        orders: EngineOrders,
        gate: WorkGate,
        status: AgentStatus,
        clock: Clock,
    ) -> None:
        self.switcher = switcher
        self._orders = orders
        self._gate = gate
        self._status = status
        self._clock = clock
        self.on_progress: Callable[[], None] = _ignore
        self.on_seen: EngineWatcher = _ignore
        self._look_number = 0
        self._looking = False

    def poll(self) -> None:
        """Looks at the engine, unless a look is under way."""
        if self._looking:
            return
        self._looking = True
        self._look_number += 1
        self._orders.look().addCallback(self._looked, self._look_number)

    def step(self, authority: Authority) -> list[SwitchEffect]:
        """Carries the switcher's effects out; returns those that are for the tracker."""
        effects = self.switcher.step(authority, self._clock.seconds())
        return [effect for effect in effects if not self._carry_out(effect)]

    def _carry_out(self, effect: SwitchEffect) -> bool:
        if isinstance(effect, CloseGate):
            events.log(ENGINE_GATE_CLOSED, reason=effect.reason)
            self._status.state = UpstreamState.loading
            closing: Deferred[None] = self._gate.close(effect.reason)
            closing.addCallback(self._closed)
        elif isinstance(effect, OpenGate):
            events.log(ENGINE_LOADED, release=effect.release)
            self._gate.open(effect.release)
        elif isinstance(effect, Load):
            self._load(effect)
        else:
            return False
        return True

    def _closed(self, _ended: None) -> None:
        self.switcher.gate_closed()
        self._clock.callLater(0, self.on_progress)

    def _load(self, effect: Load) -> None:
        release = effect.order.release
        events.log(ENGINE_LOADING, release=release, fence=effect.order.fence)
        self._orders.load(effect.order).addCallback(self._loaded, effect)

    def _loaded(self, outcome: Any, effect: Load) -> None:
        fault = '' if isinstance(outcome, Success) else str(outcome.failure())
        if fault:
            events.log(ENGINE_LOAD_FAILED, release=effect.order.release, reason=fault)
        self.switcher.load_ended(effect.attempt, fault, self._clock.seconds())
        if self.switcher.phase is Phase.confirming:
            # A look that began before the load ended proves nothing.
            self._look_number += 1
            self._looking = False
            self.poll()

    def _looked(self, outcome: Any, look_number: int) -> None:
        if look_number != self._look_number:
            return
        self._looking = False
        seen = outcome.unwrap() if isinstance(outcome, Success) else None
        if seen is not None:
            self.on_seen(seen)
        self.switcher.seen(seen)
        self.on_progress()


def _ignore(_told: Any = None) -> None:
    """Stands in until the owner sets ``on_progress`` and ``on_seen``."""
