"""Which host may bootstrap a group, and when."""

from jackdawsail.control.bootstrap import bootstrap_voters
from jackdawsail.control.raft_messages import RaftHello

VOTERS = ['a', 'b', 'c']


def hello(name, fresh=True, voters=VOTERS):
    return RaftHello(f'{name}@1', fresh, voters)


def bootstrap(name, others, **own):
    return bootstrap_voters(name, hello(name, **own), others)


def test_only_the_first_voter_bootstraps_when_all_disks_are_new():
    assert bootstrap('a', {'b': hello('b'), 'c': hello('c')}) == ('a@1', 'b@1', 'c@1')
    assert not bootstrap('b', {'a': hello('a'), 'c': hello('c')})


def test_no_host_bootstraps_beside_a_group_or_without_all_voters():
    assert not bootstrap('a', {'b': hello('b')})
    assert not bootstrap('a', {'b': hello('b', fresh=False), 'c': hello('c')})
    assert not bootstrap('a', {'b': hello('b', voters=['b', 'c']), 'c': hello('c')})
