"""Looks up the route of a call and the customer of a key in one site document.

The table is built once per document; a lookup of a route costs one dictionary
access per path segment.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from returns.result import Failure, Result, Success

from jackdawsail.site.document import Customer, Route, Share, SiteDocument


class Denial(StrEnum):
    """Why a document does not allow a call."""

    no_route = 'no route'
    unknown_key = 'no customer has the key'


@dataclass(frozen=True, slots=True)
class Admission:
    """What a document allows a call: its route, and the customer of its key, if any has it."""

    route: Route
    customer: Customer | None

    def includes(self, other: 'Admission', service: str) -> bool:
        """Returns whether a call that was admitted otherwise may still go to its service."""
        services = {share.service for share in self.route.shares if share.weight > 0}
        return service in services and _bounds(self) == _bounds(other)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """A document with its routes indexed by host and prefix, and its customers by key."""

    document: SiteDocument
    _routes: dict[tuple[str, str], Route] = field(default_factory=dict)
    _customers: dict[str, Customer] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of the path, or None.

        A route whose prefix does not end with a slash is never found.
        """
        for prefix in _prefixes(path):
            route = self._routes.get((host, prefix))
            if route is not None:
                return route
        return None

    def admit(self, host: str, path: str, key: str) -> Result[Admission, Denial]:
        """Returns the route and the customer of a call, or why it is denied."""
        route = self.find(host, path)
        if route is None:
            return Failure(Denial.no_route)
        customer = self.customer_of(key) if key else None
        if customer is None and self.needs_key and not route.is_public:
            return Failure(Denial.unknown_key)
        return Success(Admission(route, customer))

    def customer_of(self, key: str) -> Customer | None:
        """Returns the customer of a key, or None."""
        return self._customers.get(key)

    @property
    def needs_key(self) -> bool:
        """Returns whether calls need a key, unless their route is public."""
        return bool(self.document.customers)


def make_route_table(document: SiteDocument) -> RouteTable:
    """Builds the route table of a document."""
    routes = {(route.host, route.path_prefix): route for route in document.routes}
    customers = {key: customer for customer in document.customers for key in customer.keys}
    return RouteTable(document, routes, customers)


def pick_service(shares: tuple[Share, ...], rng: random.Random) -> str:
    """Picks a service at random by the weights of a route's split."""
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return rng.choices(shares, weights)[0].service


def _bounds(admission: Admission) -> tuple[str, tuple[str, ...], tuple[str, ...]]:
    """Returns whom an upstream serves with a call, and where it may be."""
    customer = admission.customer
    name, regions = (customer.name, customer.home_regions) if customer else ('', ())
    return name, regions, admission.route.home_regions


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    path = path.partition('?')[0]
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)
