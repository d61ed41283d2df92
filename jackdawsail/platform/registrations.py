"""Decodes the heartbeats by which upstreams register and report their state."""

from typing import Annotated, Literal

import msgspec
from returns.result import Result

from jackdawsail.platform.fields import MILLISECOND, NonNegativeFloat, NonNegativeInt, decode_body
from jackdawsail.registry.registration import ModelVersion, Registration

NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]


class _Model(msgspec.Struct):
    name: str
    version: NonNegativeInt


class _Heartbeat(msgspec.Struct):
    service: NonEmptyStr
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d{1,5}$')]
    zone: NonEmptyStr
    # The number of requests that the upstream runs at the same time.
    slots: NonNegativeInt
    state: Literal['ready', 'draining']
    # Counts the heartbeats since the upstream started; in an engine's report it counts orders.
    sequence: NonNegativeInt
    cold_remaining_ms: NonNegativeFloat = 0
    born: NonNegativeInt = 0
    models: list[_Model] = []


def decode_registration(upstream: str, body: bytes) -> Result[Registration, str]:
    """Decodes one heartbeat; ``upstream`` is the name in the path of the call."""
    decoded = decode_body(body, _Heartbeat, f'registration of {upstream}')
    return decoded.map(
        lambda heartbeat: Registration(
            upstream=upstream,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone,
            places=heartbeat.slots,
            leaving=heartbeat.state == 'draining',
            cold_seconds=heartbeat.cold_remaining_ms * MILLISECOND,
            born_milliseconds=heartbeat.born,
            sequence=heartbeat.sequence,
            models=tuple(ModelVersion(model.name, model.version) for model in heartbeat.models),
        )
    )
