"""What was acknowledged is there after all hosts have lost power at once, and some their disks."""

import random
from itertools import combinations

import pytest

from jackdawsail.consensus import compaction, storage
from test.consensus.power_loss import (
    HOSTS,
    MIN_LOG_BYTES,
    SEGMENT_BYTES,
    TIMING,
    TOLERATED_DISKS,
    PowerLossCluster,
)

NAMES = [f'h{number}' for number in range(HOSTS)]
CATCH_UP_SECONDS = 6.0
STABLE_SECONDS = 4.0  # between the last fault of the core and a loss of all power
SMALL_LOG = pytest.mark.usefixtures('small_log')


@pytest.fixture
def small_log(monkeypatch):
    monkeypatch.setattr(compaction, 'MIN_LOG_BYTES', MIN_LOG_BYTES)
    monkeypatch.setattr(storage, 'SEGMENT_BYTES', SEGMENT_BYTES)


class Walk:
    """Random changes and faults, derived from a seed."""

    def __init__(self, seed):
        self.cluster = PowerLossCluster(seed)
        self.rng = random.Random(seed)
        self.cluster.run(4)

    def run(self, actions):
        weights = [weight for weight, _name in ACTIONS]
        for number in range(actions):
            [(_weight, action)] = self.rng.choices(ACTIONS, weights)
            action(self)
            if number % 10 == 0:
                self.cluster.check_logs()
        assert self.cluster.settle(), 'the group does not recover after all faults have ended'
        self.cluster.check_logs()
        self.cluster.check_acknowledged()
        self.cluster.check_reads()

    def wait(self):
        self.cluster.run(self.rng.choice([0.02, 0.1, 0.5, 1.5]))

    def wait_for_repair(self):
        self.cluster.heal()
        for name in NAMES:
            self.cluster.thaw(name)
            self.restart(name)
        self.cluster.run(CATCH_UP_SECONDS)

    def propose(self):
        self.cluster.propose(self.cluster.leader() or NAMES[0], self.rng.randint(1, 5))
        self.cluster.run(self.rng.choice([0, 0.02, 0.04]))

    def race(self):
        """Two changes at once, at the leader and at another host that thinks that it leads."""
        for name in NAMES:
            self.cluster.propose(name, 1)

    def crash(self):
        self.cluster.crash(self._some_host(), self.rng.random() < 0.5)

    def crash_in_write(self):
        self.cluster.crash_at(self._some_host(), self.rng.randint(0, 7))

    def freeze(self):
        self.cluster.freeze(self._some_host())

    def thaw(self):
        for name in NAMES:
            self.cluster.thaw(name)

    def restart(self, name=''):
        name = name or self.rng.choice(NAMES)
        host = self.cluster.members[name].host
        if host is not None and host.halt_reason:
            self.cluster.crash(name, power=False)
        self.cluster.boot(name)

    def swap_disk(self):
        self.cluster.swap_disk(self.rng.choice(NAMES))

    def isolate(self):
        self.cluster.isolate(self.rng.sample(NAMES, self.rng.randint(1, 2)))

    def isolate_leader(self):
        self.cluster.isolate([self._some_host()])

    def cut_one_way(self):
        self.cluster.cut(self._some_host(), self.rng.choice(NAMES))

    def heal(self):
        self.cluster.heal()

    def slow_network(self):
        self.cluster.loss = self.cluster.duplication = self.rng.choice([0, 0.1])
        self.cluster.max_delay_seconds = self.rng.choice([0.01, 0.1, 0.5])

    def lose_power(self):
        lost = self.rng.sample(NAMES, self.rng.randint(0, TOLERATED_DISKS))
        if lost and self.cluster.leader() and self.rng.random() < 0.5:
            lost = list({*lost[1:], self.cluster.leader()})
        self.cluster.lose_power(lost, keep_messages=self.rng.random() < 0.2)
        self.cluster.run(self.rng.choice([0.1, 0.5]))
        if self.rng.random() < 0.7:
            self.cluster.boot_all()

    def lose_power_in_write(self):
        """Some hosts lose power within a write, the others while the messages of it are under way."""
        for name in self.rng.sample(NAMES, self.rng.randint(1, HOSTS)):
            self.cluster.crash_at(name, self.rng.randint(0, 2))
        self.propose()
        self.cluster.run(self.rng.choice([0.02, 0.04, 0.06]))
        self.lose_power()

    def restart_others(self):
        """The other hosts restart at once while the leader is cut off and cannot know of it."""
        leader = self.cluster.leader() or NAMES[0]
        self.cluster.isolate([leader])
        for name in NAMES:
            if name != leader:
                self.cluster.crash(name, power=False)
                self.cluster.boot(name)
        self.cluster.run(self.rng.uniform(0, 2))
        self.race()
        self.cluster.run(self.rng.choice([0.02, 0.5]))

    def _some_host(self):
        return self.rng.choice([self.cluster.leader() or NAMES[0], self.rng.choice(NAMES)])


