"""Answers the relays: the leader grants the leases of a whole region at once."""

import dataclasses
from dataclasses import dataclass, field

from jackdawsail.control.lease_handler import LeaseHandler
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import LeaseGrant, LeaseRequest
from jackdawsail.wire.relay_messages import (
    LaggingEntry,
    RelayedEntry,
    RelayGrant,
    RelayRequest,
    ZoneLease,
)

Known = dict[int, RelayedEntry]


@dataclass(slots=True)
class RelayDesk:
    """Remembers what each relay has said of its entries; soft state of one term."""

    desk: LeaseHandler
    known: dict[Link, Known] = field(default_factory=dict)
    known_term: int = 0

    def request(self, link: Link, request: RelayRequest) -> None:
        """Grants the leases of the zones whose entries the relay reports."""
        if link.peer is None or link.peer.role is not Role.relay or not self.desk.leads():
            return
        if self.known_term != self.desk.led_term:
            self.known.clear()
            self.known_term = self.desk.led_term
        known = self.known.setdefault(link, {})
        known.update({entry.number: entry for entry in request.fresh})
        alive = [number for number in request.alive if number in known]
        self.known[link] = {number: known[number] for number in alive}
        grants = {
            number: self.desk.grant(known[number].identity, _current(known[number], request))
            for number in alive
        }
        unknown = [number for number in request.alive if number not in known]
        link.send(self._sum_up(request, grants, unknown))

    def link_closed(self, link: Link) -> None:
        """Forgets a relay."""
        self.known.pop(link, None)

    def _sum_up(
        self, request: RelayRequest, grants: dict[int, LeaseGrant], unknown: list[int]
    ) -> RelayGrant:
        zones = {grant.zone: grant.lease_seconds for grant in grants.values()}
        return RelayGrant(
            sequence=request.sequence,
            zones=[ZoneLease(zone, seconds) for zone, seconds in sorted(zones.items())],
            trackers=[number for number, grant in grants.items() if grant.is_tracker],
            unknown=unknown,
            number=max((grant.number for grant in grants.values()), default=0),
            directory_revision=self.desk.leases.directory_revision,
        )


def make_relay_desk(switchboard: Switchboard, desk: LeaseHandler) -> RelayDesk:
    """Makes the desk and connects it to the links of relays."""
    relay_desk = RelayDesk(desk)
    switchboard.on(RelayRequest, relay_desk.request)
    switchboard.watch(_ignore, relay_desk.link_closed)
    return relay_desk


def _current(entry: RelayedEntry, request: RelayRequest) -> LeaseRequest:
    """Brings the remembered report up to date with the relay's revision."""
    for lagging in request.lagging:
        if lagging.number == entry.number:
            return _lagging(entry, lagging)
    return dataclasses.replace(entry.request, in_force_revision=request.revision, lacking_agents=0)


def _lagging(entry: RelayedEntry, lagging: LaggingEntry) -> LeaseRequest:
    return dataclasses.replace(
        entry.request,
        in_force_revision=lagging.in_force_revision,
        lacking_agents=lagging.lacking_agents,
    )


def _ignore(_link: Link) -> None:
    """Takes a call that needs no answer."""
