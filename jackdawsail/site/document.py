"""The site document: routes, services, customers and limits under one version.

Operators replace it as a whole. A document is immutable; each process uses the
newest one that it has received and never returns to a lower version.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum

MAX_DOCUMENT_BYTES = 16_777_216  # thousands of routes must fit


class CallKind(StrEnum):
    """Whether a call may be repeated, and whether its answer is a stream."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in the split of a route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services and the time limits for the calls of one host and path prefix.

    ``time_limit_seconds`` limits a whole call, ``target_seconds`` is the latency
    objective (for a stream: until its first event). ``urgency_rank`` 0 is the most
    urgent. ``max_upstreams`` is how many upstreams may run a call that may be repeated.
    A ``resumable`` stream may be run again from its last event. ``longest_pause_seconds``
    is the target for the longest pause between two events of a stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    time_limit_seconds: float
    target_seconds: float
    urgency_rank: int
    shares: tuple[Share, ...]
    max_upstreams: int = 1
    is_public: bool = False
    resumable: bool = False
    longest_pause_seconds: float = 0
    home_regions: tuple[str, ...] = ()

    @property
    def may_repeat(self) -> bool:
        """Returns whether a call may run more than once."""
        if self.kind is CallKind.stream:
            return self.resumable
        return self.kind is CallKind.idempotent


@dataclass(frozen=True, slots=True)
class EngineClass:
    """The capacity and speed of a service's model engines, as routing and staging need them.

    A pass of an engine generates ``steps_per_pass`` tokens for each running request;
    prompts are processed between passes. ``memory_tokens`` is the memory for requests,
    in tokens.
    """

    slots: int
    memory_tokens: int
    step_seconds: float
    step_per_request_seconds: float
    prompt_tokens_per_second: float
    steps_per_pass: int
    usual_prompt_tokens: float
    usual_answer_tokens: float
    layers: int
    layer_megabytes: float
    memory_megabytes: float
    chunks: int
    chunk_bytes: int
    models: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that serve the same calls, or an origin of weights."""

    name: str
    max_channels: int = 0
    cold_requests_per_second: float = 0
    engine: EngineClass | None = None
    origin_address: str = ''
    origin_zone: str = ''


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's request; zero leaves it to the server.

    ``head_seconds`` is the time from the first bytes of a request until its head and body
    are complete, ``idle_seconds`` the time that a connection may wait for a request.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Customer:
    """A customer and its keys; its ``urgency_rank``, if set, overrides that of the route."""

    name: str
    keys: tuple[str, ...]
    urgency_rank: int | None = None
    home_regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SiteDocument:
    """The whole configuration of a site."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: CallerLimits = field(default_factory=CallerLimits)

    @property
    def origins(self) -> tuple[Service, ...]:
        """Returns the services that are origins of weights."""
        return tuple(service for service in self.services if service.origin_address)


def document_faults(document: SiteDocument) -> list[str]:
    """Returns the faults for which a document is rejected; empty if it is valid.

    Example::

        document_faults(SiteDocument(version=1)) == []
    """
    return [
        *_route_faults(document),
        *_duplicate_routes(document.routes),
        *_shared_keys(document.customers),
        *_rank_faults(document),
    ]


def _route_faults(document: SiteDocument) -> list[str]:
    known_services = {service.name for service in document.services}
    faults = []
    for route in document.routes:
        unknown = sorted({share.service for share in route.shares} - known_services)
        if unknown:
            faults.append(f'route {route.name} names unknown services {unknown}')
        if not 0 < sum(share.weight for share in route.shares) < math.inf:
            faults.append(f'the weights of route {route.name} add up to nothing, or too much')
        if any(share.weight < 0 for share in route.shares):
            faults.append(f'route {route.name} has a negative weight')
        if route.time_limit_seconds <= 0:
            faults.append(f'route {route.name} has no time limit')
    return faults


def _duplicate_routes(routes: tuple[Route, ...]) -> list[str]:
    seen_keys: set[tuple[str, str]] = set()
    faults = []
    for route in routes:
        key = (route.host, route.path_prefix)
        if key in seen_keys:
            faults.append(f'two routes share {route.host}{route.path_prefix}')
        seen_keys.add(key)
    return faults


def _shared_keys(customers: tuple[Customer, ...]) -> list[str]:
    owners: dict[str, str] = {}
    faults = []
    for customer in customers:
        for key in customer.keys:
            if owners.setdefault(key, customer.name) != customer.name:
                faults.append(f'customers {owners[key]} and {customer.name} share a key')
    return faults


def _rank_faults(document: SiteDocument) -> list[str]:
    faults = [
        f'route {route.name} has a negative rank'
        for route in document.routes
        if route.urgency_rank < 0
    ]
    faults.extend(
        f'customer {customer.name} has a negative rank'
        for customer in document.customers
        if customer.urgency_rank is not None and customer.urgency_rank < 0
    )
    return faults
