"""Finds the route of a call and the customer of a key, from one site document.

Built once for each document; a lookup costs one dictionary access per path
segment.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsail.site.document import Customer, Route, Share, SiteDocument


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by host and prefix, customers by key, services by name."""

    document: SiteDocument
    _routes: dict[tuple[str, str], Route] = field(default_factory=dict)
    _customers: dict[str, Customer] = field(default_factory=dict)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of the host whose prefix is the longest that begins the path."""
        for prefix in _prefixes(path):
            route = self._routes.get((host, prefix))
            if route is not None:
                return route
        return None

    def customer_of(self, key: str) -> Customer | None:
        """Returns the customer that holds a key."""
        return self._customers.get(key)

    @property
    def needs_key(self) -> bool:
        """Tells whether calls need a key, unless their route is public."""
        return bool(self.document.customers)


def make_route_table(document: SiteDocument) -> RouteTable:
    """Indexes a document for lookups."""
    routes = {(route.host, route.path_prefix): route for route in document.routes}
    customers = {key: customer for customer in document.customers for key in customer.keys}
    return RouteTable(document, routes, customers)


def pick_service(shares: tuple[Share, ...], rng: random.Random) -> str:
    """Draws a service by the weights of a route's split."""
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return rng.choices(shares, weights)[0].service


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, the longest first."""
    path = path.partition('?')[0]
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)
