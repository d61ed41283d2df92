"""Who votes: the membership of the cluster as it stands in the log.

A member is named by its node id, ``<host name>@<disk id>``. The disk id is drawn
once for each data folder, so a host whose disk was swapped for an empty one has
another node id and cannot vote under its former identity.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace

import cbor2

SEPARATOR = '@'


@dataclass(frozen=True, slots=True)
class Configuration:
    """The voters and learners.

    ``target_voters`` is the number that repair restores. ``retired`` holds the
    host names that operators have taken out of the group.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    target_voters: int = 0
    retired: tuple[str, ...] = ()

    @property
    def members(self) -> tuple[str, ...]:
        """Returns every member that entries are sent to."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Returns the number of voters that decide."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, nodes: Collection[str]) -> bool:
        """Tells whether the nodes include a majority of the voters."""
        return sum(voter in nodes for voter in self.voters) >= self.quorum

    def with_learner(self, node: str) -> 'Configuration':
        """Returns the configuration with one more learner."""
        return replace(self, learners=(*self.learners, node))

    def promote(self, node: str) -> 'Configuration':
        """Returns the configuration in which a learner votes."""
        learners = tuple(one for one in self.learners if one != node)
        return replace(self, voters=(*self.voters, node), learners=learners)

    def without(self, node: str) -> 'Configuration':
        """Returns the configuration without a node."""
        voters = tuple(one for one in self.voters if one != node)
        learners = tuple(one for one in self.learners if one != node)
        return replace(self, voters=voters, learners=learners)

    def retire(self, host: str) -> 'Configuration':
        """Returns the configuration in which a host shall be replaced."""
        return replace(self, retired=tuple(sorted({*self.retired, host})))

    def take_back(self, host: str) -> 'Configuration':
        """Returns the configuration in which a retired host may join again."""
        return replace(self, retired=tuple(one for one in self.retired if one != host))

    def changes_one_voter_from(self, before: 'Configuration') -> bool:
        """Tells whether at most one voter differs, so that any two majorities meet."""
        return len(set(self.voters) ^ set(before.voters)) <= 1

    def encode(self) -> bytes:
        """Encodes the configuration for a log entry or a snapshot."""
        lists = [list(part) for part in (self.voters, self.learners, self.retired)]
        return cbor2.dumps([*lists, self.target_voters])


def decode_configuration(body: bytes) -> Configuration:
    """Decodes what ``Configuration.encode`` made."""
    voters, learners, retired, target_voters = cbor2.loads(body)
    return Configuration(tuple(voters), tuple(learners), target_voters, tuple(retired))


def node_id(host_name: str, disk_id: str) -> str:
    """Makes the id under which a host with a certain disk takes part."""
    return f'{host_name}{SEPARATOR}{disk_id}'


def host_of(node: str) -> str:
    """Returns the host name of a node id."""
    return node.partition(SEPARATOR)[0]
