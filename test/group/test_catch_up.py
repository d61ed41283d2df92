"""A control host that comes back with an empty disk votes again within the time to catch up.

The links between the hosts are as narrow as those between the regions of a site.
"""

import json
import random

import cbor2
import pytest

from bench.emulator.control_hosts import NAMES, NarrowGroup, make_route
from jackdawsail.consensus.compaction import MIN_LOG_BYTES
from jackdawsail.consensus.storage import SEGMENT_BYTES
from test.consensus.disks import Disk
from test.control.test_raft_replicator import RecordingMachine

CATCH_UP_SECONDS = 4.0
ACK_SECONDS = 7.0  # of steady state


def change(group, version, routes):
    """Commits a document in which each route is like none before."""
    rng = random.Random(version)
    body = {'version': version, 'routes': [make_route(rng) for _ in range(routes)]}
    group.put_document(version, json.dumps(body).encode())


def group_after(changes, routes):
    """Returns a group that has committed versions 1 to ``changes`` of a document."""
    group = NarrowGroup(Disk)
    for version in range(1, changes + 1):
        change(group, version, routes)
    return group


# The whole log was sent to a host with an empty disk, over 40 MB after these changes.
@pytest.mark.parametrize(('changes', 'routes'), [(10, 1500), (190, 110), (190, 810)])
def test_host_with_an_empty_disk_votes_in_time_after_any_number_of_changes(changes, routes):
    group = group_after(changes, routes)
    name = group.follower()
    group.lose_disk(name)
    sent_before = group.bytes_sent_to(name)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()
    limit_bytes = max(MIN_LOG_BYTES, len(group.machines[group.leader()].snapshot()))
    assert group.bytes_sent_to(name) - sent_before < 3 * limit_bytes


# Each entry holds a document, and 200 of them filled the memory and the disk of a control host.
def test_log_and_disk_are_bounded_by_the_size_of_the_state():
    group = group_after(60, 1500)
    limit_bytes = max(MIN_LOG_BYTES, len(group.machines['a'].snapshot()))
    for name in NAMES:
        log = group.core(name).log
        assert log.bytes_between(log.base_index, log.last_index) < 3 * limit_bytes
        assert group.disk_bytes(name) < 4 * limit_bytes + 2 * SEGMENT_BYTES


def test_log_of_a_release_that_did_not_compress_documents_is_read_and_cut():
    group = NarrowGroup(Disk)
    bodies = [bytes([65 + version]) * 300_000 for version in range(3)]
    for version, body in enumerate(bodies, start=1):
        group.propose(cbor2.dumps(['document', version, str(version), body]))
    group.run(1)
    for name in NAMES:
        group.replicators[name].stop()
    group.run(0.5)
    for number, name in enumerate(NAMES, start=5):
        group.start(name, number)
    group.run(4)
    for name in NAMES:
        log = group.core(name).log
        assert group.machines[name].state.document.body == bodies[-1]
        assert log.bytes_between(log.base_index, log.last_index) <= 2 * len(bodies[0])


# The paths below are related to the loss of a second disk: what else may happen to the first one.


def test_host_votes_in_time_though_the_leader_restarts_during_the_transfer():
    group = group_after(30, 1500)
    name, leader = group.follower(), group.leader()
    group.lose_disk(name)
    while group.core(leader).configuration.learners == () and group.leader() == leader:
        group.run(0.02)
    group.replicators[leader].stop()
    group.start(leader, 12)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()


def test_two_hosts_that_are_replaced_one_after_the_other_both_vote_and_keep_the_state():
    group = group_after(30, 1500)
    first = group.follower()
    group.lose_disk(first)
    group.run(CATCH_UP_SECONDS)
    second = next(name for name in NAMES if name not in {first, group.leader()})
    group.lose_disk(second)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()
    group.lose_disk(next(name for name in NAMES if name not in {first, second}))
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()
    assert group.machines[first].state.document.version == 30


@pytest.mark.parametrize('routes', [110, 810])
def test_changes_are_committed_in_time_while_a_replaced_host_catches_up(routes):
    group = group_after(100, routes)
    name = group.follower()
    group.lose_disk(name)
    longest_seconds = 0.0
    for version in range(101, 121):
        started_seconds = group.clock.seconds()
        change(group, version, routes)
        longest_seconds = max(longest_seconds, group.clock.seconds() - started_seconds)
    assert longest_seconds < ACK_SECONDS
    assert group.has_one_vote_each()


def test_host_catches_up_though_the_state_changes_all_the_time():
    group = group_after(30, 3000)
    name = group.follower()
    group.lose_disk(name)
    version = 30
    until_seconds = group.clock.seconds() + CATCH_UP_SECONDS
    while group.clock.seconds() < until_seconds:
        version += 1
        change(group, version, 3000)
    assert group.has_one_vote_each()


def test_change_is_committed_in_time_after_all_hosts_restarted_with_a_large_document():
    group = group_after(40, 5000)
    for name in NAMES:
        group.replicators[name].stop()
    group.run(0.5)
    started_seconds = group.clock.seconds()
    for number, name in enumerate(NAMES, start=5):
        group.start(name, number)
    change(group, 41, 5000)
    assert group.clock.seconds() - started_seconds < ACK_SECONDS
    group.run(1)
    assert {machine.state.document.version for machine in group.machines.values()} == {41}


def test_replaced_host_votes_in_time_though_another_one_restarts_meanwhile():
    group = group_after(30, 1500)
    replaced = group.follower()
    planned = next(name for name in NAMES if name not in {replaced, group.leader()})
    group.lose_disk(replaced)
    group.replicators[planned].stop()
    group.run(0.5)
    group.start(planned, 13)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()


def test_host_with_a_full_disk_keeps_a_bounded_log_and_catches_up_afterwards():
    group = NarrowGroup(Disk)
    change(group, 1, 1500)
    name = group.follower()
    group.files[name].fail_at(0, OSError(28, 'No space left on device'))
    for version in range(2, 61):
        change(group, version, 1500)
    limit_bytes = max(MIN_LOG_BYTES, len(group.machines[group.leader()].snapshot()))
    for each in NAMES:
        log = group.core(each).log
        assert log.bytes_between(log.base_index, log.last_index) < 3 * limit_bytes
    assert 'No space left' in group.replicators[name].status()['halted']
    group.replicators[name].stop()
    group.files[name].operations_left = -1
    group.start(name, 14)
    group.run(CATCH_UP_SECONDS)
    assert group.machines[name].state.document.version == 60


# Where the state grows with each command, as the ledger and the audit trail of our own interface.
@pytest.mark.parametrize('commands', [300, 3000])
def test_host_with_an_empty_disk_gets_about_the_state_where_the_state_grows(commands):
    group = NarrowGroup(Disk, RecordingMachine, snapshot_every_entries=20_000)
    for number in range(commands):
        group.propose(b'%06d' % number * 50)
    name = group.follower()
    group.lose_disk(name)
    sent_before = group.bytes_sent_to(name)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()
    limit_bytes = max(MIN_LOG_BYTES, len(group.machines[name].snapshot()))
    assert group.bytes_sent_to(name) - sent_before < 3 * limit_bytes
    assert group.machines[name].commands == group.machines[group.leader()].commands
