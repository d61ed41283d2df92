"""Interfaces between the consensus module, the replicated state machine and their users."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Result
from twisted.internet.defer import Deferred


class StateMachine(Protocol):
    """A deterministic state machine; every voter applies the same commands to it."""

    def apply(self, index: int, command: bytes) -> Any:
        """Applies one committed command and returns the reply for its proposer."""

    def snapshot(self) -> bytes:
        """Returns the whole state in its versioned encoding."""

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state with the content of a snapshot."""


@dataclass(frozen=True, slots=True)
class ProposeError:
    """Why a command was not confirmed; with ``maybe_applied`` its outcome is unknown."""

    reason: str
    leader: str
    maybe_applied: bool


class Replicator(Protocol):
    """The consensus host of a control process, as used by the rest of the process."""

    def is_leader(self) -> bool:
        """Returns whether this host is the leader and its leader lease is valid now."""

    def leader_name(self) -> str:
        """Returns the host name of the known leader, or an empty string."""

    def term(self) -> int:
        """Returns the current term."""

    def propose(self, command: bytes) -> 'Deferred[Result[Any, ProposeError]]':
        """Proposes a command; fires with its reply once it is committed and applied."""

    def watch_leadership(self, callback: Callable[[], None]) -> None:
        """Registers a callback for changes of ``leader_name``, ``term`` or ``is_leader``."""

    def status(self) -> dict[str, Any]:
        """Returns role, term, indexes, voters and learners for the administration API."""

    def change_voters(
        self, remove_host: str = '', add_host: str = '', target_voters: int = 0
    ) -> 'Deferred[Result[Any, ProposeError]]':
        """Retires a host, readmits one or sets the number of voters (0: unchanged).

        Only the leader can do this. It fires when the change is committed; the
        replacement itself follows as soon as another host has caught up.
        """

    def start(self) -> None:
        """Connects to the other control hosts and joins the group."""

    def stop(self) -> 'Deferred[None]':
        """Transfers leadership, closes all connections and cancels all timers."""
