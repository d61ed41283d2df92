"""How an entry stops: out of the directory first, then its connections, then itself.

Callers hold an address for some seconds, so calls are served for a while. After
that none is taken that might not end before the process must: connections are no
longer accepted, and a call on one that is still open is refused unread.
"""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.http1.server import ServerFactory
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.site.loops import start_loop

STEP_SECONDS = 0.1
REFUSE_SECONDS = 2.8  # callers hold an address for two seconds; a long stream takes four more
IDLE_CLOSE_SECONDS = 1.0  # after the stop, how long a kept connection may still bring a call
RESERVE_SECONDS = 0.4  # of the time to stop, left for the process to end

NO_MORE_CALLS = events.define(428, 'info', 'entry that stops takes no more calls')
STOP_STEP = events.define(427, 'info', 'entry has let its callers go')


@dataclass(slots=True)
class Leaving:
    """Owns the callers' connections of an entry that stops."""

    parts: ProxyContext
    callers: ServerFactory
    left: Deferred[None] = field(default_factory=Deferred)
    port: Any = None
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
        if since_seconds >= REFUSE_SECONDS and not self.parts.refusing:
            self._refuse()
        if since_seconds >= IDLE_CLOSE_SECONDS:
            for connection in self.callers.idle():
                connection.close()
        quiet = self.parts.running == 0 and self.callers.open_count == 0
        limit_seconds = self.parts.settings.bounds.stop_seconds - RESERVE_SECONDS
        if (quiet and self.parts.refusing) or since_seconds >= limit_seconds:
            events.log(STOP_STEP, running=self.parts.running, open=self.callers.open_count)
            self._loop.stop()
            self.left.callback(None)

    def _refuse(self) -> None:
        self.parts.refusing = True
        events.log(NO_MORE_CALLS, running=self.parts.running, open=self.callers.open_count)
        if self.port is not None:
            self.port.stopListening()
