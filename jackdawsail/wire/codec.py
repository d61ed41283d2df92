"""CBOR encoding of the typed messages that the processes exchange.

Every message is a frozen dataclass registered under a short tag. A frame is the
CBOR array ``[tag, field, field, ...]`` with the fields in their declared order;
trailing fields with defaults may be missing, so that processes of an older and a
newer version can exchange messages. Decoding checks the type of every field and
returns a Result: an invalid frame never raises.

Example::

    @message('ping')
    class Ping:
        sequence: int

    frame = encode(Ping(sequence=1))
    decode(frame).unwrap() == Ping(sequence=1)
"""

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar, dataclass_transform

import cbor2
import msgspec
from returns.result import Failure, Result, Success

MessageT = TypeVar('MessageT')


@dataclasses.dataclass(frozen=True, slots=True)
class WireError:
    """Why a frame or a handshake message was rejected, as text for the log."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Schema:
    tag: str
    names: tuple[str, ...]
    message_type: type


_PLAIN_TYPES = (str, bytes, int, float, type(None))
_SCHEMAS_BY_TAG: dict[str, _Schema] = {}
_SCHEMAS_BY_TYPE: dict[type, _Schema] = {}


@dataclass_transform(frozen_default=True)
def message(tag: str) -> Callable[[type[MessageT]], type[MessageT]]:
    """Turns a class into a frozen dataclass and registers it as a wire message.

    Raises AssertionError if the tag is registered already.
    """

    def register(cls: type[MessageT]) -> type[MessageT]:
        if tag in _SCHEMAS_BY_TAG:
            raise AssertionError(f'wire tag {tag!r} is registered twice')
        message_class = dataclasses.dataclass(frozen=True, slots=True)(cls)
        names = tuple(field.name for field in dataclasses.fields(message_class))  # type: ignore[arg-type]
        schema = _Schema(tag=tag, names=names, message_type=message_class)
        _SCHEMAS_BY_TAG[tag] = schema
        _SCHEMAS_BY_TYPE[message_class] = schema
        return message_class

    return register


def tag_of(message_type: type) -> str:
    """Returns the tag of a registered message type; raises KeyError for other types."""
    return _SCHEMAS_BY_TYPE[message_type].tag


def as_plain(value: Any) -> Any:
    """Converts nested dataclasses into mappings and tuples into lists, for CBOR and JSON."""
    if isinstance(value, _PLAIN_TYPES):
        return value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: as_plain(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    if isinstance(value, (list, tuple)):
        return [as_plain(item) for item in value]
    if isinstance(value, dict):
        return {key: as_plain(item) for key, item in value.items()}
    return value


def encode(sent: object) -> bytes:
    """Encodes a registered message as a binary frame; raises KeyError for other types."""
    schema = _SCHEMAS_BY_TYPE[type(sent)]
    fields = [as_plain(getattr(sent, name)) for name in schema.names]
    return cbor2.dumps([schema.tag, *fields])


def decode(frame: bytes) -> Result[Any, WireError]:
    """Decodes a binary frame into its message, or returns why it is invalid."""
    try:
        elements = cbor2.loads(frame)
    except Exception as error:  # noqa: BLE001 - cbor2 raises many types of errors on hostile input
        return Failure(WireError(f'not CBOR: {error}'))
    if not isinstance(elements, list) or not elements or not isinstance(elements[0], str):
        return Failure(WireError('frame is not [tag, field, ...]'))
    schema = _SCHEMAS_BY_TAG.get(elements[0])
    if schema is None:
        return Failure(WireError(f'unknown message tag {elements[0][:40]!r}'))
    return _validate(schema, elements[1:])


def _validate(schema: _Schema, fields: list[Any]) -> Result[Any, WireError]:
    values_by_name = dict(zip(schema.names, fields, strict=False))
    try:
        return Success(msgspec.convert(values_by_name, schema.message_type))
    except msgspec.ValidationError as error:
        return Failure(WireError(f'{schema.tag}: {error}'))
