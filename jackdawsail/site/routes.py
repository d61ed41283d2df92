"""Looks up the route of a call and the customer of a key in one site document.

The table is built once per document; a lookup of a route costs one dictionary
access per path segment.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsail.site.document import Customer, Route, Share, SiteDocument


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


def _prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    path = path.partition('?')[0]
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)
