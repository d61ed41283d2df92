"""Entries that have been linked share the limits, also after a restart of all processes."""

import pytest

from jackdawsail.group.entry_list import FORGET_ENTRY_SECONDS, EntryList
from jackdawsail.site.machine import SiteMachine
from jackdawsail.site.view import SiteView
from jackdawsail.wire.identity import Role
from jackdawsail.wire.site_messages import SiteSummary
from test.group.test_call_handler import Host

ADDRESSES = ('10.0.0.5', '10.0.0.6', '10.0.0.7')


def make_list(host):
    return EntryList(host.clock, host.replicator, host.machine)


def linked_to(host):
    return host.linked.members([]).entries


def listed(machine):
    return tuple(entry.address for entry in machine.state.sharing_entries)


class TestEntryList:
    """The list on the leader."""

    def setup_method(self):
        self.host = Host()
        self.list = make_list(self.host)

    def update_for(self, seconds):
        for _ in range(int(seconds)):
            self.host.clock.advance(1)
            self.list.update(linked_to(self.host))

    def test_linked_entries_are_listed_and_agents_are_not(self):
        self.host.link(Role.agent, '10.0.0.9')
        for address in ADDRESSES:
            self.host.link(name=address)
        self.list.update(linked_to(self.host))
        assert listed(self.host.machine) == ADDRESSES

    def test_an_entry_without_a_link_stays_listed_for_a_while(self):
        link = self.host.link(name=ADDRESSES[0])
        self.update_for(5)
        self.host.router.link_closed(link, 'closed')
        self.update_for(FORGET_ENTRY_SECONDS - 1)
        assert listed(self.host.machine) == ADDRESSES[:1]
        self.update_for(3)
        assert listed(self.host.machine) == ()

    def test_entries_stay_listed_after_a_restart_of_all_processes(self):
        for address in ADDRESSES:
            self.host.link(name=address)
        self.list.update(linked_to(self.host))
        restarted = Host()
        restarted.machine.restore(self.host.machine.snapshot())
        entry_list = make_list(restarted)
        entry_list.update(linked_to(restarted))
        assert listed(restarted.machine) == ADDRESSES

    @pytest.mark.parametrize('leads', [True, False])
    def test_only_the_leader_changes_the_list(self, leads):
        self.host.replicator.leads = leads
        self.host.link(name=ADDRESSES[0])
        self.list.update(linked_to(self.host))
        assert listed(self.host.machine) == (ADDRESSES[:1] if leads else ())

    def test_a_change_that_was_not_confirmed_is_proposed_again(self):
        self.host.replicator.lost = True
        self.host.link(name=ADDRESSES[0])
        self.list.update(linked_to(self.host))
        self.host.replicator.lost = False
        self.list.update(linked_to(self.host))
        assert listed(self.host.machine) == ADDRESSES[:1]


def test_an_entry_receives_the_list_with_its_first_summary_and_after_a_change():
    host = Host()
    host.link(name=ADDRESSES[0])
    entry_list = make_list(host)
    entry_list.update(linked_to(host))
    later = host.link(name=ADDRESSES[1])
    first = later.sent_of(SiteSummary)
    assert [entry.address for entry in first[0].sharing_entries] == [ADDRESSES[0]]
    entry_list.update(linked_to(host))
    assert [entry.address for entry in later.sent_of(SiteSummary)[-1].sharing_entries] == [
        *ADDRESSES[:2]
    ]
    host.fanout.send_summary()
    assert later.sent_of(SiteSummary)[-1].sharing_entries == []


def test_a_view_keeps_the_newest_list_and_a_summary_without_list_changes_nothing():
    machine = SiteMachine()
    view = SiteView()
    host = Host()
    host.link(name=ADDRESSES[0])
    entries = linked_to(host)
    view.apply_sharing_entries(SiteSummary(5, 0, [], [], entries))
    view.apply_sharing_entries(SiteSummary(4, 0, [], [], [*entries, *entries]))
    view.apply_sharing_entries(SiteSummary(6, 0, [], []))
    assert view.sharing_entries == tuple(entries)
    assert listed(machine) == ()
