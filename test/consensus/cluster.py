"""A simulated group of consensus hosts that checks the safety properties of Raft.

Clocks, links and disks are simulated, and all randomness comes from one seed.
"""

import contextlib
import heapq
import random

from returns.result import Success

from jackdawsail.consensus.configuration import host_of, node_id
from jackdawsail.consensus.core import Role, Timing
from jackdawsail.consensus.effects import SaveEntries, SaveVote
from jackdawsail.consensus.membership import MemberChange
from jackdawsail.consensus.node import (
    ChangeMembers,
    NodeAnnounced,
    Tick,
    bootstrap_state,
    make_node,
)
from jackdawsail.consensus.recovery import open_storage
from jackdawsail.control.consensus_host import ConsensusHost
from test.consensus.disks import Crash, Disk
from test.consensus.machines import (
    CheckedMachine,
    DigestMachine,
    EveryEntries,
    LocalClock,
    Member,
)

STEP_SECONDS = 0.02
MAX_CLOCK_RATE_ERROR = 0.05
TIMING = Timing(replace_voter_after_seconds=6.0, piece_bytes=48, batch_bytes=200)
SAVE_COMMIT_PROBABILITY = 0.2


class Cluster:
    """Runs simulated members and checks the invariants of Raft after every step."""

    def __init__(self, seed, hosts=5, voters=3, timing=TIMING, compaction=None):
        self.timing = timing
        self.compaction = compaction or EveryEntries()
        self.rng = random.Random(seed)
        self.now_seconds = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_seconds = 0.01
        self.cuts = set()
        self.members = {}
        self.acknowledged = []
        self.acknowledged_index = 0
        self.proposed_count = 0
        self.steps = 0
        self._queue = []
        self._message_number = 0
        self._next_tick_seconds = 0.0
        self._committed = {}
        self._states = {0: b''}
        self._leaders = {}
        for number in range(hosts):
            self._add(f'h{number}', number)
        self._bootstrap([f'h{number}' for number in range(voters)])

    # Faults and commands.

    def boot(self, name):
        member = self.members[name]
        if member.host is not None:
            return
        opened = open_storage(member.disk, f'd{member.disk_number}').unwrap()
        member.machine = DigestMachine()
        snapshot = opened.durable.snapshot
        node = make_node(
            node_id(name, opened.disk_id),
            self.timing,
            self.rng,
            opened.durable,
            member.clock.seconds(),
        )
        machine = CheckedMachine(member, self)
        member.host = ConsensusHost(member.clock, node, opened.storage, machine, self._send)
        member.host.restore()
        self._check_committed(member.host.node.core, 0, member.host.applied_index)
        self._check_snapshot(snapshot)

    def crash(self, name, power=True):
        member = self.members[name]
        member.host = None
        member.frozen = False
        member.backlog.clear()
        if power:
            member.disk.lose_power(self.rng)
        else:
            member.disk.kill_process()

    def crash_at(self, name, operation):
        if self.members[name].host is not None:
            self.members[name].disk.fail_at(operation, Crash())

    def fill_disk(self, name, operation):
        if self.members[name].host is not None:
            self.members[name].disk.fail_at(operation, OSError(28, 'No space left on device'))

    def swap_disk(self, name):
        """Swaps a disk for an empty one, unless committed data could be lost with it."""
        if not self._can_lose_disk(name):
            return False
        member = self.members[name]
        member.host = None
        member.disk = Disk()
        member.disk_number += 1
        self.boot(name)
        return True

    def cut(self, source, target):
        self.cuts.add((source, target))

    def isolate(self, names):
        inside = set(names)
        for a in inside:
            for b in self.members.keys() - inside:
                self.cuts |= {(a, b), (b, a)}

    def heal(self):
        self.cuts.clear()
        self.loss = self.duplication = 0.0
        self.max_delay_seconds = 0.01

    def propose(self, name, count=1):
        member = self.members[name]
        if member.host is None or member.host.halt_reason or member.frozen:
            return
        for _ in range(count):
            self.proposed_count += 1
            command = self.make_command(self.proposed_count)
            ticket, answer = member.host.proposals.open(member.clock.seconds())
            answer.addCallback(self._record_answer, member.host)
            member.host.submit_command(ticket, command)
        self._run(member)

    def change(self, name, remove_host='', add_host='', target_voters=0):
        member = self.members[name]
        if member.host is not None and not member.host.halt_reason and not member.frozen:
            ticket, _answer = member.host.proposals.open(member.clock.seconds())
            change = MemberChange(remove_host, add_host, target_voters)
            member.host.submit(ChangeMembers(ticket, change))
            self._run(member)

    def run(self, seconds):
        end = self.now_seconds + seconds
        while self.now_seconds < end:
            self.now_seconds += STEP_SECONDS
            self._deliver()
            if self.now_seconds >= self._next_tick_seconds:
                self._next_tick_seconds = self.now_seconds + self.timing.heartbeat_seconds / 2
                self._tick_all()
            self.check_lease()
            self.check_reads()

    def settle(self, seconds=40.0):
        """Ends all faults; returns whether every member catches up within the given time."""
        self.heal()
        for name, member in self.members.items():
            member.disk.kill_process()
            if member.host is not None and member.host.halt_reason:
                self.crash(name, power=False)
            self.boot(name)
        end = self.now_seconds + seconds
        while self.now_seconds < end:
            self.run(1)
            self._unretire_all()
            if self._converged():
                return True
        return False

    def make_command(self, number):
        return b'command %d' % number

    # Queries.

    def leader(self):
        leading = [name for name, member in self.members.items() if self._leads(member)]
        return leading[0] if leading else ''

    def up(self):
        return [name for name, member in self.members.items() if member.host is not None]

    def core(self, name):
        return self.members[name].host.node.core

    def voters(self):
        cores = [self.core(name) for name in self.up()]
        latest = max(cores, key=lambda core: (core.log.last_term, core.log.last_index))
        return [host_of(voter) for voter in latest.configuration.voters]

    # Checks.

    def check_lease(self):
        leading = [name for name, member in self.members.items() if self._leads(member)]
        assert len(leading) <= 1, f'two hosts hold the leader lease: {leading}'

    def check_reads(self):
        """A host that answers reads, as it holds the lease, has all that was acknowledged."""
        for member in filter(self._leads, self.members.values()):
            applied_index = member.host.applied_index
            assert applied_index >= self.acknowledged_index, f'{member.name} answers an old read'

    def check_logs(self):
        logs = [self.core(name).log for name in self.up()]
        for position, first_log in enumerate(logs):
            for second_log in logs[position + 1 :]:
                _check_matching(first_log, second_log)

    def check_acknowledged(self):
        bodies = {entry.body for entry in self._committed.values()}
        for command in self.acknowledged:
            assert command in bodies, f'acknowledged {command} is lost'

    def on_applied(self, entry_index, command, state):
        known = self._states.get(entry_index)
        assert known is None or known == state, f'states differ after {entry_index}'
        self._states[entry_index] = state

    # Simulation.

    def _add(self, name, number):
        rate = 1 + self.rng.uniform(-MAX_CLOCK_RATE_ERROR, MAX_CLOCK_RATE_ERROR)
        clock = LocalClock(self, rate, self.rng.uniform(0, 1000))
        self.members[name] = Member(name, clock)
        self.boot(name)

    def _bootstrap(self, names):
        first_member = self.members[names[0]]
        nodes = tuple(self.core(name).node for name in names)
        durable = bootstrap_state(nodes)
        first_member.host.save([SaveVote(1, ''), SaveEntries(tuple(durable.entries))])
        first_member.host = None
        self.boot(first_member.name)

    def _can_lose_disk(self, name):
        """Returns whether a quorum keeps all committed entries without this disk.

        Of 2f + 1 voters f disks may be lost until the group has been repaired, that of a
        learner included: the leader may promote it before it learns of the loss.
        """
        member = self.members[name]
        if any(other.host is None or other.host.halt_reason for other in self.members.values()):
            return False
        if not self.leader() or name == self.leader():
            return False
        core = self.core(self.leader())
        committed = core.log.configuration_index <= core.commit_index
        own = member.host.node.core.node
        current = set(core.configuration.voters)
        others = {self.core(other).node for other in self.up()} - {own}
        complete_nodes = {
            node for node in current & others if self._has_committed_entries(host_of(node), core)
        }
        possible = core.configuration
        if own in possible.learners:
            possible = possible.promote(own)
        return committed and len(complete_nodes) >= possible.quorum

    def _has_committed_entries(self, name, leading):
        return self.core(name).log.last_index >= leading.commit_index

    def _leads(self, member):
        return member.host is not None and member.host.is_leader()

    def _unretire_all(self):
        leader = self.leader()
        retired = self.core(leader).configuration.retired if leader else ()
        for host in retired[:1]:
            self.change(leader, add_host=host)

    def _converged(self):
        leader = self.leader()
        if not leader:
            return False
        core = self.core(leader)
        wanted = core.configuration
        full = len(wanted.voters) == wanted.target_voters
        applied = {member.host.applied_index for member in self.members.values()}
        return full and not wanted.retired and applied == {core.log.last_index}

    def _record_answer(self, outcome, host):
        if isinstance(outcome, Success) and outcome.unwrap() is not None:
            self.acknowledged.append(outcome.unwrap())
            self.acknowledged_index = max(self.acknowledged_index, host.applied_index)

    def _send(self, message):
        source, target = host_of(message.sender), host_of(message.target)
        if (source, target) in self.cuts or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            self._message_number += 1
            due = self.now_seconds + self.rng.uniform(0.001, self.max_delay_seconds)
            heapq.heappush(self._queue, (due, self._message_number, message))

    def _deliver(self):
        while self._queue and self._queue[0][0] <= self.now_seconds:
            message = heapq.heappop(self._queue)[2]
            member = self.members[host_of(message.target)]
            if member.frozen:
                member.backlog.append(message)
            elif member.host is not None:
                member.host.submit(message)
                self._run(member)

    def _tick_all(self):
        for member in self.members.values():
            if member.host is None or member.host.halt_reason or member.frozen:
                continue
            member.host.submit(Tick())
            core = member.host.node.core
            if not core.leader:
                self._announce(core.node)
            self._run(member)

    def _announce(self, node):
        for other in self.members.values():
            reachable = (host_of(node), other.name) not in self.cuts
            if reachable and other.host is not None and other.name != host_of(node):
                other.host.submit(NodeAnnounced(node))

    def _run(self, member):
        host = member.host
        core = host.node.core
        was_leader = core.role is Role.leader
        before = host.applied_index
        self.steps += 1
        try:
            host.run()
        except Crash:
            self.crash(member.name)
            return
        if core.role is Role.leader and not was_leader:
            self._check_election(core)
        self._check_committed(core, before, host.applied_index)
        try:
            if self.rng.random() < SAVE_COMMIT_PROBABILITY:
                host.save_commit_index()
        except Crash:
            self.crash(member.name)
            return
        position = (core.log, core.snapshot, host.applied_index)
        if not host.halt_reason and self.compaction.is_due(*position):
            with contextlib.suppress(Crash):
                host.take_snapshot(self.compaction.entries_to_keep(*position))
                return
            self.crash(member.name)

    def _check_election(self, core):
        first = self._leaders.setdefault(core.term, core.node)
        assert first == core.node, f'{first} and {core.node} lead term {core.term}'
        for index, entry in self._committed.items():
            if index > core.log.base_index:
                held = core.log.term_at(index)
                assert held == entry.term, f'leader {core.node} lacks committed entry {index}'

    def _check_committed(self, core, after_index, until_index):
        start = max(after_index, core.log.base_index)
        for entry in core.log.between(start, until_index):
            known = self._committed.setdefault(entry.index, entry)
            assert known == entry, f'two entries were committed at {entry.index}'

    def _check_snapshot(self, snapshot):
        if snapshot is not None and snapshot.index in self._states:
            assert self._states[snapshot.index] == snapshot.state


def _check_matching(first_log, second_log):
    start = max(first_log.base_index, second_log.base_index)
    last = min(first_log.last_index, second_log.last_index)
    same_above = False
    for index in range(last, start, -1):
        a, b = first_log.between(index - 1, index)[0], second_log.between(index - 1, index)[0]
        same = a.term == b.term
        assert not (same and a != b), f'entries at {index} differ in one term'
        assert same or not same_above, f'logs differ below the equal entry {index + 1}'
        same_above = same
