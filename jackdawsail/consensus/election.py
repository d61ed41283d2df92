"""Elections: pre-vote, vote, and when a node may hold one.

A node that hears a leader, or has just started, grants neither, so a leader's
lease cannot be undercut and a returning node does not disturb the group.
"""

from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.messages import PreVote, PreVoteReply, TimeoutNow, Vote, VoteReply


class Election:
    """Holds elections for one node; its methods return True when it has won one."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._granted: set[str] = set()
        self._transfer = False

    def tick(self) -> bool:
        """Begins a pre-vote when no leader was heard for long; returns whether it won."""
        core = self._core
        if core.role is Role.leader or core.now_seconds < core.campaign_seconds:
            return False
        if not core.is_voter:
            # Without a leader it introduces itself again: it may have been removed.
            core.change_role(Role.follower, '')
            return False
        self._transfer = False
        core.change_role(Role.pre_candidate, '')
        core.put_off_campaign()
        self._granted = {core.node}
        for peer in self._other_voters():
            last_index, last_term = core.log.last_index, core.log.last_term
            core.send(PreVote(core.node, peer, core.term + 1, last_index, last_term))
        return self._begin_vote_on_quorum()

    def on_pre_vote(self, asked: PreVote) -> None:
        """Answers whether a vote would be given."""
        core = self._core
        behind = asked.term < core.term
        granted = not behind and not core.supports_leader and self._up_to_date(asked)
        term = core.term if behind else asked.term
        core.send(PreVoteReply(core.node, asked.sender, term, granted))

    def on_pre_vote_reply(self, reply: PreVoteReply) -> bool:
        """Counts a granted pre-vote; a refusal may carry a higher term."""
        core = self._core
        if not reply.granted:
            if reply.term > core.term + 1:
                core.follow(reply.term)
            return False
        if core.role is not Role.pre_candidate or reply.term != core.term + 1:
            return False
        self._granted.add(reply.sender)
        return self._begin_vote_on_quorum()

    def on_vote(self, asked: Vote) -> None:
        """Gives the vote of a term at most once, and only to a log that is not behind."""
        core = self._core
        if asked.term > core.term:
            if core.supports_leader and not asked.transfer:
                return
            core.follow(asked.term)
        free = core.voted_for in {'', asked.sender}
        granted = asked.term == core.term and free and self._up_to_date(asked)
        if granted:
            self._record_vote(asked.sender)
        core.send(VoteReply(core.node, asked.sender, core.term, granted))

    def on_vote_reply(self, reply: VoteReply) -> bool:
        """Counts a vote; returns whether it decided the election."""
        core = self._core
        if core.role is not Role.candidate or reply.term != core.term or not reply.granted:
            return False
        self._granted.add(reply.sender)
        return core.configuration.has_quorum(self._granted)

    def on_timeout_now(self, asked: TimeoutNow) -> bool:
        """Holds an election at once for a leader that has given its office up."""
        core = self._core
        if asked.term != core.term or not core.is_voter or core.leader != asked.sender:
            return False
        self._transfer = True
        return self._begin_vote()

    def _record_vote(self, candidate: str) -> None:
        core = self._core
        if not core.voted_for:
            core.enter_term(core.term, candidate)
        core.change_role(Role.follower, '')
        core.put_off_campaign()

    def _begin_vote_on_quorum(self) -> bool:
        if self._core.configuration.has_quorum(self._granted):
            return self._begin_vote()
        return False

    def _begin_vote(self) -> bool:
        core = self._core
        core.enter_term(core.term + 1, core.node)
        core.change_role(Role.candidate, '')
        core.put_off_campaign()
        self._granted = {core.node}
        last_index, last_term = core.log.last_index, core.log.last_term
        for peer in self._other_voters():
            vote = Vote(core.node, peer, core.term, last_index, last_term, self._transfer)
            core.send(vote)
        return core.configuration.has_quorum(self._granted)

    def _up_to_date(self, asked: PreVote | Vote) -> bool:
        log = self._core.log
        return (asked.last_term, asked.last_index) >= (log.last_term, log.last_index)

    def _other_voters(self) -> list[str]:
        core = self._core
        return [voter for voter in core.configuration.voters if voter != core.node]
