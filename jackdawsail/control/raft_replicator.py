"""The replicator itself: timers and links around a consensus host."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from returns.result import Result
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.consensus.configuration import host_of
from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.effects import SaveEntries, SaveVote
from jackdawsail.consensus.interfaces import ProposeError
from jackdawsail.consensus.membership import MemberChange
from jackdawsail.consensus.node import (
    ChangeMembers,
    NodeAnnounced,
    Resign,
    Tick,
    bootstrap_state,
    make_node,
)
from jackdawsail.control.consensus_host import ConsensusHost
from jackdawsail.control.forwarding import Forwarding, refused_answer
from jackdawsail.control.founding import founding_voters
from jackdawsail.control.raft_links import LinkHandlers, RaftLinks
from jackdawsail.control.raft_messages import RaftHello

LEADERSHIP_CHANGED = events.define(201, 'info', 'leader, term or leader lease changed')
GROUP_FOUNDED = events.define(222, 'info', 'new consensus group founded')
KEEP_SHARE = 0.1
GREET_SECONDS = 1.0
FLUSH_SECONDS = 0.1
NOTE_COMMIT_SECONDS = 0.25  # a change is rarely followed by a power loss sooner
MAX_COMMAND_BYTES = 4 * 1024 * 1024  # half of the largest frame of a link
Callback = Callable[[], None]


class NamedHost(Protocol):
    """A control host of the settings."""

    @property
    def name(self) -> str:
        """The host's name."""


class GroupSettings(Protocol):
    """What a replicator needs of the settings; ``voters`` found the group together."""

    @property
    def voters(self) -> Sequence[NamedHost]:
        """The first voters; empty where this host may not found a group."""

    @property
    def snapshot_every_entries(self) -> int:
        """After how many applied entries the log is shortened."""


