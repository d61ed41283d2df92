"""Decodes the operators' configuration into the site document."""

import hashlib

import msgspec
from returns.result import Failure, Result, Success

from jackdawsail.platform.fields import MILLISECOND, Amount, Whole
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

DEFAULT_RANK = 1  # the rank of a route that names none: that of the platform's examples

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
    # The latency objective, of a stream until its first event.
    target_latency_ms: Amount = 0
    # A rank: 0 goes first.
    priority: int = DEFAULT_RANK
    service: str | None = None
    traffic_split: list[_Share] | None = None
    max_attempts: Whole = 1
    public: bool = False
    resumable: bool = False
    # The longest pause between two events of a stream.
    target_gap_ms: Amount = 0
    allowed_regions: list[str] | None = None


class _Model(msgspec.Struct):
    name: str


class _Engine(msgspec.Struct):
    slots: Whole = 0
    kv_capacity_tokens: Amount = 0
    step_ms: Amount = 0
    per_seq_ms: Amount = 0
    read_per_s: Amount = 0
    # Token steps in one pass, which makes one event of a stream.
    stride: Whole = 1
    usual: dict[str, float] = {}
    layers: Whole = 0
    layer_mb: Amount = 0
    # The engine's memory for weights and requests together.
    size_mb: Amount = 0
    chunks: Whole = 0
    chunk_bytes: Whole = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    max_connections: Whole = 0
    cold_start_s: Amount = 0
    cold_per_s: Amount = 0
    engine: _Engine | None = None
    # Set for the place that weights come from; it registers nowhere.
    origin: str = ''
    zone: str = ''


class _Limits(msgspec.Struct):
    max_header_bytes: Whole = 16_384
    max_body_bytes: Whole = 4_194_304
    header_timeout_ms: Amount = 3000
    idle_timeout_ms: Amount = 15_000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] | None = None


class _Config(msgspec.Struct):
    version: Whole
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


def decode_document(body: bytes) -> Result[SiteDocument, str]:
    """Decodes a whole configuration, or says why it cannot be read."""
    try:
        return Success(_as_document(msgspec.json.decode(body, type=_Config)))
    except (msgspec.MsgspecError, UnicodeDecodeError, KeyError) as error:
        return Failure(f'configuration cannot be read: {error}')


def content_digest(body: bytes) -> str:
    """Returns a digest of a configuration's content, whatever its layout."""
    content = msgspec.json.encode(msgspec.json.decode(body), order='sorted')
    return hashlib.sha256(content).hexdigest()


def _as_document(found: _Config) -> SiteDocument:
    limits = found.limits
    return SiteDocument(
        version=found.version,
        routes=tuple(_as_route(route) for route in found.routes),
        services=tuple(_as_service(service) for service in found.services),
        customers=tuple(
            Customer(one.name, tuple(one.api_keys), one.priority, tuple(one.allowed_regions or ()))
            for one in found.tenants
        ),
        limits=CallerLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_seconds=limits.header_timeout_ms * MILLISECOND,
            idle_seconds=limits.idle_timeout_ms * MILLISECOND,
        ),
    )


def _as_route(found: _Route) -> Route:
    return Route(
        name=found.name,
        host=found.host,
        path_prefix=found.path_prefix,
        kind=_KINDS[found.kind],
        time_limit_seconds=found.timeout_ms * MILLISECOND,
        target_seconds=found.target_latency_ms * MILLISECOND,
        urgency_rank=found.priority,
        shares=_as_shares(found),
        max_upstreams=max(1, found.max_attempts),
        is_public=found.public,
        resumable=found.resumable,
        longest_pause_seconds=found.target_gap_ms * MILLISECOND,
        home_regions=tuple(found.allowed_regions or ()),
    )


def _as_shares(found: _Route) -> tuple[Share, ...]:
    if found.traffic_split:
        return tuple(Share(share.service, share.weight) for share in found.traffic_split)
    return (Share(found.service, 1.0),) if found.service else ()


def _as_service(found: _Service) -> Service:
    return Service(
        name=found.name,
        max_channels=found.max_connections,
        cold_seconds=found.cold_start_s,
        cold_requests_per_second=found.cold_per_s,
        engine=None if found.engine is None else _as_engine(found.engine),
        origin_address=found.origin,
        origin_zone=found.zone,
    )


def _as_engine(found: _Engine) -> EngineClass:
    return EngineClass(
        slots=found.slots,
        memory_tokens=int(found.kv_capacity_tokens),
        step_seconds=found.step_ms * MILLISECOND,
        step_per_request_seconds=found.per_seq_ms * MILLISECOND,
        prompt_tokens_per_second=found.read_per_s,
        steps_per_pass=max(1, found.stride),
        usual_prompt_tokens=found.usual.get('prompt', 0),
        usual_answer_tokens=found.usual.get('answer', 0),
        layers=found.layers,
        layer_megabytes=found.layer_mb,
        memory_megabytes=found.size_mb,
        chunks=found.chunks,
        chunk_bytes=found.chunk_bytes,
        models=tuple(model.name for model in found.models),
    )
