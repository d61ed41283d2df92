"""Control processes under faults: replaced disks, one-way partitions, damaged logs, freezes."""

import shutil
import time

import pytest

from bench.harness.fleet import running_fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment, Shaping
from bench.harness.settings_files import BOOTSTRAP_TOKEN
from bench.harness.waiting import wait_until
from bench.proxy.rules import Rule

pytestmark = pytest.mark.slow
WAIT_SECONDS = 30


@pytest.fixture
def fleet():
    plan = Deployment(
        voters=3, engines_per_zone=0, services=0, entries_per_zone=0, shaping=Shaping()
    )
    with running_fleet(plan) as started:
        started.wait_leader()
        yield started


def consensus(fleet):
    reply = fleet.admin('GET', '/v1/status')
    return reply.content['consensus'] if reply.status == 200 else {}


def put(fleet, name):
    def accepted():
        return fleet.command('customer-put', name=name).status == 200

    wait_until(accepted, WAIT_SECONDS, f'{name} accepted')


def holds_lease(fleet, name):
    """Queries a host directly, not through the proxy; only a leader with its lease answers 200."""
    place = fleet.layout.processes[name]
    headers = {'Authorization': f'Bearer {BOOTSTRAP_TOKEN}'}
    return call('GET', place.listen_address(1), '/v1/status', None, headers).status == 200


def other_leads(fleet, old):
    names = [name for name in fleet.names(ProcessKind.control) if name != old]
    return any(holds_lease(fleet, name) for name in names)


def test_host_with_a_replaced_disk_rejoins_and_a_second_loss_is_survived(fleet):
    put(fleet, 'before')
    rejoining = next(name for name in fleet.names(ProcessKind.control) if name != leader(fleet))
    old = next(node for node in consensus(fleet)['voters'] if node.startswith(f'{rejoining}@'))
    fleet.kill(rejoining)
    shutil.rmtree(fleet.files.data_folder(fleet.layout.processes[rejoining]))
    fleet.restart(rejoining)

    def repaired():
        voters = consensus(fleet).get('voters', [])
        return len(voters) == 3 and old not in voters

    wait_until(repaired, WAIT_SECONDS, 'the rejoining host votes under a new id')
    fleet.kill(leader(fleet))
    put(fleet, 'after')
    names = [row['name'] for row in fleet.admin('GET', '/v1/customers').content['items']]
    assert {'before', 'after'} <= set(names)


@pytest.mark.parametrize('direction', ['from', 'to'])
def test_leader_partitioned_one_way_loses_its_lease(fleet, direction):
    old = leader(fleet)
    ends = (old, '*') if direction == 'from' else ('*', old)
    fleet.proxy.add(Rule(source=ends[0], target=ends[1], stall=True))
    wait_until(lambda: other_leads(fleet, old), WAIT_SECONDS, 'another host leads')
    assert not holds_lease(fleet, old)
    fleet.proxy.heal()
    put(fleet, 'healed')


def test_damaged_log_stops_the_host_and_is_left_unchanged(fleet):
    for number in range(5):
        put(fleet, f'customer-{number}')
    name = leader(fleet)
    fleet.kill(name)
    path = fleet.files.data_folder(fleet.layout.processes[name]) / 'raft' / 'log-000000000001'
    body = bytearray(path.read_bytes())
    body[60] ^= 1
    path.write_bytes(body)
    child = fleet.children[name]
    child.start()
    wait_until(lambda: not child.is_running(), WAIT_SECONDS, 'the host refuses to start')
    assert 'log-000000000001 at offset 19' in child.events(220)[0]['reason']
    assert path.read_bytes() == bytes(body)
    put(fleet, 'without-it')


def leader(fleet):
    return wait_until(lambda: consensus(fleet).get('leader'), WAIT_SECONDS, 'a leader')


def test_frozen_leader_does_not_answer_after_it_resumes(fleet):
    old = leader(fleet)
    fleet.freeze(old)
    wait_until(lambda: other_leads(fleet, old), WAIT_SECONDS, 'another host leads')
    fleet.unfreeze(old)
    time.sleep(0.05)
    assert not holds_lease(fleet, old)
