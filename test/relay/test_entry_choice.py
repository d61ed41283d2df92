"""An entry stays with one relay within a term, and switches when the link to it closes."""

from jackdawsail.entry.control_links import _LeaderTable
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.membership_messages import LeaderNotice


class Peer:
    def __init__(self, name):
        self.peer = Identity(Role.relay, name, 'a', 'r', 1)


def test_entry_changes_its_relay_only_for_a_closed_link_or_a_new_term():
    table, first, second = _LeaderTable(), Peer('r1'), Peer('r2')
    for relay in (first, second):
        table.add(relay)
        table.record_notice(relay, LeaderNotice(relay.peer.name, 5, is_self=True))
    assert table.leader() is first
    table.remove(first)
    assert table.leader() is second
    table.add(first)
    assert table.leader() is second
    assert table.record_notice(first, LeaderNotice('r1', 6, is_self=True))
    assert table.leader() is first
