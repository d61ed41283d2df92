"""Holds the shares of the urgency classes of each service, and exchanges the demand by class.

Services whose calls are all of one rank have none, and nothing is sent or decided for them.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from jackdawsail.routing.rank_shares import MAX_CLASSES, Demand, RankShares, UrgencyClasses
from jackdawsail.site.document import CallKind, Customer, Route, SiteDocument
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import RankDemandReported

REPORT_SECONDS = 0.25
MAX_REPORT_SECONDS = 0.8  # two of three reports may be lost before the last one is too old
REPORTS_PER_SECOND = 200  # that an entry gets at most, until the interval is the longest


@dataclass(slots=True)
class RankControl:
    """The shares of the services whose calls differ in rank, by service."""

    clock: Any
    view: SiteView
    address: str
    _document: SiteDocument | None = None
    _by_service: dict[str, RankShares] = field(default_factory=dict)
    _others: frozenset[str] = frozenset()
    _reported_seconds: float = 0

    def of(self, service: str) -> RankShares | None:
        """Returns the shares of a service; None if all its calls are of one rank."""
        return self._by_service.get(service)

    def urgency_of(self, service: str, route: Route, customer: Customer | None) -> int | None:
        """Returns the urgency class of a call; None if all calls of its service are of one rank."""
        shares = self._by_service.get(service)
        return None if shares is None else shares.classes.class_of(rank_of(route, customer))

    def site_changed(self) -> None:
        """Applies the ranks of a new document; shares are kept where the ranks are the same."""
        entries = {entry.address for entry in self.view.sharing_entries}
        self._others = frozenset(entries - {self.address})
        table = self.view.table
        if table is None or table.document is self._document:
            return
        self._document = table.document
        kept, self._by_service = self._by_service, {}
        for service in self._document.services:
            ranks = ranks_of(self._document, service.name)
            if service.engine is None or len(ranks) < 2:
                continue
            shares = kept.get(service.name)
            if shares is None or shares.classes.ranks != ranks:
                shares = RankShares(UrgencyClasses(ranks))
            self._by_service[service.name] = shares

    def take_reports(self) -> list[RankDemandReported]:
        """Returns what to report to the other entries now: nothing while no call is refused."""
        now_seconds = self.clock.seconds()
        interval_seconds = max(REPORT_SECONDS, len(self._others) / REPORTS_PER_SECOND)
        interval_seconds = min(MAX_REPORT_SECONDS, interval_seconds)
        if now_seconds - self._reported_seconds < interval_seconds:
            return []
        scarce = {
            service: shares
            for service, shares in self._by_service.items()
            if shares.is_scarce(now_seconds)
        }
        if scarce:
            self._reported_seconds = now_seconds
        return [self._report(service, shares) for service, shares in scarce.items()]

    def receive(self, message: RankDemandReported) -> None:
        """Records the demand at another listed entry that has the same document."""
        shares = self._by_service.get(message.service)
        is_known = message.entry in self._others
        if shares is None or not is_known or not self._is_valid(message):
            return
        demand = Demand(
            tuple(message.asked_seconds), tuple(message.admitted_seconds), message.asked_calls
        )
        shares.receive(message.entry, demand, self.clock.seconds(), refuses=message.refuses)

    def _is_valid(self, message: RankDemandReported) -> bool:
        """Returns whether a report has the classes of our document and possible amounts."""
        if message.document_version != self.view.document_version:
            return False
        amounts = (message.asked_seconds, message.admitted_seconds)
        if any(len(each) != MAX_CLASSES for each in amounts):
            return False
        return all(0 <= amount < math.inf for each in amounts for amount in each)

    def _report(self, service: str, shares: RankShares) -> RankDemandReported:
        now_seconds = self.clock.seconds()
        demand = shares.own.total(now_seconds)
        return RankDemandReported(
            self.address,
            service,
            self.view.document_version,
            shares.refusals.is_active(now_seconds),
            demand.asked_calls,
            list(demand.asked_seconds),
            list(demand.admitted_seconds),
        )


def rank_of(route: Route, customer: Customer | None) -> int:
    """Returns the rank of a call; the customer's overrides that of the route."""
    if customer is None or customer.urgency_rank is None:
        return route.urgency_rank
    return customer.urgency_rank


def ranks_of(document: SiteDocument, service: str) -> tuple[int, ...]:
    """Returns the ranks that streams of a service may have, ascending and without repeats."""
    return tuple(sorted(set(_possible_ranks(document, service))))


def _possible_ranks(document: SiteDocument, service: str) -> Iterable[int]:
    for route in document.routes:
        services = {share.service for share in route.shares if share.weight > 0}
        if route.kind is not CallKind.stream or service not in services:
            continue
        if route.is_public or not document.customers:
            yield rank_of(route, None)
        for customer in document.customers:
            yield rank_of(route, customer)
