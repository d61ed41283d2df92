"""Encodes calls to model engines and to the origin of weights, and decodes the answers."""

from urllib.parse import quote

import msgspec
from returns.result import Result

from jackdawsail.platform.fields import NonNegativeInt, decode_body
from jackdawsail.registry.registration import ModelVersion
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder, PieceList
from jackdawsail.staging.engine_calls import EngineCodec
from jackdawsail.staging.sources import OriginCodec

REPORT_TARGET = b'/api/report'
ORDER_TARGET = b'/api/order'


class _Model(msgspec.Struct):
    name: str
    version: NonNegativeInt


class _LayerRange(msgspec.Struct):
    # The first layer, and the end of the range (exclusive).
    first: int = msgspec.field(name='from', default=0)
    target: int = 0
    version: int = 0


class _Report(msgspec.Struct):
    models: list[_Model] = []
    layers: _LayerRange | None | list[_LayerRange] = None
    busy: bool = False
    # Counts the orders that started an operation, not the heartbeats.
    sequence: NonNegativeInt = 0
    waiting: NonNegativeInt = 0
    running: NonNegativeInt = 0
    # Both in tokens times layers.
    kv_used: float = 0
    kv_total: float = 0
    pace: float = 1.0
    born: NonNegativeInt = 0


class _Manifest(msgspec.Struct):
    model: str
    version: NonNegativeInt
    # SHA-256 of each piece, in hexadecimal.
    digests: list[str]
    chunk_bytes: NonNegativeInt = 0
    layers: NonNegativeInt = 0


class _StagedPieces(msgspec.Struct):
    held: list[int] = []
    version: int | None = None


def decode_report(body: bytes) -> Result[EngineReport, str]:
    """Decodes an engine's report of its state."""
    return decode_body(body, _Report, 'report').map(_as_report)


def _as_report(decoded: _Report) -> EngineReport:
    return EngineReport(
        models=tuple(ModelVersion(model.name, model.version) for model in decoded.models),
        layers=_layer_count(decoded.layers),
        busy=decoded.busy,
        orders=decoded.sequence,
        waiting=decoded.waiting,
        running=decoded.running,
        memory_share=decoded.kv_used / decoded.kv_total if decoded.kv_total else 0,
        pace=decoded.pace,
        born_milliseconds=decoded.born,
    )


def _layer_count(decoded: _LayerRange | list[_LayerRange] | None) -> int:
    if decoded is None:
        return 0
    ranges = decoded if isinstance(decoded, list) else [decoded]
    return sum(layer_range.target - layer_range.first for layer_range in ranges)


def encode_load_order(order: LoadWeightsOrder) -> bytes:
    """Encodes the order to load the staged pieces."""
    mode = 'queue' if order.finish_running else 'abort'
    content: dict[str, object] = {
        'operation': 'start',
        'model': order.model,
        'version': order.version,
        'mode': mode,
        'expect': order.expected_orders,
    }
    return msgspec.json.encode(content)


def manifest_target(model: str, version: int) -> bytes:
    """Returns the origin's target for the piece list of a version; 0 means the newest."""
    query = f'?version={version}' if version else ''
    return f'/api/manifest/{quote(model)}{query}'.encode()


def decode_manifest(body: bytes) -> Result[PieceList, str]:
    """Decodes the list of a version's pieces."""
    return decode_body(body, _Manifest, 'manifest').map(
        lambda decoded: PieceList(decoded.model, decoded.version, tuple(decoded.digests))
    )


def piece_target(model: str, version: int, index: int) -> bytes:
    """Returns the origin's target for one piece."""
    return f'/api/piece/{quote(model)}?quantity={index}&version={version}'.encode()


def stage_write_target(model: str, index: int) -> bytes:
    """Returns the engine's target to stage a piece."""
    return f'/api/stage-put/{quote(model)}?quantity={index}'.encode()


def stage_read_target(model: str, index: int) -> bytes:
    """Returns the engine's target to read a staged piece back."""
    return f'/api/stage-get/{quote(model)}?quantity={index}'.encode()


def stage_list_target(model: str) -> bytes:
    """Returns the engine's target to list the staged pieces."""
    return f'/api/stage-get/{quote(model)}'.encode()


def decode_staged_pieces(body: bytes) -> Result[tuple[int, ...], str]:
    """Decodes the indexes of the staged pieces."""
    return decode_body(body, _StagedPieces, 'list of staged pieces').map(
        lambda decoded: tuple(decoded.held)
    )


def origin_codec() -> OriginCodec:
    """Returns the codec for calls to the platform's origin of weights."""
    return OriginCodec(manifest_target, decode_manifest, piece_target)


def engine_codec() -> EngineCodec:
    """Returns the codec for calls to the engine on an agent's host."""
    return EngineCodec(
        report_target=REPORT_TARGET,
        decode_report=decode_report,
        order_target=ORDER_TARGET,
        encode_load_order=encode_load_order,
        stage_write_target=stage_write_target,
        stage_read_target=stage_read_target,
        stage_list_target=stage_list_target,
        decode_staged_pieces=decode_staged_pieces,
    )
