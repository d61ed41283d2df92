"""Messages between the nodes of the consensus group.

Each names the node ids of its sender and its target, so that a message for a
host's former identity (before its disk was replaced) is dropped. Times in
``sent_seconds`` are the sender's own monotonic clock; they are only echoed.
"""

from jackdawsail.consensus.log import Entry
from jackdawsail.wire.codec import message


@message('raft-prevote')
class PreVote:
    """Asks whether an election in ``term`` would be won; changes nothing."""

    sender: str
    target: str
    term: int
    last_index: int
    last_term: int


@message('raft-prevoted')
class PreVoteReply:
    """Answers a pre-vote; ``term`` is the proposed one, or the higher one of a refusal."""

    sender: str
    target: str
    term: int
    granted: bool


@message('raft-vote')
class Vote:
    """Asks for the vote of a term; ``transfer`` when the leader has asked for it."""

    sender: str
    target: str
    term: int
    last_index: int
    last_term: int
    transfer: bool


@message('raft-voted')
class VoteReply:
    """Answers a request for a vote."""

    sender: str
    target: str
    term: int
    granted: bool


@message('raft-append')
class Append:
    """Leader to member: entries after a point, and a heartbeat when there are none."""

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
    """Answers an append.

    On success the log matches the leader's up to ``match_index``. Otherwise the
    leader goes on at ``conflict_index``, or after its own last entry of
    ``conflict_term`` where that is not zero.
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
    """Leader to member: a piece of a snapshot from byte ``offset`` on."""

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
    """Tells how many bytes of a snapshot the member holds."""

    sender: str
    target: str
    term: int
    index: int
    received_bytes: int
    sent_seconds: float


@message('raft-transfer')
class TimeoutNow:
    """A leader that stops asks the target to hold an election at once."""

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
