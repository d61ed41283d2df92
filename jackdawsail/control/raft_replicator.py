"""The replicator of a control host: drives a consensus host by timers and links."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from returns.result import Result
from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.consensus.compaction import Compaction
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
from jackdawsail.control.bootstrap import bootstrap_voters
from jackdawsail.control.consensus_host import ConsensusHost
from jackdawsail.control.forwarding import Forwarding, refused_answer
from jackdawsail.control.raft_links import LinkHandlers, RaftLinks
from jackdawsail.control.raft_messages import RaftHello
from jackdawsail.loops import make_loop

LEADERSHIP_CHANGED = events.define(201, 'info', 'leader, term or leader lease changed')
GROUP_BOOTSTRAPPED = events.define(222, 'info', 'new consensus group bootstrapped')
MEMBERS_CHANGED = events.define(204, 'info', 'voters or learners of the consensus group changed')
HELLO_INTERVAL_SECONDS = 1.0
FLUSH_SECONDS = 0.1
SAVE_COMMIT_INTERVAL_SECONDS = 0.25  # a power loss rarely follows a change any sooner
MAX_COMMAND_BYTES = 4 * 1024 * 1024  # half of the largest frame of a link
Callback = Callable[[], None]


class NamedHost(Protocol):
    """A control host that the settings name."""

    @property
    def name(self) -> str:
        """The host's name."""


class GroupSettings(Protocol):
    """The settings that a replicator needs; ``voters`` bootstrap the group together."""

    @property
    def voters(self) -> Sequence[NamedHost]:
        """The initial voters; empty if this host must not bootstrap a group."""

    @property
    def snapshot_every_entries(self) -> int:
        """The number of applied entries after which a snapshot is saved and the log compacted."""


