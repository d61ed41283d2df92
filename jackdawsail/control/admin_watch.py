"""``GET /v1/watch``: a long poll that answers when a revision is newer than the caller's."""

from dataclasses import dataclass, field
from typing import Any

from twisted.web.server import Request

from jackdawsail.control.admin_http import write_json
from jackdawsail.state.machine import Changes, ControlState

WATCH_SECONDS = 25.0
MAX_WATCHERS = 1000


@dataclass(slots=True, eq=False)
class _Waiting:
    request: Request
    revision: int
    late: Any


@dataclass(slots=True)
class Watchers:
    """Owns the requests that wait for a change."""

    reactor: Any
    state: ControlState
    waiting: set[_Waiting] = field(default_factory=set)

    def add(self, request: Request, revision: int) -> None:
        """Answers now if there is something newer, else with the next change or time-out."""
        if self.state.tables.revision > revision or len(self.waiting) >= MAX_WATCHERS:
            self._write(request)
            return
        waiting = _Waiting(request, revision, None)
        waiting.late = self.reactor.callLater(WATCH_SECONDS, self._answer, waiting)
        self.waiting.add(waiting)
        request.notifyFinish().addErrback(lambda _reason: self._forget(waiting))

    def changed(self, revision: int, _changes: Changes) -> None:
        """Answers every request that waits for this revision."""
        for waiting in list(self.waiting):
            if revision > waiting.revision:
                self._answer(waiting)

    def answer_all(self) -> None:
        """Answers everyone, when the state was replaced or the process stops."""
        for waiting in list(self.waiting):
            self._answer(waiting)

    def _answer(self, waiting: _Waiting) -> None:
        self._forget(waiting)
        self._write(waiting.request)

    def _forget(self, waiting: _Waiting) -> None:
        self.waiting.discard(waiting)
        if waiting.late.active():
            waiting.late.cancel()

    def _write(self, request: Request) -> None:
        write_json(request, {'revision': self.state.tables.revision})


def make_watchers(reactor: Any, state: ControlState) -> Watchers:
    """Makes the long polls of a control host."""
    watchers = Watchers(reactor, state)
    state.add_listeners(watchers.changed, watchers.answer_all)
    return watchers
