"""One node of the consensus group as a state machine without I/O.

Implements Raft with pre-vote, check-quorum, a leader lease, batched proposals, conflict
hints, snapshots in pieces and single-server membership changes. ``Node.step``
takes one event and the current time and returns effects; it uses no socket, file or clock.

Example::

    node = make_node('a@1', timing, random.Random(1), durable, now_seconds=0)
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
class DurableState:
    """The state that a node loads from its disk at startup.

    ``commit_index`` is a lower bound of the committed index; 0 if none was saved.
    """

    term: int = 0
    voted_for: str = ''
    snapshot: Snapshot | None = None
    entries: Sequence[Entry] = ()
    commit_index: int = 0


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer event; must occur at least twice in each heartbeat interval."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Commands to replicate, each with a ticket that its ``Accepted`` or ``Refused`` carries."""

    tickets: tuple[int, ...]
    commands: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class ChangeMembers:
    """An operator's change of the group; its ``Accepted`` or ``Refused`` carries the ticket."""

    ticket: int
    change: MemberChange


@dataclass(frozen=True, slots=True)
class NodeAnnounced:
    """A known control host has announced that it runs under this node id."""

    node: str


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """A snapshot of the applied state is durable.

    The last ``keep_entries`` entries that it covers stay in the log.
    """

    snapshot: Snapshot
    keep_entries: int


@dataclass(frozen=True, slots=True)
class Resign:
    """The process is stopping; a leader transfers its leadership."""


class Node:
    """A consensus node; dispatches events to its parts and collects their effects."""

    def __init__(self, core: Core) -> None:
        self.core = core
        self.replication = Replication(core)
        self._inbox = Inbox(core, self.replication)
        self._membership = Membership(core, self.replication)

    def step(self, event: object, now_seconds: float) -> list[Effect]:
        """Handles one event at a monotonic time and returns the effects to execute."""
        core = self.core
        core.now_seconds = now_seconds
        self._handle(event)
        effects = core.effects
        core.effects = []
        return effects

    def is_leader(self, now_seconds: float) -> bool:
        """Returns whether this node is the leader and its lease is valid at a time."""
        return self.replication.holds_lease(now_seconds)

    def match_indexes(self) -> dict[str, int]:
        """Returns the highest matching log index of each other member; empty unless leading."""
        if self.core.role is not Role.leader:
            return {}
        progress = self.replication.progress
        return {node: progress.match_index(node) for node in progress.nodes()}

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
        if not self.replication.accepts_proposals():
            for ticket in event.tickets:
                self._refuse(ticket, 'not the leader')
            return
        bodies = [(EntryKind.command, command) for command in event.commands]
        # Indexes are reported first, because with a single voter the commit follows at once.
        first_index = self.core.log.last_index + 1
        for position, ticket in enumerate(event.tickets):
            self.core.effects.append(Accepted(ticket, first_index + position, self.core.term))
        self.replication.append_all(bodies)

    @_handle.register
    def _on_change_members(self, event: ChangeMembers) -> None:
        accepted = Accepted(event.ticket, self.core.log.last_index + 1, self.core.term)
        position = len(self.core.effects)
        reason = self._membership.change(event.change)
        if reason:
            self._refuse(event.ticket, reason)
        else:
            self.core.effects.insert(position, accepted)

    @_handle.register
    def _on_node_announced(self, event: NodeAnnounced) -> None:
        self._membership.record_announcement(event.node)

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
        core.become_follower(core.term)
        if successor:
            core.send(messages.TimeoutNow(core.node, successor, core.term))

    def _refuse(self, ticket: int, reason: str) -> None:
        self.core.effects.append(Refused(ticket, reason, self.core.leader))


def make_node(
    node: str, timing: Timing, rng: random.Random, durable: DurableState, now_seconds: float
) -> Node:
    """Makes a node from its durable state; it knows no leader yet."""
    log = LogView(durable.snapshot, durable.entries)
    core = Core(node, timing, rng, log, durable.term, durable.voted_for)
    core.snapshot = durable.snapshot
    snapshot_index = 0 if durable.snapshot is None else durable.snapshot.index
    core.commit_index = max(snapshot_index, min(durable.commit_index, log.last_index))
    core.now_seconds = now_seconds
    core.leader_received_seconds = now_seconds
    core.reset_election_timer()
    _elect_at_once_if_sole_voter(core)
    return Node(core)


def bootstrap_state(voters: tuple[str, ...]) -> DurableState:
    """Returns the first log of a new group; exactly one host saves it at bootstrap."""
    configuration = Configuration(voters, (), len(voters))
    entry = Entry(1, 1, EntryKind.configuration, configuration.encode())
    return DurableState(term=1, entries=(entry,))


def _elect_at_once_if_sole_voter(core: Core) -> None:
    if core.configuration.voters == (core.node,):
        core.election_due_seconds = core.now_seconds
