"""Answers lease and directory requests of entries, and notifies them of the leader."""

from dataclasses import dataclass
from typing import Any

from jackdawsail import events
from jackdawsail.consensus.interfaces import Replicator
from jackdawsail.control.call_queries import answer_call_queries
from jackdawsail.control.fanout import RevisionFanout
from jackdawsail.control.zone_leases import ZoneLeases, ZoneRule
from jackdawsail.message_router import MessageRouter
from jackdawsail.state.machine import ControlState
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import (
    Directory,
    DirectoryRequest,
    LeaderNotice,
    LeaseGrant,
    LeaseRequest,
    Leaving,
)

LEADERSHIP_BEGUN = events.define(250, 'info', 'this control host leads')
LEADERSHIP_ENDED = events.define(251, 'info', 'this control host no longer leads')


@dataclass(slots=True)
class LeaseHandler:
    """Grants leases only while this host's leader lease holds; else it sends no answer.

    ``led_term`` is the term that this host leads, or 0 while it does not lead.
    """

    reactor: Any
    router: MessageRouter
    replicator: Replicator
    state: ControlState
    leases: ZoneLeases
    fan_out: RevisionFanout
    led_term: int = 0

    def check_leadership(self) -> bool:
        """Returns whether this host leads; also handles the start and end of its leadership."""
        leads = self.replicator.is_leader()
        term = self.replicator.term() if leads else 0
        if term != self.led_term:
            self._change_term(term)
        return leads

    def on_lease_request(self, link: Link, request: LeaseRequest) -> None:
        """Grants the lease of an entry's zone; zero seconds if the zone is out of service."""
        entry = link.peer
        if entry is None or not self.check_leadership() or request.zone != entry.zone:
            return
        link.send(self.grant(entry, request))
        self.fan_out.catch_up(link, request.in_force_revision)

    def grant(self, entry: Identity, request: LeaseRequest) -> LeaseGrant:
        """Returns the lease of an entry's zone; must only be called while this host leads."""
        return self.leases.grant(request, entry, self._zone_rule(entry), self.reactor.seconds())

    def on_directory_request(self, link: Link, request: DirectoryRequest) -> None:
        """Sends the directory of entries unless the sender holds the current revision."""
        if self.check_leadership() and request.revision != self.leases.directory_revision:
            link.send(Directory(self.leases.directory_revision, self.leases.directory()))

    def link_opened(self, link: Link) -> None:
        """Notifies a new entry or relay of the leader."""
        if link.peer is not None and link.peer.role in {Role.entry, Role.relay}:
            link.send(self._leader_notice())

    def leadership_changed(self) -> None:
        """Notifies every entry and relay of the leader."""
        self.check_leadership()
        for link in list(self.router.links):
            self.link_opened(link)

    def _change_term(self, term: int) -> None:
        self.led_term = term
        if not term:
            events.log(LEADERSHIP_ENDED)
            return
        events.log(LEADERSHIP_BEGUN, term=term)
        self.leases.become_leader(term, self.reactor.seconds())

    def _zone_rule(self, entry: Identity) -> ZoneRule:
        records = self.state.tables.records
        zone = records.get(f'zone/{entry.zone}')
        # A data centre that the configuration does not name is out of service.
        in_service = zone is not None and zone['mode'] == 'in'
        return ZoneRule(in_service, f'host/{entry.name}' in records)

    def _leader_notice(self) -> LeaderNotice:
        return LeaderNotice(
            self.replicator.leader_name(), self.replicator.term(), self.replicator.is_leader()
        )


def connect_lease_handler(handler: LeaseHandler) -> LeaseHandler:
    """Registers a handler on the links of its router."""
    router = handler.router
    router.register_handler(LeaseRequest, handler.on_lease_request)
    router.register_handler(DirectoryRequest, handler.on_directory_request)
    # Lease requests report a graceful stop too, so the notice itself changes nothing here.
    router.register_handler(Leaving, _ignore)
    router.watch_links(handler.link_opened, _ignore)
    answer_call_queries(router, handler.state, handler.replicator)
    return handler


def _ignore(_link: Link, _message: Any = None) -> None:
    """Ignores a message or event."""
