"""Answers the calls to the HTTP interface of a control host."""

from dataclasses import dataclass
from typing import Any

from jackdawsail import events
from jackdawsail.group import calls
from jackdawsail.group.call_handler import CallHandler
from jackdawsail.group.calls import CallCodec
from jackdawsail.http1.exchange import Exchange


@dataclass(frozen=True, slots=True)
class CallServer:
    """Decodes a request, has it handled and encodes the answer."""

    codec: CallCodec
    call_handler: CallHandler

    def handle(self, exchange: Exchange) -> None:
        """Handles one complete request."""
        call = self.codec.decode(exchange.request)
        answer: Any = self.call_handler.handle(call)
        answer.addCallback(self._send_answer, exchange)
        answer.addErrback(self._fail_exchange, exchange)

    def _send_answer(self, answer: calls.Answer, exchange: Exchange) -> None:
        if not exchange.ended:
            exchange.answer(self.codec.encode(answer, exchange.request.target))

    def _fail_exchange(self, failure: Any, exchange: Exchange) -> None:
        events.log_failure(failure)
        exchange.fail()
