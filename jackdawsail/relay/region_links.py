"""The relay's links: to the control hosts on one side, to the entries on the other."""

from dataclasses import dataclass, field
from typing import Any

from jackdawsail import events
from jackdawsail.relay.region_book import RegionBook
from jackdawsail.state.replica import StateReplica, UpdateOutcome
from jackdawsail.switchboard import Switchboard
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

LEADER_FOUND = events.define(270, 'info', 'relay has found the control leader')
LEADER_LOST = events.define(
    271, 'warning', 'relay has lost the control leader; entries are let go'
)


@dataclass(slots=True)
class RegionLinks:
    """Keeps the book in touch with both sides."""

    reactor: Any
    switchboard: Switchboard
    replica: StateReplica
    book: RegionBook
    own_name: str
    lease_seconds: float
    leader: Link | None = None
    term: int = -1
    directory: Directory = field(default_factory=lambda: Directory(0, []))
    answered_at_seconds: float = 0

    def renew(self) -> None:
        """Asks the leader for the leases of the region; lets entries go without one."""
        now_seconds = self.reactor.seconds()
        if self.leader is None:
            self._let_entries_go(now_seconds)
            return
        self.leader.send(self.book.make_request(self.replica.revision, now_seconds))
        self._let_entries_go(now_seconds)

    def opened(self, link: Link) -> None:
        """Subscribes at a control host; tells an entry that this relay serves it."""
        role = _role(link)
        if role is Role.control:
            link.send(self.replica.subscription())
        elif role is Role.entry and self.leader is not None:
            link.send(self._notice())

    def closed(self, link: Link) -> None:
        """Forgets a leader whose link has ended."""
        if link is self.leader:
            self.leader = None
            self.book.leader_changed()

    def noticed(self, link: Link, notice: LeaderNotice) -> None:
        """Follows the leader of the highest term."""
        if notice.is_self and notice.term >= self.term and link is not self.leader:
            self.term = notice.term
            self.leader = link
            self.answered_at_seconds = self.reactor.seconds()
            self.book.leader_changed()
            events.log(LEADER_FOUND, leader=notice.leader, term=notice.term)
            self._tell_entries()
        elif link is self.leader and not notice.is_self:
            self.closed(link)

    def received_state(self, link: Link, received: StateSnapshot | StateDelta) -> None:
        """Takes a revision from a control host; a gap asks anew."""
        if self.replica.apply_update(received) is UpdateOutcome.gap:
            link.send(self.replica.subscription())

    def asked(self, link: Link, request: LeaseRequest) -> None:
        """Answers an entry from the leases that are held."""
        entry = link.peer
        if entry is None or request.zone != entry.zone:
            return
        grant = self.book.ask(entry, request, self.reactor.seconds())
        if grant is not None:
            link.send(grant)

    def granted(self, link: Link, grant: RelayGrant) -> None:
        """Takes the leader's answer, and its directory when that has changed."""
        if link is not self.leader:
            return
        self.answered_at_seconds = self.reactor.seconds()
        self.book.take(grant, self.lease_seconds)
        if grant.directory_revision != self.directory.revision:
            link.send(DirectoryRequest(self.directory.revision))

    def asked_directory(self, link: Link, request: DirectoryRequest) -> None:
        """Sends an entry the directory that this relay holds."""
        if request.revision != self.directory.revision:
            link.send(self.directory)

    def received_directory(self, _link: Link, directory: Directory) -> None:
        """Takes the leader's directory."""
        self.directory = directory

    def _let_entries_go(self, now_seconds: float) -> None:
        if now_seconds - self.answered_at_seconds < LEADER_LOST_SECONDS:
            return
        # An entry that is let go turns to its other relay; this one cannot help it.
        self.answered_at_seconds = now_seconds
        events.log(LEADER_LOST)
        for link in self._entries():
            link.close('relay has no leader')

    def _tell_entries(self) -> None:
        for link in self._entries():
            link.send(self._notice())

    def _entries(self) -> list[Link]:
        return [link for link in self.switchboard.links if _role(link) is Role.entry]

    def _notice(self) -> LeaderNotice:
        return LeaderNotice(self.own_name, max(self.term, 0), is_self=True)


def connect_region_links(links: RegionLinks) -> RegionLinks:
    """Registers every message that the relay handles itself."""
    switchboard = links.switchboard
    switchboard.watch(links.opened, links.closed)
    switchboard.on(LeaderNotice, links.noticed)
    switchboard.on(StateSnapshot, links.received_state)
    switchboard.on(StateDelta, links.received_state)
    switchboard.on(LeaseRequest, links.asked)
    switchboard.on(RelayGrant, links.granted)
    switchboard.on(DirectoryRequest, links.asked_directory)
    switchboard.on(Directory, links.received_directory)
    return links


def _role(link: Link) -> Role | None:
    return link.peer.role if link.peer else None
