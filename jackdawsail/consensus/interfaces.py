"""What the consensus module and the replicated state machine ask of each other."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Result
from twisted.internet.defer import Deferred


class StateMachine(Protocol):
    """Deterministic state that every voter applies the same commands to."""

    def apply(self, index: int, command: bytes) -> Any:
        """Applies one committed command and returns the reply for its proposer."""

    def snapshot(self) -> bytes:
        """Returns the whole state in its versioned encoding."""

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state by a snapshot."""


@dataclass(frozen=True, slots=True)
class ProposeError:
    """Why a command was not confirmed; ``maybe_applied`` when that is not known."""

    reason: str
    leader: str
    maybe_applied: bool


class Replicator(Protocol):
    """The consensus host of a control process, as the rest of the process sees it."""

    def is_leader(self) -> bool:
        """Tells whether this host leads and its leader lease holds now."""

    def leader_name(self) -> str:
        """Names the leader as far as known; empty when there is none."""

    def term(self) -> int:
        """Returns the current term."""

    def propose(self, command: bytes) -> 'Deferred[Result[Any, ProposeError]]':
        """Fires with the state machine's reply once the command is committed and applied."""

    def watch_leadership(self, callback: Callable[[], None]) -> None:
        """Calls back when ``leader_name``, ``term`` or ``is_leader`` has changed."""

    def status(self) -> dict[str, Any]:
        """Returns role, term, indexes, voters and learners for the administration API."""

    def change_voters(
        self, remove_host: str = '', add_host: str = '', target_voters: int = 0
    ) -> 'Deferred[Result[Any, ProposeError]]':
        """Retires a host, takes one back or sets the number of voters (0: as it is).

        Only the leader can; it answers when the wish is committed. The
        replacement itself follows as soon as another host has caught up.
        """

    def start(self) -> None:
        """Connects to the other control hosts and takes part in the group."""

    def stop(self) -> 'Deferred[None]':
        """Hands leadership over and ends every connection and timer."""
