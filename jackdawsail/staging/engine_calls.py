"""The calls that an agent makes to the engine on its host."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from jackdawsail.http1.dial import ChannelPool
from jackdawsail.http1.whole import WholeAnswer, fetch, make_request
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder

SILENT_SECONDS = 1.0  # the engine is on the same host; a busy one still answers within it
OK_STATUSES = range(200, 300)


@dataclass(frozen=True, slots=True)
class EngineCodec:
    """How an engine's calls are written and its answers are read on this site."""

    report_target: bytes
    decode_report: Callable[[bytes], Result[EngineReport, str]]
    order_target: bytes
    encode_load_order: Callable[[LoadWeightsOrder], bytes]
    stage_write_target: Callable[[str, int], bytes]
    stage_read_target: Callable[[str, int], bytes]
    stage_list_target: Callable[[str], bytes]
    decode_held: Callable[[bytes], Result[tuple[int, ...], str]]


@dataclass(frozen=True, slots=True)
class EngineCalls:
    """Calls one engine; every answer is a result."""

    pool: ChannelPool
    border: EngineCodec
    address: str

    def report(self) -> Deferred[Result[EngineReport, str]]:
        """Asks for the engine's state."""
        return Deferred.fromCoroutine(self._report())

    async def write_piece(self, model: str, index: int, body: bytes) -> Result[None, str]:
        """Stages one piece at the engine."""
        target = self.border.stage_write_target(model, index)
        outcome = await self._call(b'PUT', target, body)
        return _as_done(outcome)

    async def read_piece(self, model: str, index: int) -> Result[bytes, str]:
        """Reads one staged piece back."""
        outcome = await self._call(b'GET', self.border.stage_read_target(model, index))
        return _body_of(outcome)

    async def held(self, model: str) -> Result[tuple[int, ...], str]:
        """Lists which pieces are staged."""
        outcome = _body_of(await self._call(b'GET', self.border.stage_list_target(model)))
        if isinstance(outcome, Failure):
            return outcome
        return self.border.decode_held(outcome.unwrap())

    async def start(self, order: LoadWeightsOrder) -> Result[None, str]:
        """Orders the engine to load the staged pieces."""
        body = self.border.encode_load_order(order)
        return _as_done(await self._call(b'POST', self.border.order_target, body))

    async def _report(self) -> Result[EngineReport, str]:
        outcome = _body_of(await self._call(b'GET', self.border.report_target))
        if isinstance(outcome, Failure):
            return outcome
        return self.border.decode_report(outcome.unwrap())

    async def _call(self, method: bytes, target: bytes, body: bytes = b'') -> Any:
        request = make_request(method, self.address, target, body)
        return await fetch(self.pool, self.address, request, SILENT_SECONDS)


def _body_of(outcome: Result[WholeAnswer, str]) -> Result[bytes, str]:
    if isinstance(outcome, Failure):
        return outcome
    answer = outcome.unwrap()
    if answer.status not in OK_STATUSES:
        return Failure(f'status {answer.status}: {answer.body[:200]!r}')
    return Success(answer.body)


def _as_done(outcome: Result[WholeAnswer, str]) -> Result[None, str]:
    found = _body_of(outcome)
    return found if isinstance(found, Failure) else Success(None)
