"""A control host that comes back with an empty disk votes again within the time to catch up.

The links between the hosts are as narrow as those between the regions of a site.
"""

import json
import random

import cbor2
import pytest

from jackdawsail.consensus.compaction import MIN_LOG_BYTES
from jackdawsail.consensus.storage import SEGMENT_BYTES
from jackdawsail.control.raft_replicator import RaftReplicator
from jackdawsail.control.replicator import make_host, open_folder
from jackdawsail.group.consensus_replica import (
    ELECTION_TIMEOUT_SECONDS,
    HEARTBEAT_SECONDS,
    REPLACE_VOTER_SECONDS,
    SNAPSHOT_EVERY_ENTRIES,
)
from jackdawsail.process import ProcessContext, make_identity
from jackdawsail.settings.models import ControlSettings, HostSettings, Settings, VoterSettings
from jackdawsail.site.machine import SiteMachine, put_document
from jackdawsail.site.stored_document import store_document
from jackdawsail.wire.codec import encode
from jackdawsail.wire.identity import Role
from test.consensus.disks import Disk
from test.control.test_raft_replicator import NAMES, Group, MemoryLinks

LINK_BYTES_PER_SECOND = 10.5e6 / 8  # shared by all that a host sends
LINK_DELAY_SECONDS = 0.025
DOWN_SECONDS = 3.0
CATCH_UP_SECONDS = 4.0
ACK_SECONDS = 7.0  # of steady state


class NarrowLinks(MemoryLinks):
    """Delivers the messages of one host one after the other at the rate of its link."""

    def __init__(self, name, group):
        super().__init__(name, group)
        self.free_seconds = 0.0
        self.sent_bytes = dict.fromkeys(NAMES, 0)

    def send_to(self, host, message):
        if not self.linked(host):
            return False
        clock = self.group.clock
        size_bytes = len(encode(message))
        self.sent_bytes[host] += size_bytes
        start_seconds = max(clock.seconds(), self.free_seconds)
        self.free_seconds = start_seconds + size_bytes / LINK_BYTES_PER_SECOND
        arrives_seconds = self.free_seconds + LINK_DELAY_SECONDS
        clock.callLater(arrives_seconds - clock.seconds(), self.deliver, host, message)
        return True


class NarrowGroup(Group):
    """Control hosts of a site with its time limits, over narrow links."""

    def __init__(self):
        super().__init__(SNAPSHOT_EVERY_ENTRIES)
        self.run(4)

    def start(self, name, number):
        control = ControlSettings(
            data_folder='/nowhere',
            snapshot_every_entries=self.snapshot_every,
            election_timeout_seconds=ELECTION_TIMEOUT_SECONDS,
            raft_heartbeat_seconds=HEARTBEAT_SECONDS,
            replace_voter_after_seconds=REPLACE_VOTER_SECONDS,
            voters=[VoterSettings(name=voter, address='127.0.0.1:1') for voter in NAMES],
        )
        host = HostSettings(name=name, zone='z', region='r')
        settings = Settings(deployment='test', host=host, control=control)
        identity = make_identity(Role.control, host, number)
        context = ProcessContext(self.clock, settings, identity, b'')
        self.links[name] = NarrowLinks(name, self)
        self.machines[name] = SiteMachine()
        opened = open_folder(self.disks[name], 'memory')
        consensus_host = make_host(context, opened, self.machines[name], self.links[name].send)
        self.replicators[name] = RaftReplicator(name, control, consensus_host, self.links[name])
        self.replicators[name].start()

    def change(self, version, routes):
        """Commits a document in which each route is like none before."""
        rng = random.Random(version)
        body = json.dumps({'version': version, 'routes': [_route(rng) for _ in range(routes)]})
        document = store_document(version, str(version), body.encode())
        outcomes = []
        self.replicators[self.leader()].propose(put_document(document)).addCallback(
            outcomes.append
        )
        while not outcomes:
            self.run(0.02)
        assert outcomes[0].unwrap()

    def lose_disk(self, name):
        """Takes a host down and starts it again with an empty disk."""
        self.replicators[name].stop()
        self.run(DOWN_SECONDS)
        self.disks[name] = Disk()
        self.start(name, 9)

    def has_one_vote_each(self):
        voters = self.replicators[self.leader()].status()['voters']
        current = {replicator.status()['node'] for replicator in self.replicators.values()}
        return set(voters) == current

    def bytes_sent_to(self, name):
        return sum(links.sent_bytes[name] for links in self.links.values())

    def disk_bytes(self, name):
        return sum(len(inode.current) for inode in self.disks[name].content.values())

    def core(self, name):
        return self.replicators[name].host.node.core


