"""The rest that an upstream asks of an entry when it turns a call away (pure)."""

from dataclasses import dataclass

MAX_REST_SECONDS = 3600.0  # of one request for rest, against mistyped values


@dataclass(frozen=True, slots=True)
class RequestedRest:
    """What a refusal asks for: ``rest_seconds``, None if it cannot be read."""

    rest_seconds: float | None
