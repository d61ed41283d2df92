"""An entry's links to the control hosts: leader, zone lease, state, directory."""

import random
from typing import Any

from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.entry.known_state import KnownState
from jackdawsail.membership.leases import Lease
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.process import ProcessContext
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import (
    Directory,
    DirectoryEntry,
    DirectoryRequest,
    LeaderNotice,
    LeaseGrant,
    LeaseRequest,
)

LEASE_REQUEST_SECONDS = 0.5
DIRECTORY_REFRESH_SECONDS = 2.0

LEADER_CHANGED = events.define(300, 'info', 'control leader changed')
LEASE_LOST = events.define(301, 'warning', 'data centre has no in-service lease')
LEASE_HELD = events.define(302, 'info', 'data centre is in service')


class ControlLinks:
    """Knows the leader and keeps the zone's lease."""

    def __init__(
        self,
        context: ProcessContext,
        switchboard: Switchboard,
        known: KnownState,
        table: ZoneTable,
    ) -> None:
        self.lease = Lease()
        self.is_tracker = False
        self.directory: list[DirectoryEntry] = []
        self.leaving = False
        self.addresses = ('', '')
        self._context = context
        self._known = known
        self._table = table
        self._links = _LeaderTable()
        self._directory_asked_seconds: float = 0
        self._directory_revision = -1
        self._loop = LoopingCall(self.renew)
        self._loop.clock = context.reactor
        self._dialers = _make_dialers(context, switchboard)
        switchboard.watch(self._opened, self._closed)
        switchboard.on(LeaderNotice, self._noticed)
        switchboard.on(LeaseGrant, self._granted)
        switchboard.on(Directory, self._directory_received)

    def start(self, caller_address: str, link_address: str) -> None:
        """Dials every control host and begins to ask for leases."""
        self.addresses = (caller_address, link_address)
        for dialer in self._dialers:
            dialer.start()
        self._loop.start(LEASE_REQUEST_SECONDS)

    def stop(self) -> None:
        """Ends the requests and the links."""
        if self._loop.running:
            self._loop.stop()
        for dialer in self._dialers:
            dialer.stop()

    def leader(self) -> Link | None:
        """Returns the link to the leader, if one is known and connected."""
        return self._links.leader()

    def renew(self) -> None:
        """Asks the leader for the zone's lease and refreshes the directory."""
        leader = self.leader()
        if leader is None:
            return
        now_seconds = self._context.reactor.seconds()
        caller_address, link_address = self.addresses
        revision = self._known.replica.revision
        asked = LeaseRequest(
            zone=self._context.identity.zone,
            sequence=self.lease.record_request(now_seconds),
            in_force_revision=revision,
            lacking_agents=self._table.count_lacking(revision),
            caller_address=caller_address,
            link_address=link_address,
            leaving=self.leaving,
            backends=self._table.summary() if self.is_tracker else {},
        )
        leader.send(asked)
        if now_seconds - self._directory_asked_seconds > DIRECTORY_REFRESH_SECONDS:
            self._directory_asked_seconds = now_seconds
            leader.send(DirectoryRequest(self._directory_revision))

    def _opened(self, link: Link) -> None:
        if link.peer and link.peer.role in {Role.control, Role.relay}:
            self._links.add(link)
            link.send(self._known.replica.subscription())

    def _closed(self, link: Link) -> None:
        self._links.remove(link)

    def _noticed(self, link: Link, notice: LeaderNotice) -> None:
        if self._links.record_notice(link, notice):
            events.log(LEADER_CHANGED, leader=notice.leader, term=notice.term)
            self.renew()

    def _granted(self, link: Link, grant: LeaseGrant) -> None:
        now_seconds = self._context.reactor.seconds()
        was_live = self.lease.is_live(now_seconds)
        self.lease.record_reply(grant.sequence, grant.lease_seconds, grant.number)
        self.is_tracker = grant.is_tracker
        is_live = self.lease.is_live(now_seconds)
        if is_live is not was_live:
            events.log(LEASE_HELD if is_live else LEASE_LOST, lease_number=grant.number)
        if grant.directory_revision != self._directory_revision:
            link.send(DirectoryRequest(self._directory_revision))

    def _directory_received(self, _link: Link, directory: Directory) -> None:
        self._directory_revision = directory.revision
        self.directory = directory.entries


class _LeaderTable:
    """The connected control hosts or relays, and who leads in the highest term heard of.

    Control hosts of one term name one leader. Relays each name themselves: the
    first one stays while its link lives, then another takes its place.
    """

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._heard: dict[str, LeaderNotice] = {}
        self._leader = ''
        self._term = -1

    def add(self, link: Link) -> None:
        if link.peer:
            self._links[link.peer.name] = link

    def remove(self, link: Link) -> None:
        if link.peer and self._links.get(link.peer.name) is link:
            del self._links[link.peer.name]
            self._heard.pop(link.peer.name, None)

    def leader(self) -> Link | None:
        if self._leader not in self._links:
            self._fall_back()
        return self._links.get(self._leader)

    def record_notice(self, link: Link, notice: LeaderNotice) -> bool:
        """Takes a notice; tells whether the leader is another one now."""
        if notice.term < self._term or not notice.leader:
            return False
        if link.peer:
            self._heard[link.peer.name] = notice
        if notice.term == self._term and self._leader in self._links:
            return False
        changed = notice.leader != self._leader
        self._term = notice.term
        self._leader = notice.leader
        return changed

    def _fall_back(self) -> None:
        for notice in self._heard.values():
            if notice.term >= self._term and notice.leader in self._links:
                self._leader = notice.leader
                return


def _make_dialers(context: ProcessContext, switchboard: Switchboard) -> list[Any]:
    settings = context.settings.entry
    addresses = settings.control if settings else []
    rng = random.Random(context.identity.incarnation)
    return [
        Dialer(context.reactor, address, context.link_settings, switchboard, rng)
        for address in addresses
    ]