def _route(rng):
    name = f'r-{rng.getrandbits(40):x}'
    return {
        'name': name,
        'host': f'{name}.example',
        'path_prefix': f'/{name}/',
        'kind': 'idempotent',
        'service': 'bookings',
        'timeout_ms': rng.choice([900, 2500, 6000]),
        'target_latency_ms': rng.randrange(100, 900),
        'max_attempts': 2,
        'priority': rng.randrange(4),
    }


# The whole log was sent to a host with an empty disk, over 40 MB after these changes.
@pytest.mark.parametrize(('changes', 'routes'), [(10, 1500), (190, 110), (190, 810)])
def test_host_with_an_empty_disk_votes_in_time_after_any_number_of_changes(changes, routes):
    group = NarrowGroup()
    for version in range(1, changes + 1):
        group.change(version, routes)
    name = group.follower()
    group.lose_disk(name)
    sent_before = group.bytes_sent_to(name)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()
    limit_bytes = max(MIN_LOG_BYTES, len(group.machines[group.leader()].snapshot()))
    assert group.bytes_sent_to(name) - sent_before < 3 * limit_bytes


# Each entry holds a document, and 200 of them filled the memory and the disk of a control host.
def test_log_and_disk_are_bounded_by_the_size_of_the_state():
    group = NarrowGroup()
    for version in range(1, 61):
        group.change(version, 1500)
    limit_bytes = max(MIN_LOG_BYTES, len(group.machines['a'].snapshot()))
    for name in NAMES:
        log = group.core(name).log
        assert log.bytes_between(log.base_index, log.last_index) < 3 * limit_bytes
        assert group.disk_bytes(name) < 4 * limit_bytes + 2 * SEGMENT_BYTES


def put_plain(group, version, body):
    """Commits a document by the command of releases that did not compress documents."""
    outcomes = []
    command = cbor2.dumps(['document', version, str(version), body])
    group.replicators[group.leader()].propose(command).addCallback(outcomes.append)
    group.run(1)
    assert outcomes[0].unwrap()


def test_log_of_a_release_that_did_not_compress_documents_is_read_and_cut():
    group = NarrowGroup()
    bodies = [bytes([65 + version]) * 300_000 for version in range(3)]
    for version, body in enumerate(bodies, start=1):
        put_plain(group, version, body)
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
    group = NarrowGroup()
    for version in range(1, 31):
        group.change(version, 1500)
    name, leader = group.follower(), group.leader()
    group.lose_disk(name)
    while group.core(leader).configuration.learners == () and group.leader() == leader:
        group.run(0.02)
    group.replicators[leader].stop()
    group.start(leader, 12)
    group.run(CATCH_UP_SECONDS)
    assert group.has_one_vote_each()


def test_two_hosts_that_are_replaced_one_after_the_other_both_vote_and_keep_the_state():
    group = NarrowGroup()
    for version in range(1, 31):
        group.change(version, 1500)
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
    group = NarrowGroup()
    for version in range(1, 101):
        group.change(version, routes)
    name = group.follower()
    group.lose_disk(name)
    longest_seconds = 0.0
    for version in range(101, 121):
        started_seconds = group.clock.seconds()
        group.change(version, routes)
        longest_seconds = max(longest_seconds, group.clock.seconds() - started_seconds)
    assert longest_seconds < ACK_SECONDS
    assert group.has_one_vote_each()


def test_host_catches_up_though_the_state_changes_all_the_time():
    group = NarrowGroup()
    for version in range(1, 31):
        group.change(version, 3000)
    name = group.follower()
    group.lose_disk(name)
    version = 30
    until_seconds = group.clock.seconds() + CATCH_UP_SECONDS
    while group.clock.seconds() < until_seconds:
        version += 1
        group.change(version, 3000)
    assert group.has_one_vote_each()
