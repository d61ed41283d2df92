"""What a consensus node asks of its shell, in the order in which it must happen.

The shell makes ``SaveVote``, ``SaveEntries`` and ``SaveSnapshot`` durable
before it carries out any other effect of the same batch.
"""

from dataclasses import dataclass

from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.messages import Message


@dataclass(frozen=True, slots=True)
class SaveVote:
    """The term and the vote in it must be durable."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SaveEntries:
    """Entries must be durable; they replace what the log holds from the first one on."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """A snapshot from the leader must be durable and becomes the state.

    With ``restart_log`` the whole log is dropped, otherwise the entries that follow stay.
    """

    snapshot: Snapshot
    restart_log: bool


@dataclass(frozen=True, slots=True)
class Send:
    """A message must be sent; losing it is allowed."""

    message: Message


@dataclass(frozen=True, slots=True)
class Apply:
    """Committed entries must be applied in order."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Accepted:
    """A proposal stands in the leader's log at a point; it may still be lost."""

    ticket: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class Refused:
    """A proposal was not taken into the log."""

    ticket: int
    reason: str
    leader: str


Effect = SaveVote | SaveEntries | SaveSnapshot | Send | Apply | Accepted | Refused
DURABLE_EFFECTS = (SaveVote, SaveEntries, SaveSnapshot)
