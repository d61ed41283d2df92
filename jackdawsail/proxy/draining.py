"""Drains the callers of an entry that stops, before its process exits.

Callers keep a resolved address for some seconds, so calls are served for a while after
the entry has left the directory. Then calls that might not end before the process exits
are no longer accepted: the port is closed, and a call on a connection that is still open
is refused without being sent to an upstream.
"""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.http1.server import ServerConnection, ServerFactory
from jackdawsail.loops import start_loop
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.site.process import close_port

CHECK_INTERVAL_SECONDS = 0.1
# Callers keep a resolved address for two seconds; a long stream takes four more.
REFUSE_AFTER_SECONDS = 2.8
CLOSE_IDLE_AFTER_SECONDS = 1.0  # until then a call may still arrive on an idle connection
EXIT_RESERVE_SECONDS = 0.4  # of the time limit for the stop, kept for the process to exit
ANSWER_SECONDS = 0.15  # before that, for the answers of the calls that still run
STOPPED = 'the entry stops'

REFUSING_CALLS = events.define(428, 'info', 'stopping entry no longer accepts calls')
CALLERS_DRAINED = events.define(427, 'info', 'stopping entry has finished draining its callers')


@dataclass(slots=True)
class CallerDrain:
    """Closes the callers' connections of an entry that stops, once they are idle."""

    context: ProxyContext
    callers: ServerFactory
    drained: Deferred[None] = field(default_factory=Deferred)
    port: Any = None
    _idle_before: set[ServerConnection] = field(default_factory=set)
    _started_seconds: float = 0
    _loop: Any = None

    def start(self) -> Deferred[None]:
        """Closes each connection after its next answer; fires once the drain has ended."""
        self.callers.options.closing = True
        self._started_seconds = self.context.clock.seconds()
        self.context.recent.stop_seconds = self._started_seconds
        self._loop = start_loop(self.context.clock, self._check, CHECK_INTERVAL_SECONDS)
        return self.drained

    def _check(self) -> None:
        """Closes idle connections; ends the drain when none is left and calls are refused.

        It ends EXIT_RESERVE_SECONDS before the time limit for the stop in any case. Calls that
        still run are ended before that, at an earlier check, so that their answers are sent.
        """
        elapsed_seconds = self.context.clock.seconds() - self._started_seconds
        if elapsed_seconds >= REFUSE_AFTER_SECONDS and not self.context.refusing:
            self._refuse()
        if elapsed_seconds >= CLOSE_IDLE_AFTER_SECONDS:
            self._close_idle()
        limit_seconds = self.context.settings.bounds.stop_seconds - EXIT_RESERVE_SECONDS
        if elapsed_seconds >= limit_seconds - ANSWER_SECONDS and self.context.running:
            self._end_calls()
        elif self._is_drained() or elapsed_seconds >= limit_seconds:
            events.log(CALLERS_DRAINED, running=self.context.running, open=self.callers.open_count)
            self._loop.stop()
            self.drained.callback(None)

    def _is_drained(self) -> bool:
        return self.context.refusing and not self.context.running and not self.callers.open_count

    def _close_idle(self) -> None:
        """Closes the connections that were idle at the last check too.

        One that was just accepted may have a request that is not read yet.
        """
        idle = self.callers.idle()
        for connection in idle:
            if connection in self._idle_before:
                connection.close_idle()
        self._idle_before = set(idle)

    def _end_calls(self) -> None:
        for end_call in list(self.context.calls.values()):
            end_call(STOPPED)

    def _refuse(self) -> None:
        self.context.refusing = True
        events.log(REFUSING_CALLS, running=self.context.running, open=self.callers.open_count)
        if self.port is not None:
            close_port(self.port)
