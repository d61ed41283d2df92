"""Decodes the heartbeats in which upstreams register."""

from typing import Annotated, Literal

import msgspec
from returns.result import Result

from jackdawsail.platform.fields import MILLISECOND, Amount, Whole, decode_body
from jackdawsail.registry.registration import ModelVersion, Registration

Named = Annotated[str, msgspec.Meta(min_length=1)]


class _Model(msgspec.Struct):
    name: str
    version: Whole


class _Beat(msgspec.Struct):
    service: Named
    address: Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d{1,5}$')]
    zone: Named
    # Requests that are processed at once.
    slots: Whole
    state: Literal['ready', 'draining']
    # Counts the heartbeats of one start, not the orders as in an engine's report.
    sequence: Whole
    cold_remaining_ms: Amount = 0
    born: Whole = 0
    models: list[_Model] = []


def decode_registration(upstream: str, body: bytes) -> Result[Registration, str]:
    """Decodes one heartbeat of the upstream that its path names."""
    decoded = decode_body(body, _Beat, f'registration of {upstream}')
    return decoded.map(
        lambda beat: Registration(
            upstream=upstream,
            service=beat.service,
            address=beat.address,
            zone=beat.zone,
            places=beat.slots,
            leaving=beat.state == 'draining',
            cold_seconds=beat.cold_remaining_ms * MILLISECOND,
            born_milliseconds=beat.born,
            sequence=beat.sequence,
            models=tuple(ModelVersion(model.name, model.version) for model in beat.models),
        )
    )
