"""Random fault schedules: Raft's safety properties hold and the group recovers."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from test.consensus.cluster import Cluster
from test.consensus.disks import Disk

HOSTS = [f'h{number}' for number in range(5)]
host_names = st.sampled_from(HOSTS)


class ClusterMachine(RuleBasedStateMachine):
    """Hypothesis chooses faults and commands; the cluster checks itself after every step."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster(seed=11)
        self.cluster.run(3)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.5, 4.0]))
    def run(self, seconds):
        self.cluster.run(seconds)

    @rule(name=host_names, count=st.integers(1, 9))
    def propose(self, name, count):
        self.cluster.propose(self.cluster.leader() or name, count)

    @rule(name=host_names, power=st.booleans())
    def crash(self, name, power):
        self.cluster.crash(name, power)

    @rule(name=host_names, operation=st.integers(0, 7))
    def crash_in_write(self, name, operation):
        self.cluster.crash_at(self.cluster.leader() or name, operation)

    @rule(name=host_names, operation=st.integers(0, 7))
    def full_disk(self, name, operation):
        self.cluster.fill_disk(name, operation)

    @rule(name=host_names)
    def restart(self, name):
        member = self.cluster.members[name]
        if member.host is not None and member.host.halt_reason:
            self.cluster.crash(name, power=False)
        self.cluster.boot(name)

    @rule(name=host_names)
    def swap_disk(self, name):
        self.cluster.swap_disk(name)

    @rule(source=host_names, receiver=host_names)
    def cut_one_way(self, source, receiver):
        self.cluster.cut(source, receiver)

    @rule(name=host_names)
    def cut_from_leader(self, name):
        leader = self.cluster.leader()
        self.cluster.cut(leader, name)
        self.cluster.cut(name, leader)

    @rule(names=st.sets(host_names, min_size=1, max_size=2))
    def isolate(self, names):
        self.cluster.isolate(names)

    @rule()
    def isolate_leader(self):
        self.cluster.isolate([self.cluster.leader() or 'h0'])

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(loss=st.sampled_from([0.05, 0.3]), delay=st.sampled_from([0.05, 0.6]))
    def bad_network(self, loss, delay):
        self.cluster.loss = self.cluster.duplication = loss
        self.cluster.max_delay_seconds = delay

    @rule(voters=st.sampled_from([0, 3, 4, 5]), remove=st.sampled_from(['', *HOSTS]))
    def change(self, voters, remove):
        self.cluster.change(self.cluster.leader() or 'h0', remove, '', voters)

    @rule(name=host_names)
    def unretire(self, name):
        self.cluster.change(self.cluster.leader() or 'h0', add_host=name)

    @invariant()
    def logs_match(self):
        self.cluster.check_logs()
        self.cluster.check_acknowledged()

    def teardown(self):
        assert self.cluster.settle(), 'the group does not recover after all faults have ended'
        self.cluster.check_logs()
        self.cluster.check_acknowledged()


TestCluster = ClusterMachine.TestCase
TestCluster.settings = settings(
    max_examples=25, stateful_step_count=25, derandomize=True, deadline=None
)


def lose_a_voter_and_the_learner_that_is_promoted(cluster, learner):
    """Returns which of the two disks could be lost, and whether the group recovered."""
    cluster.run(3)
    lost = [cluster.swap_disk('h1'), cluster.swap_disk(learner)]
    cluster.change(cluster.leader(), remove_host='h0')
    return lost, cluster.settle()


def test_five_voters_recover_when_a_voter_and_the_learner_that_is_promoted_lose_their_disks():
    cluster = Cluster(seed=11, hosts=7, voters=5)
    assert lose_a_voter_and_the_learner_that_is_promoted(cluster, 'h5') == ([True, True], True)


def test_with_three_voters_the_disk_of_a_learner_counts_as_the_second_that_is_lost():
    cluster = Cluster(seed=11)
    assert lose_a_voter_and_the_learner_that_is_promoted(cluster, 'h3') == ([True, False], True)


ACTIONS = (
    (30, lambda machine, rng: machine.run(rng.choice([0.1, 0.5, 1.5, 4.0]))),
    (30, lambda machine, rng: machine.propose(rng.choice(HOSTS), rng.randint(1, 9))),
    (4, lambda machine, rng: machine.crash(rng.choice(HOSTS), rng.random() < 0.5)),
    (4, lambda machine, rng: machine.crash_in_write(rng.choice(HOSTS), rng.randint(0, 7))),
    (1, lambda machine, rng: machine.full_disk(rng.choice(HOSTS), rng.randint(0, 7))),
    (12, lambda machine, rng: machine.restart(rng.choice(HOSTS))),
    (2, lambda machine, rng: machine.swap_disk(rng.choice(HOSTS))),
    (4, lambda machine, rng: machine.cut_one_way(rng.choice(HOSTS), rng.choice(HOSTS))),
    (3, lambda machine, rng: machine.isolate(set(rng.sample(HOSTS, rng.randint(1, 2))))),
    (3, lambda machine, rng: machine.isolate_leader()),
    (8, lambda machine, rng: machine.cut_from_leader(rng.choice(HOSTS))),
    (8, lambda machine, rng: machine.heal()),
    (
        3,
        lambda machine, rng: machine.bad_network(rng.choice([0.05, 0.3]), rng.choice([0.05, 0.6])),
    ),
    (3, lambda machine, rng: machine.change(rng.choice([0, 3, 4, 5]), rng.choice(['', *HOSTS]))),
    (6, lambda machine, rng: machine.unretire(rng.choice(HOSTS))),
)


def random_walk(seed, actions):
    """Runs weighted random actions derived from a seed; returns the machine after its final checks."""
    rng = random.Random(seed)
    machine = ClusterMachine()
    machine.cluster.rng.seed(seed)
    weights = [weight for weight, _action in ACTIONS]
    for number in range(actions):
        _weight, action = rng.choices(ACTIONS, weights)[0]
        action(machine, rng)
        if number % 10 == 0:
            machine.logs_match()
    machine.teardown()
    return machine


def test_group_recovers_when_all_lose_power_and_a_voter_and_a_learner_lose_their_disks():
    cluster = Cluster(seed=11, hosts=4, voters=3)
    cluster.run(3)
    learner = next(name for name in cluster.members if name not in cluster.voters())
    voter = next(name for name in cluster.voters() if name != cluster.leader())
    for name in cluster.members:
        cluster.crash(name)
    for name in (voter, learner):
        cluster.members[name].disk = Disk()
        cluster.members[name].disk_number += 1
    for name in cluster.members:
        cluster.boot(name)
    while not cluster.leader():
        cluster.run(0.1)
    cluster.change(cluster.leader(), target_voters=4)
    assert cluster.settle()
    cluster.check_acknowledged()


@pytest.mark.slow
@pytest.mark.parametrize('seed', range(40))
def test_long_random_walk(seed):
    for part in range(25):
        random_walk(1000 * seed + part, 200)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_short_random_walk(seed):
    random_walk(seed, 120)
