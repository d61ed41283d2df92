"""What to start: zones, engines, services, voters, entries, customers and link shaping."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bench.fakes.engine import EngineOptions
from bench.fakes.service import ServiceOptions

MEBIBYTE = 1024 * 1024


@dataclass(frozen=True)
class Customer:
    """Weight and limits of one customer."""

    weight: float = 1.0
    requests_per_second: float = 500.0
    max_concurrent: int = 64


@dataclass(frozen=True)
class Shaping:
    """What the proxy does to links; zero leaves a figure alone."""

    zone_delay_seconds: float = 0
    region_delay_seconds: float = 0
    caller_delay_seconds: float = 0
    region_bits_per_second: float = 0


def _three_customers() -> dict[str, Customer]:
    return {'studio-one': Customer(), 'studio-two': Customer(), 'label-one': Customer()}


@dataclass(frozen=True)
class Deployment:
    """A whole deployment; ``shaping`` (even an empty one) puts the proxy on all links.

    ``zones`` maps each data centre to its region. Voters are spread over the
    zones in order, and so are the plain services. ``overrides`` is laid over the
    base settings document of every process.
    """

    zones: Mapping[str, str] = field(
        default_factory=lambda: {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}
    )
    engines_per_zone: int = 1
    services: int = 1
    voters: int = 1
    entries_per_zone: int = 1
    customers: Mapping[str, Customer] = field(default_factory=_three_customers)
    engine: EngineOptions = EngineOptions()
    service: ServiceOptions = ServiceOptions()
    engine_backend: str = 'critique-models'
    service_backend: str = 'bookings-app'
    agent_cold_limit: int = 8
    max_switching_share: float = 0.5
    origin_bits_per_second: float = 0
    chunk_bytes: int = 262144
    weights: Mapping[str, Any] = field(default_factory=dict)
    overrides: Mapping[str, Any] = field(default_factory=dict)
    shaping: Shaping | None = None
    log_level: str = 'info'
