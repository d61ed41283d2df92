"""Messages between the nodes of the consensus group.

Each message carries the node ids of its sender and its target, so that a message to a
host's former identity (before its disk was replaced) is dropped. ``sent_seconds`` is
the leader's monotonic clock; a reply echoes it unchanged.
"""

from jackdawsail.consensus.log import Entry
from jackdawsail.wire.codec import message


@message('raft-prevote')
class PreVote:
    """Asks whether the target would vote for the sender in ``term``; changes no state."""

    sender: str
    target: str
    term: int
    last_index: int
    last_term: int


@message('raft-prevoted')
class PreVoteReply:
    """Reply to a pre-vote; ``term`` is the proposed one, or the target's own if that is higher."""

    sender: str
    target: str
    term: int
    granted: bool


@message('raft-vote')
class Vote:
    """Requests a vote; ``transfer`` is set when the leader transfers its leadership."""

    sender: str
    target: str
    term: int
    last_index: int
    last_term: int
    transfer: bool


@message('raft-voted')
class VoteReply:
    """Reply to a vote request; ``term`` is the target's current term."""

    sender: str
    target: str
    term: int
    granted: bool


@message('raft-append')
class Append:
    """Leader to member: entries after an index and term; a heartbeat if there are none."""

    sender: str
    target: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    sent_seconds: float
    entries: list[Entry]


@message('raft-appended')
class AppendReply:
    """Reply to an append, or to a snapshot piece after which no other is needed.

    On success the log matches the leader's up to ``match_index``. Otherwise the
    leader continues at ``conflict_index``, or after its own last entry of
    ``conflict_term`` if that is not zero and the leader has such an entry.
    """

    sender: str
    target: str
    term: int
    success: bool
    match_index: int
    conflict_index: int
    conflict_term: int
    sent_seconds: float


@message('raft-piece')
class SnapshotPiece:
    """Leader to member: a piece of a snapshot, starting at byte ``offset``."""

    sender: str
    target: str
    term: int
    index: int
    snapshot_term: int
    configuration: bytes
    offset: int
    total_bytes: int
    piece: bytes
    sent_seconds: float


@message('raft-pieced')
class SnapshotReply:
    """Reply to a piece: the number of bytes of the snapshot received so far."""

    sender: str
    target: str
    term: int
    index: int
    received_bytes: int
    sent_seconds: float


@message('raft-transfer')
class TimeoutNow:
    """A leader that resigns asks the target to start an election at once."""

    sender: str
    target: str
    term: int


Message = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | SnapshotPiece
    | SnapshotReply
    | TimeoutNow
)
