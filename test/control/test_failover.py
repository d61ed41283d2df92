"""Three control processes: concurrent changes, and a leader that crashes during a zone-out.

After the crash the resent command must get its first answer, and every entry must reach the
latest revision.
"""

import threading

import pytest

from bench.harness.fleet import running_fleet
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment
from bench.harness.waiting import wait_until

COMMANDS = '/v1/commands'
pytestmark = pytest.mark.slow


@pytest.fixture(scope='module')
def fleet():
    with running_fleet(Deployment(engines_per_zone=0, services=2, voters=3)) as started:
        wait_until(lambda: started.wait_leader()['revision'], 20, 'the seeded state')
        yield started


def leader(fleet):
    status = fleet.wait_leader()
    names = [
        name for name in fleet.names(ProcessKind.control) if fleet.children[name].is_running()
    ]
    return next(name for name in names if name == status['consensus']['leader'])


def send(fleet, request_id, kind, expected=None, **fields):
    content = {'request_id': request_id, 'expected_revision': expected, 'kind': kind, **fields}

    def answered():
        reply = fleet.admin('POST', COMMANDS, content)
        return reply if reply.status not in (0, 421, 503) else None

    return wait_until(answered, 30, f'an answer to {kind}')


def zone(fleet, name):
    return fleet.admin('GET', f'/v1/zones/{name}').content


def test_one_of_two_concurrent_changes_at_one_revision_is_refused(fleet):
    revision = fleet.wait_leader()['revision']
    replies = []

    def change(weight):
        fields = {'name': 'studio-one', 'weight': weight}
        replies.append(send(fleet, f'race-{weight}', 'customer-put', revision, **fields))

    threads = [threading.Thread(target=change, args=(weight,)) for weight in (2, 3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(reply.status for reply in replies) == [200, 409]
    refused = next(reply for reply in replies if reply.status == 409)
    assert refused.content['differences'][0]['to_revision'] == revision + 1


def test_zone_out_completes_although_the_leader_crashes(fleet):
    serving = [name for name in ('zone-a', 'zone-b') if fleet.names(ProcessKind.agent, name)]
    leaving = serving[0]
    first = send(fleet, 'out-1', 'zone-out', name=leaving)
    assert first.status == 200
    dead = leader(fleet)
    fleet.kill(dead)
    again = send(fleet, 'out-1', 'zone-out', name=leaving)
    assert (again.status, again.content) == (200, first.content)
    wait_until(lambda: zone(fleet, leaving)['complete'], 30, 'the zone is out')
    assert zone(fleet, leaving)['running'] == 0
    assert send(fleet, 'in-1', 'zone-in', name=leaving).status == 200
    fleet.restart(dead)
    status = wait_until(
        lambda: _if_up_to_date(fleet.admin('GET', '/v1/status')), 30, 'every entry in force'
    )
    assert status['revision'] == again.content['revision'] + 1


def _if_up_to_date(reply):
    if reply.status != 200 or len(reply.content['entries']) != 3:
        return None
    return None if reply.content['entries_lacking'] else reply.content
