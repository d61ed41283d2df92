"""The target number of voters follows the tolerated losses and the hosts that can be voters."""

from types import SimpleNamespace

import pytest

from jackdawsail.consensus.configuration import Configuration
from jackdawsail.group.consensus_replica import ConsensusReplica

VOTERS = ('a@1', 'b@1', 'c@1')


def raise_target(learners, tolerated_host_losses=2):
    """Returns the requested targets and the hosts to dial."""
    targets = []
    core = SimpleNamespace(configuration=Configuration(VOTERS, learners, 3))
    replicator = SimpleNamespace(
        host=SimpleNamespace(node=SimpleNamespace(core=core)),
        is_leader=lambda: True,
        change_voters=lambda target_voters: targets.append(target_voters),
    )
    hosts = ConsensusReplica(replicator, None).raise_voter_target(tolerated_host_losses)
    return targets, hosts


def test_replaced_disks_do_not_count_as_hosts_of_further_voters():
    targets, hosts = raise_target(('d@1', 'c@2', 'd@2'))
    assert targets == []
    assert hosts == ['a', 'b', 'c', 'd']


@pytest.mark.parametrize(('learners', 'expected'), [(('d@1', 'e@1'), [5]), (('d@1',), [])])
def test_target_is_raised_once_there_are_enough_hosts(learners, expected):
    assert raise_target(learners)[0] == expected
