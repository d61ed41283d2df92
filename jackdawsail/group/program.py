"""The control program of a site that is run by a site document."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.consensus.configuration import host_of
from jackdawsail.group import calls
from jackdawsail.group.calls import CallBorder
from jackdawsail.group.consensus_part import ConsensusPart, make_consensus_part
from jackdawsail.group.desk import Desk
from jackdawsail.group.fanout import Fanout
from jackdawsail.group.linked import LinkedProcesses
from jackdawsail.http1.server import Exchange, ServerFactory, ServerOptions
from jackdawsail.site.document import CallerLimits
from jackdawsail.site.machine import SiteMachine
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess, listen_http, listen_links
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link

SUMMARY_SECONDS = 0.5  # four fit into the silence after which a link is given up
PROBE_SECONDS = 0.5  # how often a failed disk is tried again
CONTROL_LIMITS = CallerLimits(
    head_bytes=65_536, body_bytes=16_777_216, head_seconds=10.0, idle_seconds=20.0
)  # documents of thousands of routes fit, whatever the callers' limits

DISK_WORKS_AGAIN = events.define(245, 'info', 'disk takes writes again, restarting')
TARGET_CHANGED = events.define(246, 'info', 'number of voters to aim for changed')


@dataclass(slots=True)
class ControlProgram:
    """Owns the parts of a control host and its timers."""

    process: NodeProcess
    border: CallBorder
    consensus: ConsensusPart
    fanout: Fanout
    linked: LinkedProcesses
    desk: Desk
    _loops: list[Any] = field(default_factory=list)
    _members: Any = None

    def start(self) -> None:
        """Listens, joins the group and begins to send summaries."""
        settings = self.process.settings
        self.linked.start()
        self.fanout.start()
        self.fanout.switchboard.watch(self._link_opened, lambda link: None)
        self.consensus.replicator.start()
        options = ServerOptions(self._handle, self.process.reactor, CONTROL_LIMITS)
        factory = ServerFactory(options)
        for address in (settings.listening.control, settings.listening.directory):
            listen_http(self.process, address, factory)
        listen_links(self.process, self.fanout.switchboard)
        self._loop(self._summarize, SUMMARY_SECONDS)
        self._loop(self._check_disk, PROBE_SECONDS)

    def stop(self) -> Deferred[None]:
        """Hands leadership over and ends the links."""
        self.desk.stopping = True
        for loop in self._loops:
            loop.stop()
        return self.consensus.replicator.stop()

    def reload(self, settings: NodeSettings) -> None:
        """Takes new seeds."""
        self.process.settings = settings
        for host in settings.seed_hosts:
            self._add_control(host)

    def _handle(self, exchange: Exchange) -> None:
        call = self.border.decode(exchange.request)
        answered: Any = self.desk.handle(call)
        answered.addCallback(self._answer, exchange)
        answered.addErrback(events.log_failure)

    def _answer(self, answer: calls.Answer, exchange: Exchange) -> None:
        if not exchange.ended:
            exchange.answer(self.border.encode(answer, exchange.request.target))

    def _loop(self, action: Callable[[], None], seconds: float) -> None:
        loop: Any = LoopingCall(action)
        loop.clock = self.process.reactor
        loop.start(seconds, now=False).addErrback(events.log_failure)
        self._loops.append(loop)

    def _summarize(self) -> None:
        self.fanout.send_summary()
        members = self.linked.members(self._live_controls())
        if members != self._members:
            self._members = members
            self.fanout.send_members(members)
        self.fanout.book.forget_old(self.process.reactor.seconds())
        self._set_target()

    def _live_controls(self) -> list[str]:
        links = self.fanout.switchboard.links
        return [link.peer.name for link in links if link.peer and link.peer.role is Role.control]

    def _link_opened(self, link: Link) -> None:
        if link.peer is None:
            return
        if link.peer.role is Role.control:
            self._add_control(link.peer.name)
        elif self._members is not None:
            link.send(self._members)

    def _add_control(self, host: str) -> None:
        port = self.process.settings.link_port
        self.consensus.links.add_host(host, f'{host}:{port}')

    def _set_target(self) -> None:
        """Lets the leader aim for as many voters as the tolerated losses need."""
        replicator = self.consensus.replicator
        if not replicator.is_leader():
            return
        configuration = replicator.host.node.core.configuration
        for member in configuration.members:
            if host_of(member) != self.linked.own_name:
                self._add_control(host_of(member))
        wanted = 2 * self.process.settings.bounds.tolerated_hosts + 1
        if configuration.target_voters < wanted <= len(configuration.members):
            events.log(TARGET_CHANGED, voters=wanted, members=list(configuration.members))
            replicator.change_voters(target_voters=wanted)

    def _check_disk(self) -> None:
        """Ends the process for a clean start once a failed disk takes writes again."""
        if not self.consensus.replicator.host.halted or self.desk.stopping:
            return
        probe = Path(self.process.settings.data_folder) / 'probe'
        try:
            _write_probe(probe)
        except OSError as error:
            events.log(events.DISK_REFUSES, reason=str(error))
            return
        events.log(DISK_WORKS_AGAIN)
        self.process.end(1)


def _write_probe(path: Path) -> None:
    import os

    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    try:
        os.write(descriptor, b'probe' * 1024)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_control_program(process: NodeProcess, border: CallBorder) -> ControlProgram:
    """Builds the control program of a host."""
    switchboard = Switchboard()
    machine = SiteMachine()
    linked = LinkedProcesses(process.settings.address, switchboard)
    fanout = Fanout(process.reactor, switchboard, machine)
    consensus = make_consensus_part(
        process.reactor, process.settings, process.link_settings, switchboard, machine
    )
    desk = Desk(consensus.replicator, fanout, linked)
    return ControlProgram(process, border, consensus, fanout, linked, desk)
