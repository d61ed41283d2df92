"""``GET /v1/watch``: a long poll, answered once the revision is newer than the client's."""

from dataclasses import dataclass, field
from typing import Any

from twisted.web.server import Request

from jackdawsail.control.admin_http import write_json
from jackdawsail.state.machine import Changes, ControlState

WATCH_SECONDS = 25.0
MAX_WATCHERS = 1000


@dataclass(slots=True, eq=False)
class _LongPoll:
    request: Request
    revision: int
    timeout_call: Any


@dataclass(slots=True)
class Watchers:
    """Owns the long polls that wait for a change."""

    reactor: Any
    state: ControlState
    waiting: set[_LongPoll] = field(default_factory=set)

    def add(self, request: Request, revision: int) -> None:
        """Answers immediately if a newer revision exists, else at the next change or timeout.

        Also answers immediately when ``MAX_WATCHERS`` requests already wait.
        """
        if self.state.tables.revision > revision or len(self.waiting) >= MAX_WATCHERS:
            self._write(request)
            return
        waiting = _LongPoll(request, revision, None)
        waiting.timeout_call = self.reactor.callLater(WATCH_SECONDS, self._answer, waiting)
        self.waiting.add(waiting)
        request.notifyFinish().addErrback(lambda _reason: self._remove(waiting))

    def changed(self, revision: int, _changes: Changes) -> None:
        """Answers every request whose client has an older revision."""
        for waiting in list(self.waiting):
            if revision > waiting.revision:
                self._answer(waiting)

    def answer_all(self) -> None:
        """Answers every request, when the state has been replaced or the process stops."""
        for waiting in list(self.waiting):
            self._answer(waiting)

    def _answer(self, waiting: _LongPoll) -> None:
        self._remove(waiting)
        self._write(waiting.request)

    def _remove(self, waiting: _LongPoll) -> None:
        self.waiting.discard(waiting)
        if waiting.timeout_call.active():
            waiting.timeout_call.cancel()

    def _write(self, request: Request) -> None:
        write_json(request, {'revision': self.state.tables.revision})


def make_watchers(reactor: Any, state: ControlState) -> Watchers:
    """Creates the long polls of a control host and subscribes them to state changes."""
    watchers = Watchers(reactor, state)
    state.add_listeners(watchers.changed, watchers.answer_all)
    return watchers
