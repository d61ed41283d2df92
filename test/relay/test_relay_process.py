"""A relay process between an entry and three voters: leases, state, bookings, a leader crash."""

import pytest
import yaml

from bench.harness.fleet import running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment
from bench.harness.ports import free_ports
from bench.harness.waiting import wait_until

pytestmark = pytest.mark.slow
BOOK = '/v1/backends/bookings-app/call/book'


def host(name):
    return {'name': name, 'zone': 'zone-b', 'region': 'region-b'}


def start(fleet, name, module, document):
    path = fleet.folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump({'host': host(name), **document}))
    arguments = ['--settings', str(fleet.files.base_path), '--settings', str(path)]
    child = fleet.add_child(name, module, arguments)
    child.start()
    return child.wait_ready()


def entry_row(fleet, name):
    reply = fleet.admin('GET', '/v1/status')
    rows = reply.content['entries'] if reply.status == 200 else []
    return next((row for row in rows if row['name'] == name), None)


def book(fleet, address, slot):
    content = {'slot': slot, 'customer': 'studio-one'}
    return fleet.call_entry(
        address, 'studio-one', 'POST', BOOK, content, Idempotency_Key=slot
    ).status


def test_entry_behind_a_relay(tmp_path):
    with running_fleet(Deployment(engines_per_zone=0, services=1, voters=3)) as fleet:
        voters = fleet.layout.of_kind(ProcessKind.control)
        control = [place.public_address(0) for place in voters]
        caller_port, link_port, relay_port = free_ports(3)
        relay = {'relay': {'control': control, 'link_port': relay_port}}
        start(fleet, 'relay-b', 'jackdawsail.relay.main', relay)
        entry = {
            'caller_port': caller_port,
            'link_port': link_port,
            'control': [f'127.0.0.1:{relay_port}'],
        }
        start(fleet, 'entry-b-2', 'jackdawsail.entry.main', {'entry': entry})
        address = f'127.0.0.1:{caller_port}'
        wait_until(lambda: entry_row(fleet, 'entry-b-2'), 20, 'the leader knows the entry')
        wait_until(lambda: book(fleet, address, 'slot-1') == 200, 20, 'a booking')
        changed = fleet.command('customer-put', name='studio-one', weight=5).content['revision']
        wait_until(
            lambda: entry_row(fleet, 'entry-b-2')['in_force_revision'] >= changed, 20, 'in force'
        )
        fleet.kill(fleet.wait_leader()['consensus']['leader'])
        wait_until(lambda: entry_row(fleet, 'entry-b-2'), 20, 'the new leader knows the entry')
        wait_until(lambda: book(fleet, address, 'slot-2') == 200, 20, 'a booking after that')
        slots = [run['slot'] for run in fleet.records('service-1')]
        assert sorted(slots) == ['slot-1', 'slot-2']
