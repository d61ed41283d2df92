"""Asks the engine for its state and tells the start-up window and the other parts."""

import json
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.web.client import readBody

from jackdawsail.agent.status import AgentStatus
from jackdawsail.agent.upstream import UpstreamClient
from jackdawsail.routing.window import StartupWindow

POLL_SECONDS = 0.25
POLL_TIMEOUT_SECONDS = 2.0


class EngineWatch:
    """Polls ``GET /admin/state``; a new generation puts the window back to cold."""

    def __init__(
        self, reactor: Any, client: UpstreamClient, window: StartupWindow, status: AgentStatus
    ) -> None:
        self._reactor = reactor
        self._client = client
        self._window = window
        self._status = status
        self._loop = LoopingCall(self._poll)
        self._loop.clock = reactor

    def start(self) -> None:
        """Begins to poll."""
        self._loop.start(POLL_SECONDS)

    def stop(self) -> None:
        """Ends the polls."""
        if self._loop.running:
            self._loop.stop()

    def _poll(self) -> Any:
        asked = self._client.get_state()
        asked.addCallback(readBody)
        asked.addTimeout(POLL_TIMEOUT_SECONDS, self._reactor)
        asked.addCallbacks(self._answered, self._unreachable)
        return asked

    def _answered(self, body: bytes) -> None:
        try:
            document = json.loads(body)
        except ValueError:
            return
        if not isinstance(document, dict):
            return
        generation = str(document.get('generation', ''))
        self._status.engine_generation = generation
        self._status.engine_loaded = bool(document.get('loaded'))
        self._status.engine_release = str(document.get('release') or '')
        self._window.observe_state(generation, bool(document.get('cold')))

    def _unreachable(self, _failure: Any) -> None:
        self._status.engine_loaded = False
