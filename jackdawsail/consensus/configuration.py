"""Membership of the consensus group, as stored in configuration entries of the log.

A member is identified by its node id, ``<host name>@<disk id>``. The disk id is generated
once for each data folder, so a host whose disk was replaced by an empty one has
a new node id and cannot vote under its former identity.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

import cbor2

NODE_ID_SEPARATOR = '@'


@dataclass(frozen=True, slots=True)
class Configuration:
    """The voters and learners of the group.

    ``target_voters`` is the number of voters that repair restores. ``retired`` holds
    the host names that operators have removed from the group.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    target_voters: int = 0
    retired: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Returns the voters and learners; entries are replicated to all of them."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Returns the size of a majority of the voters."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, nodes: Collection[str]) -> bool:
        """Returns whether the nodes include a majority of the voters."""
        return sum(voter in nodes for voter in self.voters) >= self.quorum

    def with_learner(self, node: str) -> 'Configuration':
        """Returns the configuration with the node added as a learner."""
        return replace(self, learners=(*self.learners, node))

    def promote(self, node: str) -> 'Configuration':
        """Returns the configuration with a learner turned into a voter."""
        learners = tuple(learner for learner in self.learners if learner != node)
        return replace(self, voters=(*self.voters, node), learners=learners)

    def without(self, node: str) -> 'Configuration':
        """Returns the configuration without a voter or learner."""
        voters = tuple(voter for voter in self.voters if voter != node)
        learners = tuple(learner for learner in self.learners if learner != node)
        return replace(self, voters=voters, learners=learners)

    def retire(self, host: str) -> 'Configuration':
        """Returns the configuration with a host marked for replacement."""
        return replace(self, retired=tuple(sorted({*self.retired, host})))

    def unretire(self, host: str) -> 'Configuration':
        """Returns the configuration in which a retired host may rejoin."""
        return replace(self, retired=tuple(name for name in self.retired if name != host))

    def differs_by_at_most_one_voter(self, previous: 'Configuration') -> bool:
        """Returns whether at most one voter differs, which makes any two majorities overlap."""
        return len(set(self.voters) ^ set(previous.voters)) <= 1

    def encode(self) -> bytes:
        """Encodes the configuration for a log entry or a snapshot."""
        lists = [list(part) for part in (self.voters, self.learners, self.retired)]
        return cbor2.dumps([*lists, self.target_voters])


def decode_configuration(body: bytes) -> Configuration:
    """Decodes the output of ``Configuration.encode``."""
    voters, learners, retired, target_voters = cbor2.loads(body)
    return Configuration(tuple(voters), tuple(learners), target_voters, tuple(retired))


def node_id(host_name: str, disk_id: str) -> str:
    """Returns the node id of a host with the given disk."""
    return f'{host_name}{NODE_ID_SEPARATOR}{disk_id}'


def host_of(node: str) -> str:
    """Returns the host name of a node id."""
    return node.partition(NODE_ID_SEPARATOR)[0]
