"""Answers lease requests of relays: one grant holds the leases of a whole region."""

import dataclasses
from dataclasses import dataclass, field

from jackdawsail.control.lease_handler import LeaseHandler
from jackdawsail.message_router import MessageRouter
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

ReportsByNumber = dict[int, RelayedEntry]


@dataclass(slots=True)
class RelayHandler:
    """Keeps what each relay has reported about its entries; soft state of one term."""

    lease_handler: LeaseHandler
    reports: dict[Link, ReportsByNumber] = field(default_factory=dict)
    reports_term: int = 0

    def request(self, link: Link, request: RelayRequest) -> None:
        """Grants the leases of the zones whose entries the relay reports.

        The answer lists the numbers that are unknown here, so that the relay reports those
        entries in full.
        """
        if (
            link.peer is None
            or link.peer.role is not Role.relay
            or not self.lease_handler.check_leadership()
        ):
            return
        if self.reports_term != self.lease_handler.led_term:
            self.reports.clear()
            self.reports_term = self.lease_handler.led_term
        reports = self.reports.setdefault(link, {})
        reports.update({entry.number: entry for entry in request.fresh})
        alive = [number for number in request.alive if number in reports]
        self.reports[link] = {number: reports[number] for number in alive}
        grants = {
            number: self.lease_handler.grant(
                reports[number].identity, _current_request(reports[number], request)
            )
            for number in alive
        }
        unknown = [number for number in request.alive if number not in reports]
        link.send(self._make_grant(request, grants, unknown))

    def link_closed(self, link: Link) -> None:
        """Discards the reports of a relay."""
        self.reports.pop(link, None)

    def _make_grant(
        self, request: RelayRequest, grants: dict[int, LeaseGrant], unknown: list[int]
    ) -> RelayGrant:
        zones = {grant.zone: grant.lease_seconds for grant in grants.values()}
        return RelayGrant(
            sequence=request.sequence,
            zones=[ZoneLease(zone, seconds) for zone, seconds in sorted(zones.items())],
            trackers=[number for number, grant in grants.items() if grant.is_tracker],
            unknown=unknown,
            number=max((grant.number for grant in grants.values()), default=0),
            directory_revision=self.lease_handler.leases.directory_revision,
        )


def make_relay_handler(router: MessageRouter, lease_handler: LeaseHandler) -> RelayHandler:
    """Creates the handler and registers it on the links of relays."""
    relay_handler = RelayHandler(lease_handler)
    router.register_handler(RelayRequest, relay_handler.request)
    router.watch_links(_ignore, relay_handler.link_closed)
    return relay_handler


def _current_request(entry: RelayedEntry, request: RelayRequest) -> LeaseRequest:
    """Returns the last full report of an entry, updated to the relay's current request."""
    for lagging in request.lagging:
        if lagging.number == entry.number:
            return _lagging_request(entry, lagging)
    return dataclasses.replace(entry.request, in_force_revision=request.revision, lacking_agents=0)


def _lagging_request(entry: RelayedEntry, lagging: LaggingEntry) -> LeaseRequest:
    return dataclasses.replace(
        entry.request,
        in_force_revision=lagging.in_force_revision,
        lacking_agents=lagging.lacking_agents,
    )


def _ignore(_link: Link) -> None:
    """Ignores an opened link."""
