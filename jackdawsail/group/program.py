"""The control program of a site that is configured by a site document."""

from dataclasses import dataclass, field
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail.group import calls
from jackdawsail.group.call_handler import CallHandler
from jackdawsail.group.call_server import CallServer
from jackdawsail.group.calls import CallCodec
from jackdawsail.group.consensus_replica import ConsensusReplica, make_consensus_replica
from jackdawsail.group.disk_probe import accepts_writes
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.group.linked import LinkedProcesses
from jackdawsail.group.replicated_lists import ReplicatedLists, make_replicated_lists
from jackdawsail.http1.server import ServerFactory
from jackdawsail.loops import start_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.site.machine import SiteMachine
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import (
    NodeProcess,
    drain_http,
    listen_http,
    listen_links,
    make_server,
)
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link

SUMMARY_INTERVAL_SECONDS = 0.5  # three intervals fit into the silence that drops a link
DISK_PROBE_INTERVAL_SECONDS = 0.5  # while the consensus host is halted by a failed write


@dataclass(slots=True)
class ControlProgram:
    """Owns the components of a control host and its timers."""

    process: NodeProcess
    codec: CallCodec
    consensus: ConsensusReplica
    fanout: SiteFanout
    linked: LinkedProcesses
    call_handler: CallHandler
    lists: ReplicatedLists
    ports: list[Any] = field(default_factory=list)
    callers: ServerFactory = field(init=False)
    _loops: list[Any] = field(default_factory=list)
    _sent_members: Any = None

    def start(self) -> None:
        """Starts to listen, joins the consensus group and starts the periodic tasks."""
        settings = self.process.settings
        self.linked.start()
        # Restores the state first, so that the fan-out reads it once instead of at each change.
        self.consensus.replicator.start()
        self.fanout.start()
        self.fanout.router.watch_links(self._link_opened, lambda link: None)
        handle = CallServer(self.codec, self.call_handler).handle
        self.callers = make_server(self.process, handle, calls.CONTROL_LIMITS)
        addresses = (settings.listening.control, settings.listening.directory)
        self.ports = [listen_http(self.process, each, self.callers) for each in addresses if each]
        listen_links(self.process, self.fanout.router)
        self._loops = [
            start_loop(self.process.reactor, self._run_periodic_tasks, SUMMARY_INTERVAL_SECONDS),
            start_loop(self.process.reactor, self._check_disk, DISK_PROBE_INTERVAL_SECONDS),
        ]

    def stop(self) -> Deferred[None]:
        """Stops the timers, transfers leadership, closes the links and answers what was read."""
        self.call_handler.stopping = True
        self.callers.options.closing = True
        for loop in self._loops:
            loop.stop()
        stopped = self.consensus.replicator.stop()
        return stopped.addCallback(self._drain_callers)

    def reload(self, settings: NodeSettings) -> None:
        """Applies new settings and dials the control hosts that they add."""
        self.process.settings = settings
        for host in settings.seed_hosts:
            self._add_control(host)

    def _drain_callers(self, _stopped: None) -> Deferred[None]:
        return drain_http(self.process.reactor, self.ports, self.callers)

    def _run_periodic_tasks(self) -> None:
        self.fanout.send_summary()
        members = self.linked.members(self._live_controls())
        if members != self._sent_members:
            self._sent_members = members
            self.fanout.send_members(members)
        self.fanout.registrations.forget_old(self.process.reactor.seconds())
        bounds = self.process.settings.bounds
        self.lists.update(members.entries, bounds.weights_seconds)
        for host in self.consensus.raise_voter_target(bounds.tolerated_host_losses):
            self._add_control(host)

    def _live_controls(self) -> list[str]:
        links = self.fanout.router.links_to(Role.control)
        return [link.peer.name for link in links if link.peer]

    def _link_opened(self, link: Link) -> None:
        if link.peer is None:
            return
        if link.peer.role is Role.control:
            self._add_control(link.peer.name)
        elif self._sent_members is not None:
            link.send(self._sent_members)

    def _add_control(self, host: str) -> None:
        port = self.process.settings.link_port
        self.consensus.links.add_host(host, f'{host}:{port}')

    def _check_disk(self) -> None:
        """Ends the process once a failed disk accepts writes again, so that it starts cleanly."""
        is_halted = bool(self.consensus.replicator.host.halt_reason)
        if is_halted and not self.call_handler.stopping:
            folder = self.process.settings.data_folder
            if accepts_writes(folder):
                self.process.end(1)


def make_control_program(process: NodeProcess, codec: CallCodec) -> ControlProgram:
    """Creates the control program and its components; nothing is started yet."""
    router = MessageRouter()
    machine = SiteMachine()
    linked = LinkedProcesses(process.settings.address, router)
    fanout = SiteFanout(process.reactor, router, machine)
    consensus = make_consensus_replica(
        process.reactor, process.settings, process.link_settings, router, machine
    )
    call_handler = CallHandler(consensus.replicator, fanout, linked)
    lists = make_replicated_lists(process.reactor, consensus.replicator, fanout)
    return ControlProgram(process, codec, consensus, fanout, linked, call_handler, lists)
