"""An entry's links to the control hosts: leader, zone lease, state and directory."""

import random
from typing import Any

from jackdawsail import events
from jackdawsail.entry.state_fanout import StateFanout
from jackdawsail.loops import make_loop
from jackdawsail.membership.leases import Lease
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
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
LEASE_LOST = events.define(301, 'warning', 'data centre lost its in-service lease')
LEASE_HELD = events.define(302, 'info', 'data centre holds an in-service lease')


class ControlLinks:
    """Tracks the control leader, renews the zone's lease and refreshes the directory."""

    def __init__(
        self,
        context: ProcessContext,
        router: MessageRouter,
        state: StateFanout,
        table: ZoneTable,
    ) -> None:
        self.lease = Lease()
        self.is_tracker = False
        self.directory: list[DirectoryEntry] = []
        self.leaving = False
        self.addresses = ('', '')
        self._context = context
        self._state = state
        self._table = table
        self._links = _LeaderTable()
        self._directory_requested_seconds: float = 0
        self._directory_revision = -1
        self._loop = make_loop(context.reactor, self.renew)
        self._dialers = _make_dialers(context, router)
        router.watch_links(self._on_link_opened, self._on_link_closed)
        router.register_handler(LeaderNotice, self._on_leader_notice)
        router.register_handler(LeaseGrant, self._on_lease_grant)
        router.register_handler(Directory, self._on_directory)

    def start(self, caller_address: str, link_address: str) -> None:
        """Dials every control host and starts the lease requests."""
        self.addresses = (caller_address, link_address)
        for dialer in self._dialers:
            dialer.start()
        self._loop.start(LEASE_REQUEST_SECONDS)

    def stop(self) -> None:
        """Stops the lease requests and closes the links."""
        if self._loop.running:
            self._loop.stop()
        for dialer in self._dialers:
            dialer.stop()

    def leader(self) -> Link | None:
        """Returns the link to the leader, or None while no known leader is connected."""
        return self._links.leader()

    def renew(self) -> None:
        """Requests the zone's lease from the leader, and the directory if it is due."""
        leader = self.leader()
        if leader is None:
            return
        now_seconds = self._context.reactor.seconds()
        caller_address, link_address = self.addresses
        revision = self._state.replica.revision
        request = LeaseRequest(
            zone=self._context.identity.zone,
            sequence=self.lease.record_request(now_seconds),
            in_force_revision=revision,
            lacking_agents=self._table.count_lacking(revision),
            caller_address=caller_address,
            link_address=link_address,
            leaving=self.leaving,
            backends=self._table.summary() if self.is_tracker else {},
        )
        leader.send(request)
        if now_seconds - self._directory_requested_seconds > DIRECTORY_REFRESH_SECONDS:
            self._directory_requested_seconds = now_seconds
            leader.send(DirectoryRequest(self._directory_revision))

    def _on_link_opened(self, link: Link) -> None:
        if link.peer and link.peer.role in {Role.control, Role.relay}:
            self._links.add(link)
            link.send(self._state.replica.subscription())

    def _on_link_closed(self, link: Link) -> None:
        self._links.remove(link)

    def _on_leader_notice(self, link: Link, notice: LeaderNotice) -> None:
        if self._links.record_notice(link, notice):
            events.log(LEADER_CHANGED, leader=notice.leader, term=notice.term)
            self.renew()

    def _on_lease_grant(self, link: Link, grant: LeaseGrant) -> None:
        now_seconds = self._context.reactor.seconds()
        was_live = self.lease.is_live(now_seconds)
        self.lease.record_reply(grant.sequence, grant.lease_seconds, grant.number)
        self.is_tracker = grant.is_tracker
        is_live = self.lease.is_live(now_seconds)
        if is_live is not was_live:
            events.log(LEASE_HELD if is_live else LEASE_LOST, lease_number=grant.number)
        if grant.directory_revision != self._directory_revision:
            link.send(DirectoryRequest(self._directory_revision))

    def _on_directory(self, _link: Link, directory: Directory) -> None:
        self._directory_revision = directory.revision
        self.directory = directory.entries


class _LeaderTable:
    """The connected control hosts or relays, and the leader of the highest known term.

    Control hosts of one term name the same leader. Each relay names itself: the
    first one stays the leader while its link is open, then another replaces it.
    """

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}
        self._notices: dict[str, LeaderNotice] = {}
        self._leader = ''
        self._term = -1

    def add(self, link: Link) -> None:
        if link.peer:
            self._links[link.peer.name] = link

    def remove(self, link: Link) -> None:
        if link.peer and self._links.get(link.peer.name) is link:
            del self._links[link.peer.name]
            self._notices.pop(link.peer.name, None)

    def leader(self) -> Link | None:
        if self._leader not in self._links:
            self._choose_fallback_leader()
        return self._links.get(self._leader)

    def record_notice(self, link: Link, notice: LeaderNotice) -> bool:
        """Records a notice; returns whether the leader has changed."""
        if notice.term < self._term or not notice.leader:
            return False
        if link.peer:
            self._notices[link.peer.name] = notice
        if notice.term == self._term and self._leader in self._links:
            return False
        changed = notice.leader != self._leader
        self._term = notice.term
        self._leader = notice.leader
        return changed

    def _choose_fallback_leader(self) -> None:
        for notice in self._notices.values():
            if notice.term >= self._term and notice.leader in self._links:
                self._leader = notice.leader
                return


def _make_dialers(context: ProcessContext, router: MessageRouter) -> list[Any]:
    settings = context.settings.entry
    addresses = settings.control if settings else []
    rng = random.Random(context.identity.incarnation)
    return [
        Dialer(context.reactor, address, context.link_settings, router, rng)
        for address in addresses
    ]
