"""One node of the consensus group, driven by events and the time.

Raft with pre-vote, check-quorum, a leader lease, batched proposals, conflict
hints, snapshots in pieces and single-server membership changes. ``Node.step``
takes one event and returns effects; it knows no socket, file or clock.

Example::

    node = make_node('a@1', timing, random.Random(1), loaded, now_seconds=0)
    for effect in node.step(Tick(), now_seconds=1.7):
        ...
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatchmethod

from jackdawsail.consensus import messages
from jackdawsail.consensus.configuration import Configuration
from jackdawsail.consensus.core import Core, Role, Timing
from jackdawsail.consensus.effects import Accepted, Effect, Refused
from jackdawsail.consensus.inbox import Inbox
from jackdawsail.consensus.log import Entry, EntryKind, LogView, Snapshot
from jackdawsail.consensus.membership import MemberChange, Membership
from jackdawsail.consensus.replication import Replication


@dataclass(frozen=True, slots=True)
class Durable:
    """What a node finds on its disk at a start.

    ``commit_index`` is a lower bound of what was committed; 0 when none was noted.
    """

    term: int = 0
    voted_for: str = ''
    snapshot: Snapshot | None = None
    entries: Sequence[Entry] = ()
    commit_index: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; to be given several times in each heartbeat interval."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Commands to be replicated, each with the ticket that its answer carries."""

    tickets: tuple[int, ...]
    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ChangeMembers:
    """An operator's change of the group, with the ticket that its answer carries."""

    ticket: int
    change: MemberChange


@dataclass(frozen=True, slots=True)
class NodeAnnounced:
    """A host of the settings is up under this node id."""

    node: str


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the applied state is durable; ``keep_entries`` stay in the log."""

    snapshot: Snapshot
    keep_entries: int


@dataclass(frozen=True, slots=True)
class Resign:
    """The process stops: a leader hands its office over."""


class Node:
    """Dispatches events to the parts of a node."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.replication = Replication(core)
        self._inbox = Inbox(core, self.replication)
        self._membership = Membership(core, self.replication)

    def step(self, event: object, now_seconds: float) -> list[Effect]:
        """Handles one event at a time (monotonic) and returns what must be done."""
        core = self.core
        core.now_seconds = now_seconds
        self._handle(event)
        effects = core.effects
        core.effects = []
        return effects

    def is_leader(self, now_seconds: float) -> bool:
        """Tells whether this node leads and its lease holds at a time."""
        return self.replication.holds_lease(now_seconds)

    def match_indexes(self) -> dict[str, int]:
        """Returns up to which index each other member holds the log; empty unless leading."""
        if self.core.role is not Role.leader:
            return {}
        progress = self.replication.progress
        return {node: progress.matched(node) for node in progress.nodes()}

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        self._inbox.receive(event)

    @_handle.register
    def _on_tick(self, _event: Tick) -> None:
        self.replication.tick()
        self._membership.tick()
        self._inbox.tick()

    @_handle.register
    def _on_propose(self, event: Propose) -> None:
        if not self.replication.accepts():
            for ticket in event.tickets:
                self._refuse(ticket, 'not the leader')
            return
        bodies = [(EntryKind.command, command) for command in event.commands]
        # The points are reported first: with one voter the commit follows at once.
        first = self.core.log.last_index + 1
        for position, ticket in enumerate(event.tickets):
            self.core.effects.append(Accepted(ticket, first + position, self.core.term))
        self.replication.append_all(bodies)

    @_handle.register
    def _on_change(self, event: ChangeMembers) -> None:
        accepted = Accepted(event.ticket, self.core.log.last_index + 1, self.core.term)
        position = len(self.core.effects)
        reason = self._membership.change(event.change)
        if reason:
            self._refuse(event.ticket, reason)
        else:
            self.core.effects.insert(position, accepted)

    @_handle.register
    def _on_introduced(self, event: NodeAnnounced) -> None:
        self._membership.introduce(event.node)

    @_handle.register
    def _on_snapshot_taken(self, event: SnapshotTaken) -> None:
        core = self.core
        if core.snapshot is not None and core.snapshot.index >= event.snapshot.index:
            return
        core.snapshot = event.snapshot
        core.log.compact_to(max(core.log.base_index, event.snapshot.index - event.keep_entries))

    @_handle.register
    def _on_resign(self, _event: Resign) -> None:
        core = self.core
        if core.role is not Role.leader:
            return
        successor = self.replication.best_successor()
        core.follow(core.term)
        if successor:
            core.send(messages.TimeoutNow(core.node, successor, core.term))

    def _refuse(self, ticket: int, reason: str) -> None:
        self.core.effects.append(Refused(ticket, reason, self.core.leader))


def make_node(
    node: str, timing: Timing, rng: random.Random, durable: Durable, now_seconds: float
) -> Node:
    """Makes a node from what its disk holds; it hears no leader yet."""
    log = LogView(durable.snapshot, durable.entries)
    core = Core(node, timing, rng, log, durable.term, durable.voted_for)
    core.snapshot = durable.snapshot
    covered = 0 if durable.snapshot is None else durable.snapshot.index
    core.commit_index = max(covered, min(durable.commit_index, log.last_index))
    core.now_seconds = now_seconds
    core.heard_seconds = now_seconds
    core.put_off_campaign()
    _campaign_at_once_if_alone(core)
    return Node(core)


def bootstrap_state(voters: tuple[str, ...]) -> Durable:
    """Makes the first log of a new group, to be saved by the one host that founds it."""
    configuration = Configuration(voters, (), len(voters))
    entry = Entry(1, 1, EntryKind.configuration, configuration.encode())
    return Durable(term=1, entries=(entry,))


def _campaign_at_once_if_alone(core: Core) -> None:
    if core.configuration.voters == (core.node,):
        core.campaign_seconds = core.now_seconds
