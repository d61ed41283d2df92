"""An entry keeps to one relay of a term, and turns to the other when its link ends."""

from jackdawsail.entry.control_links import _LeaderTable
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.membership_messages import LeaderNotice


class Peer:
    def __init__(self, name):
        self.peer = Identity(Role.relay, name, 'a', 'r', 1)


def test_two_relays_and_a_new_term():
    table, one, two = _LeaderTable(), Peer('r1'), Peer('r2')
    for relay in (one, two):
        table.add(relay)
        table.record_notice(relay, LeaderNotice(relay.peer.name, 5, is_self=True))
    assert table.leader() is one
    table.remove(one)
    assert table.leader() is two
    table.add(one)
    assert table.leader() is two
    assert table.record_notice(one, LeaderNotice('r1', 6, is_self=True))
    assert table.leader() is one
