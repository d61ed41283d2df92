"""The relay's links: to the control hosts on one side, to the entries on the other."""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail import events
from jackdawsail.message_router import MessageRouter
from jackdawsail.relay.region_table import RegionTable
from jackdawsail.state.replica import StateReplica, UpdateOutcome
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import (
    Directory,
    DirectoryRequest,
    LeaderNotice,
    LeaseRequest,
    StateDelta,
    StateSnapshot,
)
from jackdawsail.wire.relay_messages import RelayGrant

LEADER_LOST_SECONDS = 3.0

LEADER_FOUND = events.define(270, 'info', 'relay found the control leader')
LEADER_LOST = events.define(
    271, 'warning', 'relay lost the control leader; entries are disconnected'
)


@dataclass(slots=True)
class RegionLinks:
    """Handles the messages between the entries, the region's table and the leader."""

    reactor: Any
    router: MessageRouter
    replica: StateReplica
    table: RegionTable
    own_name: str
    lease_seconds: float
    leader: Link | None = None
    term: int = -1
    directory: Directory = field(default_factory=lambda: Directory(0, []))
    answered_at_seconds: float = 0

    def renew(self) -> None:
        """Requests the region's leases; disconnects the entries if the leader is lost."""
        now_seconds = self.reactor.seconds()
        if self.leader is None:
            self._disconnect_entries_if_leader_lost(now_seconds)
            return
        self.leader.send(self.table.make_request(self.replica.revision, now_seconds))
        self._disconnect_entries_if_leader_lost(now_seconds)

    def link_opened(self, link: Link) -> None:
        """Subscribes at a control host, or presents this relay as the leader to an entry."""
        role = _role(link)
        if role is Role.control:
            link.send(self.replica.subscription())
        elif role is Role.entry and self.leader is not None:
            link.send(self._leader_notice())

    def link_closed(self, link: Link) -> None:
        """Discards the leader if its link has closed."""
        if link is self.leader:
            self.leader = None
            self.table.leader_changed()

    def on_leader_notice(self, link: Link, notice: LeaderNotice) -> None:
        """Follows the leader of the highest term; discards one that no longer leads."""
        if notice.is_self and notice.term >= self.term and link is not self.leader:
            self.term = notice.term
            self.leader = link
            self.answered_at_seconds = self.reactor.seconds()
            self.table.leader_changed()
            events.log(LEADER_FOUND, leader=notice.leader, term=notice.term)
            self._notify_entries()
        elif link is self.leader and not notice.is_self:
            self.link_closed(link)

    def on_state(self, link: Link, received: StateSnapshot | StateDelta) -> None:
        """Applies state from a control host; subscribes again if a revision is missing."""
        if self.replica.apply_update(received) is UpdateOutcome.gap:
            link.send(self.replica.subscription())

    def on_lease_request(self, link: Link, request: LeaseRequest) -> None:
        """Answers an entry from the held leases; sends nothing if none is valid."""
        entry = link.peer
        if entry is None or request.zone != entry.zone:
            return
        grant = self.table.grant_lease(entry, request, self.reactor.seconds())
        if grant is not None:
            link.send(grant)

    def on_grant(self, link: Link, grant: RelayGrant) -> None:
        """Applies a grant of the leader; requests its directory if that has changed."""
        if link is not self.leader:
            return
        self.answered_at_seconds = self.reactor.seconds()
        self.table.apply_grant(grant, self.lease_seconds)
        if grant.directory_revision != self.directory.revision:
            link.send(DirectoryRequest(self.directory.revision))

    def on_directory_request(self, link: Link, request: DirectoryRequest) -> None:
        """Sends the held directory unless the entry has the current revision."""
        if request.revision != self.directory.revision:
            link.send(self.directory)

    def on_directory(self, _link: Link, directory: Directory) -> None:
        """Stores the directory of the leader."""
        self.directory = directory

    def _disconnect_entries_if_leader_lost(self, now_seconds: float) -> None:
        if now_seconds - self.answered_at_seconds < LEADER_LOST_SECONDS:
            return
        # A disconnected entry switches to its other relay; this one cannot serve it.
        self.answered_at_seconds = now_seconds
        events.log(LEADER_LOST)
        for link in self._entries():
            link.close('relay has no leader')

    def _notify_entries(self) -> None:
        for link in self._entries():
            link.send(self._leader_notice())

    def _entries(self) -> list[Link]:
        return self.router.links_to(Role.entry)

    def _leader_notice(self) -> LeaderNotice:
        return LeaderNotice(self.own_name, max(self.term, 0), is_self=True)


def connect_region_links(links: RegionLinks) -> RegionLinks:
    """Registers the handlers of all messages that the relay does not merely forward."""
    router = links.router
    router.watch_links(links.link_opened, links.link_closed)
    router.register_handler(LeaderNotice, links.on_leader_notice)
    router.register_handler(StateSnapshot, links.on_state)
    router.register_handler(StateDelta, links.on_state)
    router.register_handler(LeaseRequest, links.on_lease_request)
    router.register_handler(RelayGrant, links.on_grant)
    router.register_handler(DirectoryRequest, links.on_directory_request)
    router.register_handler(Directory, links.on_directory)
    return links


def _role(link: Link) -> Role | None:
    return link.peer.role if link.peer else None
