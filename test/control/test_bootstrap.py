"""Who may found a group, and when."""

from jackdawsail.control.bootstrap import bootstrap_voters
from jackdawsail.control.raft_messages import RaftHello

VOTERS = ['a', 'b', 'c']


def hello(name, fresh=True, voters=VOTERS):
    return RaftHello(f'{name}@1', fresh, voters)


def found(name, others, **own):
    return bootstrap_voters(name, hello(name, **own), others)


def test_only_the_first_voter_founds_when_all_are_new():
    assert found('a', {'b': hello('b'), 'c': hello('c')}) == ('a@1', 'b@1', 'c@1')
    assert not found('b', {'a': hello('a'), 'c': hello('c')})


def test_nobody_founds_beside_a_group_or_without_all_voters():
    assert not found('a', {'b': hello('b')})
    assert not found('a', {'b': hello('b', fresh=False), 'c': hello('c')})
    assert not found('a', {'b': hello('b', voters=['b', 'c']), 'c': hello('c')})
