"""How an entry stops: out of the directory first, then its connections, then itself."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.http1.server import ServerFactory
from jackdawsail.proxy.parts import ProxyParts
from jackdawsail.site.loops import start_loop

STEP_SECONDS = 0.1
LEAVE_SECONDS = 4.5  # callers hold an address for two to six seconds; most have left by then
IDLE_CLOSE_SECONDS = 1.0  # after the stop, how long a kept connection may still bring a call
RESERVE_SECONDS = 0.4  # of the time to stop, left for the process to end

STOP_STEP = events.define(427, 'info', 'entry has let its callers go')


@dataclass(slots=True)
class Leaving:
    """Owns the callers' connections of an entry that stops."""

    parts: ProxyParts
    callers: ServerFactory
    left: Deferred[None] = field(default_factory=Deferred)
    _begun_seconds: float = 0
    _loop: Any = None

    def begin(self) -> Deferred[None]:
        """Makes each answer the last of its connection; fires when the callers have left."""
        self.callers.options.closing = True
        self._begun_seconds = self.parts.clock.seconds()
        self._loop = start_loop(self.parts.clock, self._step, STEP_SECONDS)
        return self.left

    def _step(self) -> None:
        """Closes what is idle; ends once nothing runs or the time is nearly over."""
        since_seconds = self.parts.clock.seconds() - self._begun_seconds
        if since_seconds >= IDLE_CLOSE_SECONDS:
            for connection in self.callers.idle():
                connection.close()
        quiet = self.parts.running == 0 and self.callers.open_count == 0
        limit_seconds = self.parts.settings.bounds.stop_seconds - RESERVE_SECONDS
        if (quiet and since_seconds >= LEAVE_SECONDS) or since_seconds >= limit_seconds:
            events.log(STOP_STEP, running=self.parts.running, open=self.callers.open_count)
            self._loop.stop()
            self.left.callback(None)
