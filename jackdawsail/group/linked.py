"""Tracks the entries and agents that are linked to a control host, and their status."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsail import events
from jackdawsail.group.directory import KnownEntry
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.site_messages import EntryStatus, MemberHost, Members

ENTRY_CHANGED = events.define(243, 'info', 'entry accepts callers, or no longer')


@dataclass(slots=True)
class LinkedProcesses:
    """Owns the list of linked entries and agents of one control host."""

    own_name: str
    router: MessageRouter
    _statuses: dict[Link, EntryStatus] = field(default_factory=dict)

    def start(self) -> None:
        """Subscribes to closed links and to the status messages of entries."""
        self.router.watch_links(lambda link: None, self._link_closed)
        self.router.register_handler(EntryStatus, self._on_status)

    def entries(self) -> Iterator[KnownEntry]:
        """Yields the linked entries that accept callers."""
        for link, status in self._statuses.items():
            if link.peer is not None and status.accepts:
                yield KnownEntry(status.callers_address, link.peer.zone, link.peer.region)

    def members(self, controls: list[str]) -> Members:
        """Returns the control hosts, entries and agents, for the processes that must find them.

        ``controls`` are the host names of the linked control hosts; this host is added.
        """
        return Members(
            controls=sorted({*controls, self.own_name}),
            entries=self._hosts(Role.entry),
            agents=self._hosts(Role.agent),
        )

    def _hosts(self, role: Role) -> list[MemberHost]:
        by_address = {
            host.address: host for host in map(self._as_host, self.router.links_to(role))
        }
        return [by_address[address] for address in sorted(by_address)]

    def _as_host(self, link: Link) -> MemberHost:
        status = self._statuses.get(link)
        peer = link.peer
        if peer is None:
            raise AssertionError('only links of known peers are listed')
        leaving = status is not None and not status.accepts
        return MemberHost(peer.name, peer.zone, peer.region, leaving)

    def _on_status(self, link: Link, status: EntryStatus) -> None:
        if self._statuses.get(link) != status:
            name = link.peer.name if link.peer else ''
            events.log(ENTRY_CHANGED, entry=name, accepts=status.accepts)
        self._statuses[link] = status

    def _link_closed(self, link: Link) -> None:
        status = self._statuses.pop(link, None)
        if status is not None:
            name = link.peer.name if link.peer else ''
            events.log(ENTRY_CHANGED, entry=name, accepts=False)