class RaftReplicator:
    """Implements ``Replicator`` over links; see ``consensus/interfaces.py``."""

    def __init__(
        self, name: str, settings: GroupSettings, host: ConsensusHost, links: RaftLinks
    ) -> None:
        self.host = host
        self._name = name
        self._settings = settings
        self._links = links
        self._forwarding = Forwarding(host, links)
        self._watchers: list[Callback] = []
        self._seen: tuple[str, int, bool] = ('', 0, False)
        self._loops: list[Any] = [
            LoopingCall(self._tick),
            LoopingCall(self._greet),
            LoopingCall(self.host.save_commit_index),
        ]

    def start(self) -> None:
        """Connects to the other control hosts and takes part in the group."""
        # Only now, when every listener of the state machine is in its place.
        self.host.restore()
        self.host.on_step = self._after_step
        self.host.on_placed = self._forwarding.placed
        handlers = LinkHandlers(
            hello=self._hello,
            greeted=self._greeted,
            received=self.host.submit,
            lost=self.host.proposals.peer_lost,
            forwarded=self._forwarding.handlers(),
        )
        self._links.start(handlers)
        heartbeat_seconds = self.host.node.core.timing.heartbeat_seconds
        intervals_seconds = (heartbeat_seconds / 2, GREET_SECONDS, NOTE_COMMIT_SECONDS)
        for loop, interval_seconds in zip(self._loops, intervals_seconds, strict=True):
            loop.clock = self.host.clock
            loop.start(interval_seconds)

    def stop(self) -> Deferred[None]:
        """Hands leadership over and ends every connection and timer."""
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self.host.submit(Resign())
        self.host.run()
        self.host.stop()
        flushed: Deferred[None] = Deferred()
        # The successor's message must leave before the process ends.
        self.host.clock.callLater(FLUSH_SECONDS, flushed.callback, None)
        return flushed.addCallback(self._stop_links)

    def is_leader(self) -> bool:
        """Tells whether this host leads and its leader lease holds now."""
        return self.host.is_leader()

    def leader_name(self) -> str:
        """Names the leader as far as known; empty when there is none."""
        return '' if self.host.halted else host_of(self._core.leader)

    def term(self) -> int:
        """Returns the current term."""
        return self._core.term

    def propose(self, command: bytes) -> Deferred[Result[Any, ProposeError]]:
        """Fires with the state machine's reply once the command is applied here."""
        if self.host.halted:
            return refused_answer(self.host.halted, '')
        if len(command) > MAX_COMMAND_BYTES:
            return refused_answer(f'a command of {len(command)} bytes is too large', '')
        now_seconds = self.host.clock.seconds()
        if self._core.role is Role.leader:
            ticket, answer = self.host.proposals.open(now_seconds)
            self.host.submit_command(ticket, command)
            return answer
        leader = self.leader_name()
        if not leader:
            return refused_answer('there is no leader now', '')
        return self._forwarding.forward(command, leader, now_seconds)

    def change_voters(
        self, remove_host: str = '', add_host: str = '', target_voters: int = 0
    ) -> Deferred[Result[Any, ProposeError]]:
        """Retires a host, takes one back or sets the number of voters; only the leader can."""
        if self.host.halted or self._core.role is not Role.leader:
            return refused_answer('not the leader', self.leader_name())
        ticket, answer = self.host.proposals.open(self.host.clock.seconds())
        change = MemberChange(remove_host, add_host, target_voters)
        self.host.submit(ChangeMembers(ticket, change))
        return answer

    def watch_leadership(self, callback: Callback) -> None:
        """Calls back when ``leader_name``, ``term`` or ``is_leader`` has changed."""
        self._watchers.append(callback)

    def status(self) -> dict[str, Any]:
        """Returns role, term, indexes, voters and learners for the administration API."""
        core = self._core
        configuration = core.configuration
        return {
            'node': core.node,
            'role': str(core.role),
            'leader': self.leader_name(),
            'holds_lease': self.is_leader(),
            'term': core.term,
            'last_index': core.log.last_index,
            'commit_index': core.commit_index,
            'applied_index': self.host.applied_index,
            'snapshot_index': 0 if core.snapshot is None else core.snapshot.index,
            'voters': list(configuration.voters),
            'learners': list(configuration.learners),
            'target_voters': configuration.target_voters,
            'retired': list(configuration.retired),
            'matched': self.host.node.match_indexes(),
            'linked': sorted(self._links.hellos()),
            'halted': self.host.halted,
        }

    @property
    def _core(self) -> Core:
        return self.host.node.core

    def _stop_links(self, _flushed: None) -> None:
        self._links.stop()

    def _hello(self) -> RaftHello:
        core = self._core
        fresh = core.term == 0 and core.log.last_index == 0
        names = sorted(voter.name for voter in self._settings.voters)
        return RaftHello(core.node, fresh, names)

    def _greeted(self, _name: str, hello: RaftHello) -> None:
        self._found_if_allowed()
        self.host.submit(NodeAnnounced(hello.node))

    def _tick(self) -> None:
        self.host.submit(Tick())

    def _greet(self) -> None:
        if not self._core.leader:
            self._links.greet()
            self._found_if_allowed()

    def _found_if_allowed(self) -> None:
        own = self._hello()
        if not own.fresh or self.host.halted:
            return
        voters = founding_voters(self._name, own, self._links.hellos())
        if not voters:
            return
        durable = bootstrap_state(voters)
        if self.host.save([SaveVote(durable.term, ''), SaveEntries(tuple(durable.entries))]):
            core = self._core
            now_seconds = self.host.clock.seconds()
            self.host.node = make_node(core.node, core.timing, core.rng, durable, now_seconds)
            events.log(GROUP_FOUNDED, voters=list(voters))

    def _after_step(self) -> None:
        self._snapshot_if_due()
        seen = (self.leader_name(), self.term(), self.is_leader())
        if seen == self._seen:
            return
        self._seen = seen
        leader, term, holds_lease = seen
        events.log(LEADERSHIP_CHANGED, leader=leader, term=term, holds_lease=holds_lease)
        for watcher in self._watchers:
            watcher()

    def _snapshot_if_due(self) -> None:
        core = self._core
        every_entries = self._settings.snapshot_every_entries
        covered = 0 if core.snapshot is None else core.snapshot.index
        if not self.host.halted and self.host.applied_index - covered >= every_entries:
            self.host.take_snapshot(int(every_entries * KEEP_SHARE))
