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
        long_poll = _LongPoll(request, revision, None)
        long_poll.timeout_call = self.reactor.callLater(WATCH_SECONDS, self._answer, long_poll)
        self.waiting.add(long_poll)
        request.notifyFinish().addErrback(lambda _reason: self._remove(long_poll))

    def on_change(self, revision: int, _changes: Changes) -> None:
        """Answers every request whose client has an older revision."""
        for long_poll in list(self.waiting):
            if revision > long_poll.revision:
                self._answer(long_poll)

    def answer_all(self) -> None:
        """Answers every request, when the state has been replaced or the process stops."""
        for long_poll in list(self.waiting):
            self._answer(long_poll)

    def _answer(self, long_poll: _LongPoll) -> None:
        self._remove(long_poll)
        self._write(long_poll.request)

    def _remove(self, long_poll: _LongPoll) -> None:
        self.waiting.discard(long_poll)
        if long_poll.timeout_call.active():
            long_poll.timeout_call.cancel()

    def _write(self, request: Request) -> None:
        write_json(request, {'revision': self.state.tables.revision})


def make_watchers(reactor: Any, state: ControlState) -> Watchers:
    """Creates the long polls of a control host and subscribes them to state changes."""
    watchers = Watchers(reactor, state)
    state.add_listeners(watchers.on_change, watchers.answer_all)
    return watchers
