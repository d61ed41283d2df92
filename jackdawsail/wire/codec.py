"""CBOR encoding of the typed messages that the processes exchange.

Every message is a frozen dataclass registered under a short tag. A frame is the
CBOR array ``[tag, field, field, ...]`` with the fields in their declared order;
trailing fields with defaults may be missing, so that a newer sender and an older
receiver still understand each other. Decoding checks the type of every field and
returns a value: a bad frame never raises.

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
    """Why a frame could not be decoded, in words for a log."""

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
    """Makes a frozen dataclass of a class and registers it as a wire message.

    The tag must be unique in the process; a second use is a broken invariant.
    """

    def register(cls: type[MessageT]) -> type[MessageT]:
        if tag in _SCHEMAS_BY_TAG:
            raise AssertionError(f'wire tag {tag!r} is registered twice')
        made = dataclasses.dataclass(frozen=True, slots=True)(cls)
        names = tuple(field.name for field in dataclasses.fields(made))  # type: ignore[arg-type]
        schema = _Schema(tag=tag, names=names, message_type=made)
        _SCHEMAS_BY_TAG[tag] = schema
        _SCHEMAS_BY_TYPE[made] = schema
        return made

    return register


def tag_of(message_type: type) -> str:
    """Returns the tag under which a message type is registered."""
    return _SCHEMAS_BY_TYPE[message_type].tag


def as_plain(part: Any) -> Any:
    """Turns nested dataclasses into mappings that CBOR and JSON can carry."""
    if isinstance(part, _PLAIN_TYPES):
        return part
    if dataclasses.is_dataclass(part) and not isinstance(part, type):
        return {name.name: as_plain(getattr(part, name.name)) for name in dataclasses.fields(part)}
    if isinstance(part, (list, tuple)):
        return [as_plain(entry) for entry in part]
    if isinstance(part, dict):
        return {key: as_plain(entry) for key, entry in part.items()}
    return part


def encode(sent: object) -> bytes:
    """Encodes one registered message as a binary frame."""
    schema = _SCHEMAS_BY_TYPE[type(sent)]
    fields = [as_plain(getattr(sent, name)) for name in schema.names]
    return cbor2.dumps([schema.tag, *fields])


def decode(frame: bytes) -> Result[Any, WireError]:
    """Decodes one binary frame into its message, or says why it cannot."""
    try:
        parts = cbor2.loads(frame)
    except Exception as error:  # noqa: BLE001 - cbor2 raises many kinds on hostile input
        return Failure(WireError(f'not CBOR: {error}'))
    if not isinstance(parts, list) or not parts or not isinstance(parts[0], str):
        return Failure(WireError('frame is not [tag, field, ...]'))
    schema = _SCHEMAS_BY_TAG.get(parts[0])
    if schema is None:
        return Failure(WireError(f'unknown message tag {parts[0][:40]!r}'))
    return _validate(schema, parts[1:])


def _validate(schema: _Schema, fields: list[Any]) -> Result[Any, WireError]:
    named = dict(zip(schema.names, fields, strict=False))
    try:
        return Success(msgspec.convert(named, schema.message_type))
    except msgspec.ValidationError as error:
        return Failure(WireError(f'{schema.tag}: {error}'))
