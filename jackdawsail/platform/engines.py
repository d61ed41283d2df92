"""Calls to a model engine and to the origin of weights, and their answers."""

from urllib.parse import quote

import msgspec
from returns.result import Result

from jackdawsail.platform.fields import Whole, decode_body
from jackdawsail.registry.registration import ModelVersion
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder, PieceList
from jackdawsail.staging.engine_calls import EngineCodec
from jackdawsail.staging.sources import OriginCodec

REPORT_TARGET = b'/api/report'
ORDER_TARGET = b'/api/order'


class _Model(msgspec.Struct):
    name: str
    version: Whole


class _Layers(msgspec.Struct):
    # The first layer, and the one behind the last.
    first: int = msgspec.field(name='from', default=0)
    target: int = 0
    version: int = 0


class _Report(msgspec.Struct):
    models: list[_Model] = []
    layers: _Layers | None | list[_Layers] = None
    busy: bool = False
    # Counts the orders that have begun something, not the heartbeats.
    sequence: Whole = 0
    waiting: Whole = 0
    running: Whole = 0
    # Both count tokens times layers.
    kv_used: float = 0
    kv_total: float = 0
    pace: float = 1.0
    born: Whole = 0


class _Manifest(msgspec.Struct):
    model: str
    version: Whole
    # SHA-256 of each piece, in hexadecimal.
    digests: list[str]
    chunk_bytes: Whole = 0
    layers: Whole = 0


class _Held(msgspec.Struct):
    held: list[int] = []
    version: int | None = None


def decode_report(body: bytes) -> Result[EngineReport, str]:
    """Decodes what an engine says of its state."""
    return decode_body(body, _Report, 'report').map(_as_report)


def _as_report(found: _Report) -> EngineReport:
    return EngineReport(
        models=tuple(ModelVersion(model.name, model.version) for model in found.models),
        layers=_layer_count(found.layers),
        busy=found.busy,
        orders=found.sequence,
        waiting=found.waiting,
        running=found.running,
        memory_share=found.kv_used / found.kv_total if found.kv_total else 0,
        pace=found.pace,
        born_milliseconds=found.born,
    )


def _layer_count(found: _Layers | list[_Layers] | None) -> int:
    if found is None:
        return 0
    parts = found if isinstance(found, list) else [found]
    return sum(part.target - part.first for part in parts)


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
    """Returns the origin's path of a version's piece list; version 0 means the newest."""
    query = f'?version={version}' if version else ''
    return f'/api/manifest/{quote(model)}{query}'.encode()


def decode_manifest(body: bytes) -> Result[PieceList, str]:
    """Decodes the digests of a version's pieces."""
    return decode_body(body, _Manifest, 'manifest').map(
        lambda found: PieceList(found.model, found.version, tuple(found.digests))
    )


def piece_target(model: str, version: int, index: int) -> bytes:
    """Returns the origin's path of one piece."""
    return f'/api/piece/{quote(model)}?quantity={index}&version={version}'.encode()


def stage_write_target(model: str, index: int) -> bytes:
    """Returns the engine's path under which a piece is staged."""
    return f'/api/stage-put/{quote(model)}?quantity={index}'.encode()


def stage_read_target(model: str, index: int) -> bytes:
    """Returns the engine's path under which a staged piece is read back."""
    return f'/api/stage-get/{quote(model)}?quantity={index}'.encode()


def stage_list_target(model: str) -> bytes:
    """Returns the engine's path that lists the staged pieces."""
    return f'/api/stage-get/{quote(model)}'.encode()


def decode_staged_pieces(body: bytes) -> Result[tuple[int, ...], str]:
    """Decodes which pieces are staged."""
    return decode_body(body, _Held, 'list of staged pieces').map(lambda found: tuple(found.held))


def origin_codec() -> OriginCodec:
    """Returns how the origin of weights is called on the platform."""
    return OriginCodec(manifest_target, decode_manifest, piece_target)


def engine_codec() -> EngineCodec:
    """Returns how the engine beside an agent is called on the platform."""
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
