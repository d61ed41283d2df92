"""The calls that an agent makes to the engine on its host."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.fetch import NOT_SENT, FetchedAnswer, FetchLimits, fetch
from jackdawsail.http1.messages import JSON_BODY, HttpRequest, make_request
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder

# The engine is on the same host; even a busy one answers within a second.
CALL_LIMITS = FetchLimits(silent_seconds=1.0, total_seconds=5.0)
OK_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class EngineCodec:
    """Encodes the calls to a site's engines and decodes their answers."""

    report_target: bytes
    decode_report: Callable[[bytes], Result[EngineReport, str]]
    order_target: bytes
    encode_load_order: Callable[[LoadWeightsOrder], bytes]
    stage_write_target: Callable[[str, int], bytes]
    stage_read_target: Callable[[str, int], bytes]
    stage_list_target: Callable[[str], bytes]
    decode_staged_pieces: Callable[[bytes], Result[tuple[int, ...], str]]


@dataclass(frozen=True, slots=True)
class OrderFailure:
    """Why an order was not confirmed; with ``maybe_accepted`` the engine may carry it out."""

    reason: str
    maybe_accepted: bool


@dataclass(frozen=True, slots=True)
class EngineCalls:
    """Client of one engine; failures are returned as values, never raised."""

    pool: ChannelPool
    codec: EngineCodec
    address: str

    def read_report(self) -> Deferred[Result[EngineReport, str]]:
        """Requests the engine's state."""
        return Deferred.fromCoroutine(self._read_report())

    async def write_piece(self, model: str, index: int, body: bytes) -> Result[None, str]:
        """Writes one piece to the engine's staging area, without loading it."""
        target = self.codec.stage_write_target(model, index)
        outcome = await self._call(b'PUT', target, body)
        return _without_body(outcome)

    async def read_piece(self, model: str, index: int) -> Result[bytes, str]:
        """Reads back the body of one staged piece."""
        outcome = await self._call(b'GET', self.codec.stage_read_target(model, index))
        return _body_of(outcome)

    async def staged_pieces(self, model: str) -> Result[tuple[int, ...], str]:
        """Returns the indexes of the staged pieces."""
        outcome = _body_of(await self._call(b'GET', self.codec.stage_list_target(model)))
        if isinstance(outcome, Failure):
            return outcome
        return self.codec.decode_staged_pieces(outcome.unwrap())

    async def order_load(
        self, order: LoadWeightsOrder, send_by_seconds: float
    ) -> Result[None, OrderFailure]:
        """Orders the engine to load the staged pieces; it may refuse.

        After ``send_by_seconds``, a time of the pool's clock, the order is not sent any more.
        """
        body = self.codec.encode_load_order(order)
        limits = replace(CALL_LIMITS, send_by_seconds=send_by_seconds)
        outcome = await self._call(b'POST', self.codec.order_target, body, limits)
        if isinstance(outcome, Failure):
            reason = outcome.failure()
            return Failure(OrderFailure(reason, maybe_accepted=reason not in NOT_SENT))
        return _without_body(outcome).alt(
            lambda reason: OrderFailure(reason, maybe_accepted=False)
        )

    async def _read_report(self) -> Result[EngineReport, str]:
        request = _repeated_request(self.address, self.codec.report_target)
        outcome = _body_of(await fetch(self.pool, self.address, request, CALL_LIMITS))
        if isinstance(outcome, Failure):
            return outcome
        return self.codec.decode_report(outcome.unwrap())

    async def _call(
        self, method: bytes, target: bytes, body: bytes = b'', limits: FetchLimits = CALL_LIMITS
    ) -> Any:
        headers = () if method == b'GET' else (JSON_BODY,)
        request = make_request(method, self.address, target, headers, body)
        return await fetch(self.pool, self.address, request, limits)


@lru_cache(maxsize=1)
def _repeated_request(address: str, target: bytes) -> HttpRequest:
    """Returns the same object each time, by which channels recognise a repeated request."""
    return replace(make_request(b'GET', address, target), is_repeated=True)


def _body_of(outcome: Result[FetchedAnswer, str]) -> Result[bytes, str]:
    if isinstance(outcome, Failure):
        return outcome
    answer = outcome.unwrap()
    if answer.status not in OK_STATUSES:
        return Failure(f'status {answer.status}: {answer.body[:200]!r}')
    return Success(answer.body)


def _without_body(outcome: Result[FetchedAnswer, str]) -> Result[None, str]:
    body = _body_of(outcome)
    return body if isinstance(body, Failure) else Success(None)
