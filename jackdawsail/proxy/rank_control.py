"""Holds the shares of the urgency classes of each service, and exchanges the demand by class.

Services whose calls are all of one rank have none, and nothing is sent or decided for them.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from jackdawsail import events
from jackdawsail.proxy import metrics
from jackdawsail.routing.rank_shares import (
    MAX_CLASSES,
    Demand,
    Fractions,
    Rank,
    RankShares,
    UrgencyClasses,
)
from jackdawsail.site.document import CallKind, Customer, Route, Service, SiteDocument
from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import RankDemandReported

REPORT_SECONDS = 0.4  # four of five reports may be lost before the last one is too old
MAX_REPORT_SECONDS = 0.8  # on the largest sites, where one of two may be lost
MILLISECONDS_PER_SECOND = 1000
MAX_REPORTED_MILLISECONDS = 10**9  # far more than an entry can admit in a window
REPORTS_PER_SECOND = 200  # to one entry, above which the interval grows to the longest one

SHARES_APPLY = events.define(
    440, 'warning', 'calls are refused; the engines of a service are divided by urgency'
)
SHARES_END = events.define(441, 'info', 'engines of a service are no longer divided by urgency')


@dataclass(slots=True)
class RankControl:
    """The shares of the services whose calls differ in rank, by service."""

    clock: Any
    view: SiteView
    address: str
    _document: SiteDocument | None = None
    _by_service: dict[str, RankShares] = field(default_factory=dict)
    _others: frozenset[str] = frozenset()
    _scarce: set[str] = field(default_factory=set)
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
        kept = self._by_service
        self._by_service = {}
        for service in self._document.services:
            ranks = ranks_of(self._document, service)
            if len(ranks) > 1:
                self._by_service[service.name] = _keep_or_make(kept.get(service.name), ranks)

    def take_reports(self) -> list[RankDemandReported]:
        """Returns what to report to the other entries now: nothing while no call is refused."""
        now_seconds = self.clock.seconds()
        scarce = [
            service
            for service, shares in self._by_service.items()
            if shares.is_scarce(now_seconds)
        ]
        self._log_changes(set(scarce))
        interval_seconds = max(REPORT_SECONDS, len(self._others) / REPORTS_PER_SECOND)
        interval_seconds = min(MAX_REPORT_SECONDS, interval_seconds)
        if now_seconds - self._reported_seconds < interval_seconds:
            return []
        self._reported_seconds = now_seconds
        return [self._report(service, self._by_service[service]) for service in scarce]

    def receive(self, message: RankDemandReported) -> None:
        """Records the demand at another listed entry that has the same document."""
        shares = self._by_service.get(message.service)
        if shares is None or message.entry not in self._others:
            return
        if not self._is_valid(message, shares.classes.count):
            return
        demand = Demand(
            _as_seconds(message.asked_milliseconds),
            _as_seconds(message.admitted_milliseconds),
            message.asked_calls,
        )
        shares.receive(message.entry, demand, self.clock.seconds(), refuses=message.refuses)

    def _is_valid(self, message: RankDemandReported, classes: int) -> bool:
        """Returns whether a report has the classes of our document and possible amounts."""
        if message.document_version != self.view.document_version:
            return False
        amounts = (message.asked_milliseconds, message.admitted_milliseconds)
        if any(len(each) != classes for each in amounts):
            return False
        return all(0 <= amount <= MAX_REPORTED_MILLISECONDS for each in amounts for amount in each)

    def _log_changes(self, scarce: set[str]) -> None:
        for service in scarce - self._scarce:
            events.log(SHARES_APPLY, service=service)
        for service in self._scarce - scarce:
            events.log(SHARES_END, service=service)
            _show_shares(service, Fractions())
        self._scarce = scarce

    def _report(self, service: str, shares: RankShares) -> RankDemandReported:
        now_seconds = self.clock.seconds()
        _show_shares(service, shares.fractions)
        demand = shares.own.total(now_seconds)
        return RankDemandReported(
            self.address,
            service,
            self.view.document_version,
            shares.refusals.is_active(now_seconds),
            demand.asked_calls,
            _as_milliseconds(demand.asked_seconds, shares.classes.count),
            _as_milliseconds(demand.admitted_seconds, shares.classes.count),
        )


def _as_milliseconds(seconds: Sequence[float], classes: int) -> list[int]:
    """Returns whole numbers of the classes in use, which take few bytes."""
    return [round(each * MILLISECONDS_PER_SECOND) for each in seconds[:classes]]


def _as_seconds(milliseconds: list[int]) -> tuple[float, ...]:
    unused = (0,) * (MAX_CLASSES - len(milliseconds))
    return (*(each / MILLISECONDS_PER_SECOND for each in milliseconds), *unused)


def _show_shares(service: str, fractions: Fractions) -> None:
    for urgency, share in enumerate(fractions.shares):
        metrics.RANK_SHARE.labels(service, str(urgency)).set(share)


def rank_of(route: Route, customer: Customer | None) -> Rank:
    """Returns the rank of a call: the customer's goes before that of the route.

    Among the calls of customers of one rank the route's decides. Without a rank of the customer
    the route's stands for both.
    """
    if customer is None or customer.urgency_rank is None:
        return route.urgency_rank, route.urgency_rank
    return customer.urgency_rank, route.urgency_rank


def ranks_of(document: SiteDocument, service: Service) -> tuple[Rank, ...]:
    """Returns the ranks that streams of engines may have, ascending; none for other services."""
    if service.engine is None:
        return ()
    ranks = {
        rank
        for route in document.routes
        if route.kind is CallKind.stream and _leads_to(route, service)
        for rank in _ranks_of_route(document, route)
    }
    return tuple(sorted(ranks))


def _ranks_of_route(document: SiteDocument, route: Route) -> set[Rank]:
    ranks = {rank_of(route, customer) for customer in document.customers}
    # Calls without a customer's key are admitted in these cases only.
    if route.is_public or not document.customers:
        ranks.add(rank_of(route, None))
    return ranks


def _leads_to(route: Route, service: Service) -> bool:
    return any(share.service == service.name and share.weight > 0 for share in route.shares)


def _keep_or_make(kept: RankShares | None, ranks: tuple[Rank, ...]) -> RankShares:
    if kept is not None and kept.classes.ranks == ranks:
        return kept
    return RankShares(UrgencyClasses(ranks))
