"""Finds the weights part, or serves whatever release the engine already has."""

from importlib import import_module
from typing import Any

from twisted.internet.task import LoopingCall

from jackdawsail.agent.gate import WorkGate
from jackdawsail.agent.status import AgentStatus
from jackdawsail.process import ProcessContext
from jackdawsail.state.replica import StateReplica
from jackdawsail.switchboard import Switchboard

CHECK_SECONDS = 0.1


class LoadedRelease:
    """Opens the gate with the release that the engine says it has loaded."""

    chunk_address = ''

    def __init__(self, reactor: Any, status: AgentStatus, gate: WorkGate) -> None:
        self._status = status
        self._gate = gate
        self._generation = ''
        self._loop = LoopingCall(self._check)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to look at the engine's state."""
        self._loop.start(CHECK_SECONDS)

    def stop(self) -> None:
        """Ends looking."""
        if self._loop.running:
            self._loop.stop()

    def _check(self) -> None:
        status = self._status
        if status.engine_loaded and status.engine_generation != self._generation:
            self._generation = status.engine_generation
            self._gate.open(status.engine_release)


def make_weights_part(
    context: ProcessContext,
    switchboard: Switchboard,
    replica: StateReplica,
    status: AgentStatus,
    gate: WorkGate,
) -> Any:
    """Makes the weights part of the agent, or the stand-in until there is one."""
    try:
        weights_part: Any = import_module('jackdawsail.agent.weights_part')
    except ImportError:
        return LoadedRelease(context.reactor, status, gate)
    return weights_part.make_weights_part(context, switchboard, replica, status, gate)
