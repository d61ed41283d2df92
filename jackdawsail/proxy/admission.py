"""Admission of calls: finds the route and the customer, or denies the call."""

from dataclasses import dataclass
from types import MappingProxyType

from returns.result import Failure

from jackdawsail import events
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.proxy.calls import CallerCall, fingerprint_of
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.task import make_call_task
from jackdawsail.routing.placement import RETRY_AFTER_MAX_SECONDS, RETRY_AFTER_MIN_SECONDS
from jackdawsail.site.routes import Denial, pick_service

DENIAL_STATUSES = MappingProxyType({Denial.no_route: 404, Denial.unknown_key: 401})
STOPPING_RETRY_SECONDS = 0.05  # another entry can take the call at once

CALL_WITHOUT_DOCUMENT = events.define(430, 'info', 'call refused, no site document yet')
CALL_WHILE_STOPPING = events.define(429, 'info', 'call refused, the entry is stopping')
CALL_DENIED = events.define(426, 'warning', 'call denied: no route, or unknown key')


@dataclass(frozen=True, slots=True)
class CallAdmission:
    """Starts a task for each call that is admitted, and answers all others itself."""

    context: ProxyContext

    def handle(self, exchange: Exchange) -> None:
        """Handles one complete request."""
        table = self.context.view.table
        call = self.context.codec.decode_call(exchange.request)
        if table is None:
            self._refuse_not_ready(exchange, call)
            return
        if self.context.refusing:
            events.log(CALL_WHILE_STOPPING, request=call.attempt)
            headers = self.context.codec.retry_after(STOPPING_RETRY_SECONDS)
            exchange.answer(HttpAnswer(503, b'entry is stopping', headers))
            return
        path = exchange.request.target.decode('latin-1')
        admission = table.admit(call.host, path, call.key)
        if isinstance(admission, Failure):
            self._deny(exchange, admission.failure(), call)
            return
        admitted = admission.unwrap()
        service = pick_service(admitted.route.shares, self.context.rng)
        make_call_task(self.context, exchange, call, admitted, service).start()

    def _refuse_not_ready(self, exchange: Exchange, call: CallerCall) -> None:
        retry_after_seconds = self.context.rng.uniform(
            RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS
        )
        events.log(
            CALL_WITHOUT_DOCUMENT,
            request=call.attempt,
            return_seconds=round(retry_after_seconds, 3),
        )
        if call.model:
            fingerprint = fingerprint_of(call, exchange.request)
            self.context.refused_calls.record_local(fingerprint, self.context.clock.seconds())
        headers = self.context.codec.retry_after(retry_after_seconds)
        exchange.answer(HttpAnswer(503, b'no configuration yet', headers))

    def _deny(self, exchange: Exchange, denial: Denial, call: CallerCall) -> None:
        status = DENIAL_STATUSES[denial]
        version = self.context.view.document_version
        path = exchange.request.target.decode('latin-1')
        reason = f'{denial}, {call.host}{path}'
        events.log(
            CALL_DENIED, request=call.attempt, status=status, reason=reason, document=version
        )
        exchange.answer(HttpAnswer(status, reason.encode('latin-1', 'replace')))