ACTIONS = (
    (40, Walk.wait),
    (40, Walk.propose),
    (10, Walk.race),
    (10, Walk.wait_for_repair),
    (3, Walk.crash),
    (3, Walk.crash_in_write),
    (3, Walk.freeze),
    (10, Walk.thaw),
    (20, Walk.restart),
    (3, Walk.swap_disk),
    (1, Walk.isolate),
    (2, Walk.isolate_leader),
    (2, Walk.cut_one_way),
    (15, Walk.heal),
    (2, Walk.slow_network),
    (2, Walk.restart_others),
    (4, Walk.lose_power),
    (4, Walk.lose_power_in_write),
)


@SMALL_LOG
@pytest.mark.parametrize('seed', range(10))
def test_short_random_walk(seed):
    for part in range(10):
        Walk(10 * seed + part).run(100)


@SMALL_LOG
@pytest.mark.slow
@pytest.mark.parametrize('seed', range(40))
def test_long_random_walk(seed):
    for part in range(50):
        Walk(1000 * (seed + 1) + part).run(200)


def disturb(cluster, rng, lost_names, seconds):
    """Disturbs one host, mostly the leader, at a random time; changes are made all the while.

    Beside two lost disks it is one of their hosts, as no more than two may be lost at once.
    """
    name = rng.choice(lost_names)
    if len(lost_names) < TOLERATED_DISKS and rng.random() < 0.7:
        name = cluster.leader() or name
    begin, end = rng.choice(
        (
            (lambda: cluster.crash(name, rng.random() < 0.5), lambda: cluster.boot(name)),
            (lambda: cluster.isolate([name]), cluster.heal),
            (lambda: cluster.freeze(name), lambda: cluster.thaw(name)),
        )
    )
    wait_seconds = rng.uniform(0, seconds)
    for action, run_seconds in ((None, wait_seconds), (begin, seconds - wait_seconds), (end, 0)):
        if action is not None:
            action()
        cluster.propose(cluster.leader() or name, 3)
        cluster.run(run_seconds)


@SMALL_LOG
@pytest.mark.parametrize('seed', range(60))
def test_any_two_disks_may_be_lost_once_the_hosts_have_caught_up(seed):
    rng = random.Random(seed)
    cluster = PowerLossCluster(seed)
    cluster.run(4)
    cluster.propose(cluster.leader(), 20)
    lost_names = rng.sample(NAMES, rng.randint(1, TOLERATED_DISKS))
    if rng.random() < 0.5:
        lost_names = list({*lost_names[1:], cluster.leader()})
    assert cluster.lose_disks(lost_names)
    cluster.run(rng.choice([0.5, 1.0, 3.0]))
    cluster.boot_all()
    disturb(cluster, rng, lost_names, CATCH_UP_SECONDS - STABLE_SECONDS)
    cluster.run(STABLE_SECONDS)
    for lost_again in combinations(NAMES, TOLERATED_DISKS):
        assert cluster.bears_loss_of(lost_again)
    assert cluster.lose_power(rng.sample(NAMES, TOLERATED_DISKS), keep_messages=False)
    cluster.boot_all()
    assert cluster.settle()
    cluster.check_acknowledged()
    cluster.check_reads()


# The identity of the lost disk stayed a voter, and the host without power was removed in its place.
@SMALL_LOG
@pytest.mark.parametrize('seed', range(20))
def test_host_without_power_stays_a_voter_while_a_lost_disk_is_replaced(seed):
    cluster = PowerLossCluster(seed)
    cluster.run(4)
    cluster.propose(cluster.leader(), 20)
    off, lost, *others = [name for name in NAMES if name != cluster.leader()]
    cluster.run(0.5)
    cluster.crash(off)
    cluster.run(TIMING.replace_voter_after_seconds + 0.5)
    cluster.replace_disk(lost)
    cluster.run(1)
    cluster.boot(lost)
    cluster.run(CATCH_UP_SECONDS)
    assert sorted(cluster.voters()) == NAMES
    assert cluster.lose_power(others, keep_messages=False)
    cluster.boot_all()
    assert cluster.settle()
    cluster.check_acknowledged()
    cluster.check_reads()
