"""Effects that a consensus node requests from its I/O layer, in execution order.

The I/O layer makes ``SaveVote``, ``SaveEntries`` and ``SaveSnapshot`` durable
before it executes any other effect of the same batch.
"""

from dataclasses import dataclass

from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.messages import Message


@dataclass(frozen=True, slots=True)
class SaveVote:
    """Makes the term and the vote in it durable."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Makes entries durable; they replace the log from the index of the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Makes a snapshot received from the leader durable and installs it as the state.

    With ``restart_log`` the whole log is dropped; otherwise the entries after the
    snapshot are kept.
    """

    snapshot: Snapshot
    restart_log: bool


@dataclass(frozen=True, slots=True)
class Send:
    """Sends a message; it may be lost."""

    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Applies committed entries in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A proposal was appended to the leader's log at this index and term; it may still be lost."""

    ticket: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal was not appended to the log."""

    ticket: int
    reason: str
    leader: str


Effect = SaveVote | SaveEntries | SaveSnapshot | Send | Apply | Accepted | Refused
DURABLE_EFFECTS = (SaveVote, SaveEntries, SaveSnapshot)
