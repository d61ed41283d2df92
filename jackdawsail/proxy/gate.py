"""Lets calls in: finds the route and the customer, or denies the call."""

from dataclasses import dataclass

from jackdawsail import events
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy.parts import ProxyParts
from jackdawsail.proxy.task import make_call_task
from jackdawsail.site.routes import pick_service

LEAVING_RETURN_SECONDS = 0.05  # another entry takes the call at once
NOT_READY_RETURN_SECONDS = 1.0  # a restarted entry has its document after about so long

CALL_TURNED_AWAY = events.define(429, 'info', 'call refused, the entry is stopping')
CALL_DENIED = events.define(426, 'warning', 'call denied: no route or no such key')


@dataclass(frozen=True, slots=True)
class Gate:
    """Begins the task of each call that is allowed."""

    parts: ProxyParts

    def handle(self, exchange: Exchange) -> None:
        """Takes one whole request."""
        table = self.parts.view.table
        if table is None:
            headers = self.parts.border.retry_after(NOT_READY_RETURN_SECONDS)
            exchange.answer(HttpAnswer(503, b'no configuration yet', headers))
            return
        call = self.parts.border.decode_call(exchange.request)
        if self.parts.refusing:
            events.log(CALL_TURNED_AWAY, request=call.attempt)
            headers = self.parts.border.retry_after(LEAVING_RETURN_SECONDS)
            exchange.answer(HttpAnswer(503, b'entry is stopping', headers))
            return
        path = exchange.request.target.decode('latin-1')
        route = table.find(call.host, path)
        if route is None:
            self._deny(exchange, 404, call.attempt, f'no route for {call.host}{path}')
            return
        customer = table.customer_of(call.key) if call.key else None
        if customer is None and table.needs_key and not route.is_public:
            self._deny(exchange, 401, call.attempt, f'no customer has the key, route {route.name}')
            return
        service = pick_service(route.shares, self.parts.rng)
        make_call_task(self.parts, exchange, call, route, service, customer).start()

    def _deny(self, exchange: Exchange, status: int, attempt: str, reason: str) -> None:
        version = self.parts.view.document_version
        events.log(CALL_DENIED, request=attempt, status=status, reason=reason, document=version)
        exchange.answer(HttpAnswer(status, reason.encode('latin-1', 'replace')))
