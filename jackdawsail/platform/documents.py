"""Decodes the platform's configuration, which operators write, into the site document."""

import hashlib

import msgspec
from returns.result import Failure, Result, Success

from jackdawsail.platform.fields import (
    MILLISECOND,
    UNREADABLE_JSON,
    NonNegativeFloat,
    NonNegativeInt,
)
from jackdawsail.site.document import (
    CallerLimits,
    CallKind,
    Customer,
    EngineClass,
    Route,
    Service,
    Share,
    SiteDocument,
)

UNREADABLE_DOCUMENT = (*UNREADABLE_JSON, KeyError)
DEFAULT_URGENCY_RANK = 1  # for routes without a priority, as in the platform's examples

_KINDS = {
    'idempotent': CallKind.idempotent,
    'non_idempotent': CallKind.non_idempotent,
    'streaming': CallKind.stream,
}


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    timeout_ms: float
    name: str = ''
    kind: str = 'non_idempotent'
    # The latency objective; for a stream, the time until its first event.
    target_latency_ms: NonNegativeFloat = 0
    # A rank; 0 is the most urgent.
    priority: int = DEFAULT_URGENCY_RANK
    service: str | None = None
    traffic_split: list[_Share] | None = None
    max_attempts: NonNegativeInt = 1
    public: bool = False
    resumable: bool = False
    # The target for the longest pause between two events of a stream.
    target_gap_ms: NonNegativeFloat = 0
    allowed_regions: list[str] | None = None


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: NonNegativeInt = 0
    kv_capacity_tokens: NonNegativeFloat = 0
    step_ms: NonNegativeFloat = 0
    per_seq_ms: NonNegativeFloat = 0
    read_per_s: NonNegativeFloat = 0
    # Token steps in one pass; each pass produces one event of a stream.
    stride: NonNegativeInt = 1
    usual: dict[str, float] = {}
    layers: NonNegativeInt = 0
    layer_mb: NonNegativeFloat = 0
    # The memory of the engine, for weights and requests together.
    size_mb: NonNegativeFloat = 0
    chunks: NonNegativeInt = 0
    chunk_bytes: NonNegativeInt = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: NonNegativeInt = 0
    # Only validated; an upstream registers for how long it stays cold.
    cold_start_s: NonNegativeFloat = 0
    cold_per_s: NonNegativeFloat = 0
    engine: _Engine | None = None
    # The address of an origin of weights, which does not register; empty for other services.
    origin: str = ''
    zone: str = ''


class _Limits(msgspec.Struct):
    max_header_bytes: NonNegativeInt = 16_384
    max_body_bytes: NonNegativeInt = 4_194_304
    header_timeout_ms: NonNegativeFloat = 3000
    idle_timeout_ms: NonNegativeFloat = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Config(msgspec.Struct):
    version: NonNegativeInt
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def decode_document(body: bytes) -> Result[SiteDocument, str]:
    """Decodes a complete configuration, or returns why it is invalid."""
    try:
        return Success(_as_document(msgspec.json.decode(body, type=_Config)))
    except UNREADABLE_DOCUMENT as error:
        return Failure(f'configuration cannot be read: {error}')


def content_digest(body: bytes) -> str:
    """Returns a SHA-256 digest that ignores white space and the order of keys.

    ``body`` must be valid JSON.
    """
    content = msgspec.json.encode(msgspec.json.decode(body), order='sorted')
    return hashlib.sha256(content).hexdigest()


def _as_document(decoded: _Config) -> SiteDocument:
    limits = decoded.limits
    return SiteDocument(
        version=decoded.version,
        routes=tuple(_as_route(route) for route in decoded.routes),
        services=tuple(_as_service(service) for service in decoded.services),
        customers=tuple(
            Customer(
                tenant.name,
                tuple(tenant.api_keys),
                tenant.priority,
                tuple(tenant.allowed_regions or ()),
            )
            for tenant in decoded.tenants
        ),
        limits=CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_seconds=limits.header_timeout_ms * MILLISECOND,
            idle_seconds=limits.idle_timeout_ms * MILLISECOND,
        ),
    )


def _as_route(decoded: _Route) -> Route:
    return Route(
        name=decoded.name,
        host=decoded.host,
        path_prefix=decoded.path_prefix,
        kind=_KINDS[decoded.kind],
        time_limit_seconds=decoded.timeout_ms * MILLISECOND,
        target_seconds=decoded.target_latency_ms * MILLISECOND,
        urgency_rank=decoded.priority,
        shares=_as_shares(decoded),
        max_upstreams=max(1, decoded.max_attempts),
        is_public=decoded.public,
        resumable=decoded.resumable,
        longest_pause_seconds=decoded.target_gap_ms * MILLISECOND,
        home_regions=tuple(decoded.allowed_regions or ()),
    )


def _as_shares(decoded: _Route) -> tuple[Share, ...]:
    if decoded.traffic_split:
        return tuple(Share(share.service, share.weight) for share in decoded.traffic_split)
    return (Share(decoded.service, 1.0),) if decoded.service else ()


def _as_service(decoded: _Service) -> Service:
    return Service(
        name=decoded.name,
        max_channels=decoded.max_connections,
        cold_requests_per_second=decoded.cold_per_s,
        engine=None if decoded.engine is None else _as_engine(decoded.engine),
        origin_address=decoded.origin,
        origin_zone=decoded.zone,
    )


def _as_engine(decoded: _Engine) -> EngineClass:
    return EngineClass(
        slots=decoded.slots,
        memory_tokens=int(decoded.kv_capacity_tokens),
        step_seconds=decoded.step_ms * MILLISECOND,
        step_per_request_seconds=decoded.per_seq_ms * MILLISECOND,
        prompt_tokens_per_second=decoded.read_per_s,
        steps_per_pass=max(1, decoded.stride),
        usual_prompt_tokens=decoded.usual.get('prompt', 0),
        usual_answer_tokens=decoded.usual.get('answer', 0),
        layers=decoded.layers,
        layer_megabytes=decoded.layer_mb,
        memory_megabytes=decoded.size_mb,
        chunks=decoded.chunks,
        chunk_bytes=decoded.chunk_bytes,
        models=tuple(model.name for model in decoded.models),
    )
