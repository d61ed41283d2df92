"""Describes a deployment to run: zones, processes, customers and link shaping."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from bench.fakes.engine import EngineOptions
from bench.fakes.service import ServiceOptions

MEBIBYTE = 1024 * 1024


@dataclass(frozen=True)
class Customer:
    """Fair-share weight and rate limits of one customer."""

    weight: float = 1.0
    requests_per_second: float = 500.0
    max_concurrent: int = 64


@dataclass(frozen=True)
class Shaping:
    """Delays and rates that the proxy imposes on links; 0 means no delay or no limit."""

    zone_delay_seconds: float = 0
    region_delay_seconds: float = 0
    caller_delay_seconds: float = 0
    region_bits_per_second: float = 0


def _default_customers() -> dict[str, Customer]:
    return {'studio-one': Customer(), 'studio-two': Customer(), 'label-one': Customer()}


@dataclass(frozen=True)
class Deployment:
    """A whole deployment; with ``shaping``, even an empty one, all links pass the proxy.

    ``zones`` maps each data centre to its region. Voters and plain services are
    assigned to the zones in turn. ``overrides`` is merged over the base settings
    document that all processes share.
    """

    zones: Mapping[str, str] = field(
        default_factory=lambda: {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}
    )
    engines_per_zone: int = 1
    services: int = 1
    voters: int = 1
    entries_per_zone: int = 1
    customers: Mapping[str, Customer] = field(default_factory=_default_customers)
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
