"""Hands each message of a peer to the part of the node that it concerns."""

from functools import singledispatchmethod

from jackdawsail.consensus import messages
from jackdawsail.consensus.core import Core
from jackdawsail.consensus.election import Election
from jackdawsail.consensus.follower import Follower
from jackdawsail.consensus.replication import Replication


class Inbox:
    """Dispatches messages by type; one for another node id is dropped."""

    def __init__(self, core: Core, replication: Replication) -> None:
        self._core = core
        self._replication = replication
        self._election = Election(core)
        self._follower = Follower(core)

    def receive(self, message: object) -> None:
        """Handles one message."""
        if getattr(message, 'target', '') == self._core.node:
            self._handle(message)

    def tick(self) -> None:
        """Holds an election when its time has come."""
        self._lead_if(self._election.tick())

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise AssertionError(f'{type(message).__name__} is no message of a node')

    @_handle.register
    def _on_pre_vote(self, message: messages.PreVote) -> None:
        self._election.on_pre_vote(message)

    @_handle.register
    def _on_pre_vote_reply(self, message: messages.PreVoteReply) -> None:
        self._lead_if(self._election.on_pre_vote_reply(message))

    @_handle.register
    def _on_vote(self, message: messages.Vote) -> None:
        self._election.on_vote(message)

    @_handle.register
    def _on_vote_reply(self, message: messages.VoteReply) -> None:
        if not self._learns_term(message.term):
            self._lead_if(self._election.on_vote_reply(message))

    @_handle.register
    def _on_append(self, message: messages.Append) -> None:
        self._follower.on_append(message)

    @_handle.register
    def _on_append_reply(self, message: messages.AppendReply) -> None:
        if not self._learns_term(message.term):
            self._replication.on_append_reply(message)

    @_handle.register
    def _on_piece(self, message: messages.SnapshotPiece) -> None:
        self._follower.on_piece(message)

    @_handle.register
    def _on_snapshot_reply(self, message: messages.SnapshotReply) -> None:
        if not self._learns_term(message.term):
            self._replication.on_snapshot_reply(message)

    @_handle.register
    def _on_timeout_now(self, message: messages.TimeoutNow) -> None:
        self._lead_if(self._election.on_timeout_now(message))

    def _lead_if(self, won: bool) -> None:
        if won:
            self._replication.lead()

    def _learns_term(self, term: int) -> bool:
        if term <= self._core.term:
            return False
        self._core.follow(term)
        return True
