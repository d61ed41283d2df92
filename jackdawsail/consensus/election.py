"""Leader election: pre-vote, vote, and the conditions for starting an election.

A node that has recently received a message from a leader, or has just started, grants
no pre-vote and no vote in a later term, unless the leader transfers its leadership.
This keeps a leader's lease valid, and a node that reconnects does not disrupt the group.
"""

from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.messages import PreVote, PreVoteReply, TimeoutNow, Vote, VoteReply


class Election:
    """Runs elections for one node; the bool results are True when an election was won."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._granted: set[str] = set()
        self._is_transfer = False

    def tick(self) -> bool:
        """Starts a pre-vote when the election timer has expired.

        Returns whether this node won the election at once, as a sole voter does.
        """
        core = self._core
        if core.role is Role.leader or core.now_seconds < core.election_due_seconds:
            return False
        if not core.is_voter:
            # Clears the leader, so that the node announces itself again: it may have been removed.
            core.change_role(Role.follower, '')
            return False
        self._is_transfer = False
        core.change_role(Role.pre_candidate, '')
        core.reset_election_timer()
        self._granted = {core.node}
        for peer in self._other_voters():
            last_index, last_term = core.log.last_index, core.log.last_term
            core.send(PreVote(core.node, peer, core.term + 1, last_index, last_term))
        return self._start_election_on_quorum()

    def on_pre_vote(self, request: PreVote) -> None:
        """Replies whether this node would grant its vote; changes no state."""
        core = self._core
        stale = request.term < core.term
        granted = not stale and not core.supports_leader and self._up_to_date(request)
        term = core.term if stale else request.term
        core.send(PreVoteReply(core.node, request.sender, term, granted))

    def on_pre_vote_reply(self, reply: PreVoteReply) -> bool:
        """Counts a granted pre-vote; a refusal may carry a higher term."""
        core = self._core
        if not reply.granted:
            if reply.term > core.term + 1:
                core.become_follower(reply.term)
            return False
        if core.role is not Role.pre_candidate or reply.term != core.term + 1:
            return False
        self._granted.add(reply.sender)
        return self._start_election_on_quorum()

    def on_vote(self, request: Vote) -> None:
        """Grants at most one vote in a term, and only to a candidate whose log is up to date."""
        core = self._core
        if request.term > core.term:
            if core.supports_leader and not request.transfer:
                return
            core.become_follower(request.term)
        vote_is_free = core.voted_for in {'', request.sender}
        granted = request.term == core.term and vote_is_free and self._up_to_date(request)
        if granted:
            self._record_vote(request.sender)
        core.send(VoteReply(core.node, request.sender, core.term, granted))

    def on_vote_reply(self, reply: VoteReply) -> bool:
        """Counts a granted vote; returns whether it completes a quorum."""
        core = self._core
        if core.role is not Role.candidate or reply.term != core.term or not reply.granted:
            return False
        self._granted.add(reply.sender)
        return core.configuration.has_quorum(self._granted)

    def on_timeout_now(self, request: TimeoutNow) -> bool:
        """Starts an election at once, skipping the pre-vote, when the leader has resigned."""
        core = self._core
        if request.term != core.term or not core.is_voter or core.leader != request.sender:
            return False
        self._is_transfer = True
        return self._start_election()

    def _record_vote(self, candidate: str) -> None:
        core = self._core
        if not core.voted_for:
            core.enter_term(core.term, candidate)
        core.change_role(Role.follower, '')
        core.reset_election_timer()

    def _start_election_on_quorum(self) -> bool:
        if self._core.configuration.has_quorum(self._granted):
            return self._start_election()
        return False

    def _start_election(self) -> bool:
        core = self._core
        core.enter_term(core.term + 1, core.node)
        core.change_role(Role.candidate, '')
        core.reset_election_timer()
        self._granted = {core.node}
        last_index, last_term = core.log.last_index, core.log.last_term
        for peer in self._other_voters():
            vote = Vote(core.node, peer, core.term, last_index, last_term, self._is_transfer)
            core.send(vote)
        return core.configuration.has_quorum(self._granted)

    def _up_to_date(self, request: PreVote | Vote) -> bool:
        log = self._core.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    def _other_voters(self) -> list[str]:
        core = self._core
        return [voter for voter in core.configuration.voters if voter != core.node]
