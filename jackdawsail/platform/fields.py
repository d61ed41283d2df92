"""Field types and the JSON decoding that the decoders of the platform's bodies share."""

from typing import Annotated, TypeVar

import msgspec
from returns.result import Failure, Result, Success

MILLISECOND = 0.001  # in seconds; the platform states most times in milliseconds
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]

# What msgspec raises for a body that it cannot decode, such as one with too many levels.
UNREADABLE_JSON = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

BodyT = TypeVar('BodyT')


def decode_body(body: bytes, body_type: type[BodyT], body_name: str) -> Result[BodyT, str]:
    """Decodes a JSON body into a type; a failure names the body as ``body_name``."""
    try:
        return Success(msgspec.json.decode(body, type=body_type))
    except UNREADABLE_JSON as error:
        return Failure(f'{body_name} cannot be read: {error}')
