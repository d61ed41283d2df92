"""A replicator of one voter that keeps nothing: for tests of the parts above consensus."""

from collections.abc import Callable
from typing import Any

from returns.result import Result, Success
from twisted.internet.defer import Deferred, succeed

from jackdawsail.consensus.interfaces import ProposeError, StateMachine

LeadershipWatcher = Callable[[], None]


class SingleReplicator:
    """Leads term 1 at once and applies each command when it is proposed."""

    def __init__(self, name: str, state_machine: StateMachine) -> None:
        self.leading = False
        self._name = name
        self._state_machine = state_machine
        self._index = 0
        self._term = 0
        self._watchers: list[LeadershipWatcher] = []

    def start(self) -> None:
        """Becomes the leader of the next term."""
        self.leading = True
        self._term += 1
        self._tell()

    def stop(self) -> None:
        """Leads no more."""
        self.leading = False
        self._tell()

    def is_leader(self) -> bool:
        """Tells whether this host leads."""
        return self.leading

    def leader_name(self) -> str:
        """Names the leader."""
        return self._name if self.leading else ''

    def term(self) -> int:
        """Returns the current term."""
        return self._term

    def propose(self, command: bytes) -> 'Deferred[Result[Any, ProposeError]]':
        """Applies the command."""
        self._index += 1
        return succeed(Success(self._state_machine.apply(self._index, command)))

    def watch_leadership(self, callback: LeadershipWatcher) -> None:
        """Calls back when this host begins or ceases to lead."""
        self._watchers.append(callback)

    def status(self) -> dict[str, Any]:
        """Describes this host for the administration API."""
        role = 'leader' if self.leading else 'follower'
        return {'role': role, 'term': self._term, 'commit_index': self._index}

    def _tell(self) -> None:
        for watcher in self._watchers:
            watcher()
