"""Agents find the relays also while no control host is linked."""

from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.sources import sources_for
from jackdawsail.wire.site_messages import MemberHost, Members
from test.staging.test_sources import ENTRIES, REGIONS, make_view

SETTINGS = NodeSettings('n', '10.1.0.99', 'z1', 'r1', REGIONS, link_port=7700)


def test_agent_does_not_turn_to_the_origin_when_all_control_hosts_are_lost():
    view = make_view()
    view.apply_members('d', Members(['d'], ENTRIES[:4], []))
    sources = sources_for(SETTINGS, view, 'm')
    for control in ('d', 'c'):
        view.forget_control(control)
    assert sources_for(SETTINGS, view, 'm') == sources
    assert not sources[0].is_origin


def test_agent_keeps_its_wave_when_all_control_hosts_are_lost():
    view = SiteView()
    agents = [MemberHost(f'10.1.0.{number}', 'z1', 'r1') for number in (1, 2)]
    view.apply_members('c', Members(['c'], [], agents))
    view.forget_control('c')
    assert view.agents() == [agent.address for agent in agents]


def test_entries_that_a_control_host_reports_replace_those_known_before_an_outage():
    view = make_view()
    view.forget_control('c')
    view.apply_members('d', Members(['d'], ENTRIES[:2], []))
    assert view.entries() == ENTRIES[:2]
