"""Replicators over in-memory links: proposals on any host, failures, snapshots, restarts."""

import pytest
from returns.result import Failure, Success
from twisted.internet.task import Clock

from jackdawsail.control.raft_messages import RaftHello
from jackdawsail.control.raft_replicator import RaftReplicator
from jackdawsail.control.replicator import make_host, open_folder
from jackdawsail.process import ProcessContext, make_identity
from jackdawsail.settings.models import ControlSettings, HostSettings, Settings, VoterSettings
from jackdawsail.wire.identity import Role
from test.consensus.disks import Disk

NAMES = ['a', 'b', 'c']


class RecordingMachine:
    """A state machine that records its commands; the reply is the number of commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self):
        return b'|'.join(self.commands)

    def restore(self, snapshot):
        self.commands = snapshot.split(b'|')


class MemoryLinks:
    """Replaces RaftLinks: delivers messages after 1 ms unless either host is isolated."""

    def __init__(self, name, group):
        self.name, self.group, self.handlers = name, group, None

    def start(self, handlers):
        self.handlers = handlers
        self.send_hellos()

    def stop(self):
        self.handlers = None

    def send(self, message):
        self.send_to(message.target.partition('@')[0], message)

    def send_to(self, host, message):
        if not self.linked(host):
            return False
        self.group.clock.callLater(0.001, self.deliver, host, message)
        return True

    def deliver(self, host, message):
        target = self.group.links[host].handlers
        if target is None or not self.linked(host):
            return
        if isinstance(message, RaftHello):
            target.on_hello(self.name, message)
        elif type(message) in target.forward_handlers:
            target.forward_handlers[type(message)](self.name, message)
        else:
            target.on_message(message)

    def linked(self, host):
        return {self.name, host}.isdisjoint(self.group.isolated)

    def send_hellos(self):
        for host in self.hellos():
            self.send_to(host, self.handlers.make_hello())

    def hellos(self):
        return {
            name: links.handlers.make_hello()
            for name, links in self.group.links.items()
            if name != self.name and links.handlers is not None and self.linked(name)
        }


class Group:
    """Three replicators that share one clock."""

    def __init__(self, snapshot_every=1000):
        self.clock = Clock()
        self.isolated = set()
        self.links, self.disks, self.machines, self.replicators = {}, {}, {}, {}
        self.snapshot_every = snapshot_every
        for number, name in enumerate(NAMES):
            self.disks[name] = Disk()
            self.start(name, number)

    def start(self, name, number):
        control = ControlSettings(
            data_folder='/nowhere',
            snapshot_every_entries=self.snapshot_every,
            voters=[VoterSettings(name=voter, address='127.0.0.1:1') for voter in NAMES],
        )
        host = HostSettings(name=name, zone='z', region='r')
        settings = Settings(deployment='test', host=host, control=control)
        identity = make_identity(Role.control, host, number)
        context = ProcessContext(self.clock, settings, identity, b'')
        self.links[name] = MemoryLinks(name, self)
        self.machines[name] = RecordingMachine()
        opened = open_folder(self.disks[name], 'memory')
        consensus_host = make_host(context, opened, self.machines[name], self.links[name].send)
        self.replicators[name] = RaftReplicator(name, control, consensus_host, self.links[name])
        self.replicators[name].start()

    def run(self, seconds):
        for _ in range(round(seconds * 100)):
            self.clock.advance(0.01)

    def leader(self):
        return next(
            name for name, replicator in self.replicators.items() if replicator.is_leader()
        )

    def follower(self):
        return next(name for name in NAMES if name != self.leader())


@pytest.fixture
def group():
    started = Group()
    started.run(4)
    return started


def outcome_of(answer):
    outcomes = []
    answer.addCallback(outcomes.append)
    return outcomes


def test_group_is_bootstrapped_once_and_every_host_applies(group):
    answer = outcome_of(group.replicators[group.leader()].propose(b'one'))
    group.run(0.5)
    assert answer == [Success(1)]
    assert [machine.commands for machine in group.machines.values()] == [[b'one']] * 3


def test_follower_forwards_and_answers_from_its_own_state(group):
    name = group.follower()
    answer = outcome_of(group.replicators[name].propose(b'one'))
    group.run(0.5)
    assert answer == [Success(1)]
    assert group.machines[name].commands == [b'one']


def test_partitioned_leader_reports_a_command_as_possibly_applied(group):
    old = group.leader()
    group.isolated = {old}
    answer = outcome_of(group.replicators[old].propose(b'lost'))
    group.run(8)
    assert isinstance(answer[0], Failure)
    assert answer[0].failure().maybe_applied
    refused = outcome_of(group.replicators[old].propose(b'refused'))
    assert not refused[0].failure().maybe_applied
    group.isolated = set()
    group.run(4)
    assert not any(machine.commands for machine in group.machines.values())


def test_proposal_forwarded_to_a_lost_leader_fails_as_possibly_applied(group):
    follower, leader = group.follower(), group.leader()
    answer = outcome_of(group.replicators[follower].propose(b'one'))
    group.links[follower].handlers.on_peer_lost(leader)
    assert answer[0].failure().maybe_applied
    group.run(0.5)
    assert group.machines[follower].commands == [b'one']


def test_too_large_command_is_refused(group):
    large = bytes(5 * 1024 * 1024)
    answer = outcome_of(group.replicators[group.leader()].propose(large))
    assert not answer[0].failure().maybe_applied


def test_stopping_leader_transfers_leadership_immediately(group):
    old = group.leader()
    group.replicators[old].stop()
    assert not group.replicators[old].is_leader()
    group.run(0.3)
    assert group.leader() != old


def test_restart_restores_the_snapshot_and_replays_the_rest():
    group = Group(snapshot_every=10)
    group.run(4)
    for number in range(25):
        group.replicators[group.leader()].propose(b'command %d' % number)
        group.run(0.05)
    name = group.follower()
    group.replicators[name].stop()
    group.run(0.2)
    group.start(name, 9)
    assert len(group.machines[name].commands) >= 10
    group.run(2)
    assert group.machines[name].commands == group.machines[group.leader()].commands
    assert group.replicators[name].status()['snapshot_index'] >= 20


def test_host_with_an_empty_disk_bootstraps_no_second_group(group):
    group.replicators['a'].stop()
    group.disks['a'] = Disk()
    group.start('a', 9)
    group.run(3)
    voters = group.replicators[group.leader()].status()['voters']
    assert len({voter.partition('@')[0] for voter in voters}) == 3
    assert group.replicators['a'].status()['voters'] == voters


def test_full_disk_halts_the_host_and_the_others_continue(group):
    old = group.leader()
    group.disks[old].fail_at(0, OSError(28, 'No space left on device'))
    answer = outcome_of(group.replicators[old].propose(b'one'))
    group.run(0.1)
    assert answer[0].failure().maybe_applied
    assert 'No space left' in group.replicators[old].status()['halted']
    group.run(4)
    again = outcome_of(group.replicators[group.leader()].propose(b'two'))
    group.run(0.5)
    assert isinstance(again[0], Success)


def terms_of_an_election(seed):
    """Two of three hosts start in the same moment; returns how many terms they need to elect one."""
    group = Group()
    group.run(4)
    last_term = group.replicators['a'].term()
    for replicator in group.replicators.values():
        replicator.stop()
    group.run(0.5)
    for name in ('b', 'c'):
        group.start(name, f'{name} {seed}')
    while not any(replicator.is_leader() for replicator in group.replicators.values()):
        group.clock.advance(0.001)
    return group.replicators['b'].term() - last_term


# Their timers ticked in step, so that both stood for election at the same tick in one of twelve terms.
def test_hosts_that_start_in_the_same_moment_rarely_split_their_votes():
    split = [seed for seed in range(100) if terms_of_an_election(seed) > 1]
    assert len(split) <= 3