class RaftReplicator:
    """Implements ``consensus.interfaces.Replicator`` over links to the other control hosts."""

    def __init__(
        self, name: str, settings: GroupSettings, host: ConsensusHost, links: RaftLinks
    ) -> None:
        self.host = host
        self._name = name
        self._settings = settings
        self._compaction = Compaction(settings.snapshot_every_entries)
        self._links = links
        self._forwarding = Forwarding(host, links)
        self._watchers: list[Callback] = []
        self._last_leadership: tuple[str, int, bool] = ('', 0, False)
        self._last_members: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        actions = (self._tick, self._send_hellos, host.save_commit_index)
        self._loops = [make_loop(host.clock, action) for action in actions]
        self._first_tick: Any = None

    def start(self) -> None:
        """Connects to the other control hosts and takes part in the group."""
        # Restores the state only here, once every listener of the state machine is registered.
        self.host.restore()
        self.host.on_step = self._after_step
        self.host.on_decision = self._forwarding.answer_follower
        handlers = LinkHandlers(
            make_hello=self._make_hello,
            on_hello=self._on_hello,
            on_message=self.host.submit,
            on_peer_lost=self.host.proposals.fail_forwarded_to,
            forward_handlers=self._forwarding.handlers(),
        )
        self._links.start(handlers)
        tick_seconds = self._core.timing.heartbeat_seconds / 2
        tick_loop, hello_loop, save_loop = self._loops
        # Hosts that start in the same moment would else tick, and stand for election, in step.
        first_tick_seconds = self._core.rng.uniform(0, tick_seconds)
        self._first_tick = self.host.clock.callLater(
            first_tick_seconds, tick_loop.start, tick_seconds
        )
        hello_loop.start(HELLO_INTERVAL_SECONDS)
        save_loop.start(SAVE_COMMIT_INTERVAL_SECONDS)

    def stop(self) -> Deferred[None]:
        """Transfers leadership and ends every connection and timer."""
        if self._first_tick is not None and self._first_tick.active():
            self._first_tick.cancel()
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self.host.submit(Resign())
        self.host.run()
        self.host.stop()
        flushed: Deferred[None] = Deferred()
        # The message to the successor must be sent before the process ends.
        self.host.clock.callLater(FLUSH_SECONDS, flushed.callback, None)
        return flushed.addCallback(self._stop_links)

    def is_leader(self) -> bool:
        """Returns whether this host leads and holds a valid leader lease."""
        return self.host.is_leader()

    def leader_name(self) -> str:
        """Returns the host name of the known leader; empty if none is known."""
        return '' if self.host.halt_reason else host_of(self._core.leader)

    def term(self) -> int:
        """Returns the current term."""
        return self._core.term

    def propose(self, command: bytes) -> Deferred[Result[Any, ProposeError]]:
        """Fires with the state machine's reply once the command is applied here."""
        if self.host.halt_reason:
            return refused_answer(self.host.halt_reason, '')
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
        """Retires a host, readmits one or sets the number of voters; only on the leader."""
        if self.host.halt_reason or self._core.role is not Role.leader:
            return refused_answer('not the leader', self.leader_name())
        ticket, answer = self.host.proposals.open(self.host.clock.seconds())
        change = MemberChange(remove_host, add_host, target_voters)
        self.host.submit(ChangeMembers(ticket, change))
        return answer

    def watch_leadership(self, callback: Callback) -> None:
        """Calls ``callback`` whenever ``leader_name``, ``term`` or ``is_leader`` has changed."""
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
            'halted': self.host.halt_reason,
        }

    @property
    def _core(self) -> Core:
        return self.host.node.core

    def _stop_links(self, _flushed: None) -> None:
        self._links.stop()

    def _make_hello(self) -> RaftHello:
        core = self._core
        fresh = core.term == 0 and core.log.last_index == 0
        names = sorted(voter.name for voter in self._settings.voters)
        return RaftHello(core.node, fresh, names)

    def _on_hello(self, _name: str, hello: RaftHello) -> None:
        self._bootstrap_if_allowed()
        self.host.submit(NodeAnnounced(hello.node))

    def _tick(self) -> None:
        self.host.submit(Tick())

    def _send_hellos(self) -> None:
        if not self._core.leader:
            self._links.send_hellos()
            self._bootstrap_if_allowed()

    def _bootstrap_if_allowed(self) -> None:
        own_hello = self._make_hello()
        if not own_hello.fresh or self.host.halt_reason:
            return
        voters = bootstrap_voters(self._name, own_hello, self._links.hellos())
        if not voters:
            return
        durable = bootstrap_state(voters)
        if self.host.save([SaveVote(durable.term, ''), SaveEntries(tuple(durable.entries))]):
            core = self._core
            now_seconds = self.host.clock.seconds()
            self.host.node = make_node(core.node, core.timing, core.rng, durable, now_seconds)
            events.log(GROUP_BOOTSTRAPPED, voters=list(voters))

    def _after_step(self) -> None:
        self._snapshot_if_due()
        self._log_members()
        leadership = (self.leader_name(), self.term(), self.is_leader())
        if leadership == self._last_leadership:
            return
        self._last_leadership = leadership
        leader, term, holds_lease = leadership
        events.log(LEADERSHIP_CHANGED, leader=leader, term=term, holds_lease=holds_lease)
        for watcher in self._watchers:
            watcher()

    def _log_members(self) -> None:
        """Logs each change of the members, with the indexes that tell how far a learner is behind."""
        core = self._core
        members = (core.configuration.voters, core.configuration.learners)
        if members == self._last_members:
            return
        self._last_members = members
        events.log(
            MEMBERS_CHANGED,
            voters=list(members[0]),
            learners=list(members[1]),
            last_index=core.log.last_index,
            matched=self.host.node.match_indexes(),
        )

    def _snapshot_if_due(self) -> None:
        core = self._core
        position = (core.log, core.snapshot, self.host.applied_index)
        if not self.host.halt_reason and self._compaction.is_due(*position):
            self.host.take_snapshot(self._compaction.entries_to_keep(*position))
