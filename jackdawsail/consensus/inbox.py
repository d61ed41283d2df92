"""Dispatches the messages of peers to the parts of the node."""

from functools import singledispatchmethod

from jackdawsail.consensus import messages
from jackdawsail.consensus.core import Core
from jackdawsail.consensus.election import Election
from jackdawsail.consensus.follower import Follower
from jackdawsail.consensus.replication import Replication


class Inbox:
    """Dispatches messages by type; drops a message that targets another node id."""

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core = core
        self._replication = replication
        self._election = Election(core)
        self._follower = Follower(core)

    def receive(self, message: object) -> None:
        """Handles a message, unless its target is another node id."""
        if getattr(message, 'target', '') == self._core.node:
            self._handle(message)

    def tick(self) -> None:
        """Starts an election when the election timer has expired."""
        self._lead_if_won(self._election.tick())

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise AssertionError(f'{type(message).__name__} is no message of a node')

    @_handle.register
    def _on_pre_vote(self, message: messages.PreVote) -> None:
        self._election.on_pre_vote(message)

    @_handle.register
    def _on_pre_vote_reply(self, message: messages.PreVoteReply) -> None:
        self._lead_if_won(self._election.on_pre_vote_reply(message))

    @_handle.register
    def _on_vote(self, message: messages.Vote) -> None:
        self._election.on_vote(message)

    @_handle.register
    def _on_vote_reply(self, message: messages.VoteReply) -> None:
        if not self._adopt_higher_term(message.term):
            self._lead_if_won(self._election.on_vote_reply(message))

    @_handle.register
    def _on_append(self, message: messages.Append) -> None:
        self._follower.on_append(message)

    @_handle.register
    def _on_append_reply(self, message: messages.AppendReply) -> None:
        if not self._adopt_higher_term(message.term):
            self._replication.on_append_reply(message)

    @_handle.register
    def _on_piece(self, message: messages.SnapshotPiece) -> None:
        self._follower.on_piece(message)

    @_handle.register
    def _on_snapshot_reply(self, message: messages.SnapshotReply) -> None:
        if not self._adopt_higher_term(message.term):
            self._replication.on_snapshot_reply(message)

    @_handle.register
    def _on_timeout_now(self, message: messages.TimeoutNow) -> None:
        self._lead_if_won(self._election.on_timeout_now(message))

    def _lead_if_won(self, won: bool) -> None:
        if won:
            self._replication.become_leader()

    def _adopt_higher_term(self, term: int) -> bool:
        """Becomes a follower of a higher term; returns whether the term was higher."""
        if term <= self._core.term:
            return False
        self._core.become_follower(term)
        return True
