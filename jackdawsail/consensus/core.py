"""The state that the parts of a consensus node share, and the moves between roles."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.effects import Apply, Effect, SaveVote, Send
from jackdawsail.consensus.log import LogView, Snapshot
from jackdawsail.consensus.messages import Message


class Role(StrEnum):
    """What a node does in its term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(frozen=True, slots=True)
class Timing:
    """Times and sizes of the protocol.

    The leader lease is a share of the election timeout, which leaves room for
    clocks that run at different rates.
    """

    election_timeout_seconds: float = 1.0
    heartbeat_seconds: float = 0.2
    lease_share: float = 0.8
    replace_voter_after_seconds: float = 30.0
    batch_bytes: int = 262_144
    piece_bytes: int = 65_536
    window_bytes: int = 524_288

    @property
    def lease_seconds(self) -> float:
        """Returns how long an acknowledged round keeps the leader in office."""
        return self.election_timeout_seconds * self.lease_share


@dataclass(slots=True)
class Core:
    """One node's term, vote, role, log and clock; ``effects`` collects its output."""

    node: str
    timing: Timing
    rng: random.Random
    log: LogView
    term: int = 0
    voted_for: str = ''
    role: Role = Role.follower
    leader: str = ''
    commit_index: int = 0
    snapshot: Snapshot | None = None
    now_seconds: float = 0
    heard_seconds: float = 0
    campaign_seconds: float = 0
    effects: list[Effect] = field(default_factory=list)

    @property
    def configuration(self) -> Configuration:
        """Returns the latest configuration in the log."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Tells whether this node votes in the latest configuration."""
        return self.node in self.configuration.voters

    @property
    def supports_leader(self) -> bool:
        """Tells whether a leader may still count on this node's support.

        It also holds just after a start, because the vote may have been asked
        from a node that acknowledged a leader before its restart.
        """
        if self.role is Role.leader:
            return True
        silent_seconds = self.now_seconds - self.heard_seconds
        return silent_seconds < self.timing.election_timeout_seconds

    def send(self, message: Message) -> None:
        """Queues a message."""
        self.effects.append(Send(message))

    def enter_term(self, term: int, voted_for: str = '') -> None:
        """Moves to a term with a vote, durably."""
        self.term = term
        self.voted_for = voted_for
        self.effects.append(SaveVote(term, voted_for))

    def follow(self, term: int, leader: str = '') -> None:
        """Becomes a follower in a term that is not below the current one."""
        if term > self.term:
            self.enter_term(term)
        self.change_role(Role.follower, leader)
        self.put_off_campaign()

    def change_role(self, role: Role, leader: str) -> None:
        """Sets the role and the known leader."""
        self.role = role
        self.leader = leader

    def put_off_campaign(self) -> None:
        """Draws the time of the next election, one to two timeouts from now."""
        timeout_seconds = self.timing.election_timeout_seconds
        self.campaign_seconds = self.now_seconds + timeout_seconds * self.rng.uniform(1, 2)

    def commit(self, index: int) -> None:
        """Commits the log up to an index and hands the entries out to be applied."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index, index)
        self.commit_index = index
        self.effects.append(Apply(tuple(entries)))
