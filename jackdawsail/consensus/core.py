"""The state shared by the parts of a consensus node, and the role transitions."""

import random
from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.effects import Apply, Effect, SaveVote, Send
from jackdawsail.consensus.log import LogView, Snapshot
from jackdawsail.consensus.messages import Message


class Role(StrEnum):
    """The Raft role of a node in its current term."""

    follower = 'follower'
    pre_candidate = 'pre-candidate'
    candidate = 'candidate'
    leader = 'leader'


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts and size limits of the protocol.

    The leader lease is a share of the election timeout; the remainder allows for
    clocks that run at different rates. ``window_bytes`` limits the size of the appends
    in flight to one member, ``batch_bytes`` that of one append, ``piece_bytes`` that of
    one snapshot piece and ``piece_window_bytes`` that of the pieces in flight.
    """

    election_timeout_seconds: float = 1.0
    heartbeat_seconds: float = 0.2
    lease_share: float = 0.8
    replace_voter_after_seconds: float = 30.0
    batch_bytes: int = 262_144
    piece_bytes: int = 65_536
    window_bytes: int = 524_288
    piece_window_bytes: int = 196_608  # fills a link of 10 Mbit/s over a round trip of 0.15 s

    @property
    def lease_seconds(self) -> float:
        """Returns how long the leader lease lasts after a quorum has acknowledged."""
        return self.election_timeout_seconds * self.lease_share


@dataclass(slots=True)
class Core:
    """A node's term, vote, role, log and clock; ``effects`` collects the output of a step."""

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
    leader_received_seconds: float = 0
    election_due_seconds: float = 0
    effects: list[Effect] = field(default_factory=list)

    @property
    def configuration(self) -> Configuration:
        """Returns the latest configuration in the log, committed or not."""
        return self.log.configuration

    @property
    def is_voter(self) -> bool:
        """Returns whether this node votes in the latest configuration."""
        return self.node in self.configuration.voters

    @property
    def supports_leader(self) -> bool:
        """Returns whether a leader may still rely on an acknowledgement of this node.

        True for one election timeout after a start as well, because the node may
        have acknowledged a leader just before it restarted.
        """
        if self.role is Role.leader:
            return True
        silent_seconds = self.now_seconds - self.leader_received_seconds
        return silent_seconds < self.timing.election_timeout_seconds

    def send(self, message: Message) -> None:
        """Adds a message to the effects of this step."""
        self.effects.append(Send(message))

    def enter_term(self, term: int, voted_for: str = '') -> None:
        """Sets the term and the vote in it, and requests that both are made durable."""
        self.term = term
        self.voted_for = voted_for
        self.effects.append(SaveVote(term, voted_for))

    def become_follower(self, term: int, leader: str = '') -> None:
        """Becomes a follower; ``term`` must not be lower than the current one."""
        if term > self.term:
            self.enter_term(term)
        self.change_role(Role.follower, leader)
        self.reset_election_timer()

    def change_role(self, role: Role, leader: str) -> None:
        """Sets the role and the node id of the known leader (empty: unknown)."""
        self.role = role
        self.leader = leader

    def reset_election_timer(self) -> None:
        """Sets the next election to a random time, one to two timeouts from now."""
        timeout_seconds = self.timing.election_timeout_seconds
        self.election_due_seconds = self.now_seconds + timeout_seconds * self.rng.uniform(1, 2)

    def commit(self, index: int) -> None:
        """Commits the log up to an index and emits the newly committed entries to be applied."""
        if index <= self.commit_index:
            return
        entries = self.log.between(self.commit_index, index)
        self.commit_index = index
        self.effects.append(Apply(tuple(entries)))
