"""An entry's upstream table follows the registrations, load reports and its own calls."""

from dataclasses import replace

from jackdawsail.registry.registration import RegistrationTable
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.wire.site_messages import EngineLoad
from test.registry.test_registration import BEAT

LOAD = EngineLoad(
    engine_address=BEAT.address,
    incarnation=1,
    sequence=5,
    weight_version=2,
    switching=False,
    waiting=0,
    running=3,
    memory_share=0,
    pace=1.0,
)


def make_table(*beats, received_seconds=10.0):
    registrations = RegistrationTable()
    for beat in beats:
        registrations.update(beat, received_seconds)
    table = UpstreamTable(1.2, {'z': 'r'})
    table.refresh(registrations)
    return registrations, table


def names(table, control_received_seconds=10.0):
    return [upstream.name for upstream in table.usable('s', control_received_seconds)]


def test_only_upstreams_of_the_service_that_are_not_leaving_are_usable():
    _registrations, table = make_table(
        BEAT,
        replace(BEAT, upstream='i-2', address='10.0.0.2:80', service='other'),
        replace(BEAT, upstream='i-3', address='10.0.0.3:80', leaving=True),
    )
    assert names(table) == ['i-1']


def test_an_address_that_another_service_has_taken_over_is_not_used():
    _registrations, table = make_table(
        BEAT, replace(BEAT, upstream='i-9', service='other', born_milliseconds=9000)
    )
    assert names(table) == []


def test_silence_counts_only_while_control_is_connected_and_no_call_is_answered():
    _registrations, table = make_table(BEAT)
    assert names(table, control_received_seconds=14.0) == ['i-1']
    assert names(table, control_received_seconds=15.0) == []
    table.get('i-1').call_answered(0.1, 14.5, failed=False)
    assert names(table, control_received_seconds=15.0) == ['i-1']


def test_out_of_order_reports_are_ignored():
    _registrations, table = make_table(BEAT)
    table.apply_load(LOAD, 10.0)
    table.apply_load(replace(LOAD, sequence=4, running=9), 10.1)
    assert table.get('i-1').load_at(10.2).running == 3
    table.apply_load(replace(LOAD, incarnation=2, sequence=1, running=9), 10.3)
    assert table.get('i-1').load_at(10.4).running == 9
    assert table.get('i-1').load_at(12.0) is None


def test_own_calls_survive_a_heartbeat_and_end_with_the_incarnation():
    registrations, table = make_table(BEAT)
    table.get('i-1').call_sent(10.0)
    registrations.update(replace(BEAT, sequence=2), 11.0)
    table.refresh(registrations)
    assert table.get('i-1').calls == 1
    registrations.update(replace(BEAT, born_milliseconds=2000, sequence=1), 12.0)
    table.refresh(registrations)
    assert table.get('i-1').calls == 0


def test_a_cold_upstream_is_cold_for_the_time_it_reported():
    _registrations, table = make_table(replace(BEAT, cold_seconds=2.0))
    assert table.get('i-1').is_cold(11.9)
    assert not table.get('i-1').is_cold(12.1)
