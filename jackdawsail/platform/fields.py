"""What the decoders of the platform's bodies share: plain fields, and reading one body."""

from typing import Annotated, TypeVar

import msgspec
from returns.result import Failure, Result, Success

MILLISECOND = 0.001  # seconds; the platform counts most times in milliseconds
Whole = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]

BodyT = TypeVar('BodyT')


def decode_body(body: bytes, body_type: type[BodyT], what: str) -> Result[BodyT, str]:
    """Decodes a JSON body into a type, or says why ``what`` cannot be read."""
    try:
        return Success(msgspec.json.decode(body, type=body_type))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Failure(f'{what} cannot be read: {error}')
