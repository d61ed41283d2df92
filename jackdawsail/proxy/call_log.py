"""The log lines of a call: each decision with its inputs, their age or version."""

from typing import Any

from jackdawsail import events
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy.attempt import Attempt
from jackdawsail.proxy.calls import CallerCall, Handover
from jackdawsail.proxy.parts import ProxyParts
from jackdawsail.routing.placement import Choice
from jackdawsail.site.document import Route

HANDED_OVER = events.define(420, 'info', 'call handed to an upstream')
CALL_REFUSED = events.define(421, 'warning', 'call refused, it has not run')
CALL_FAILED = events.define(422, 'warning', 'call failed')
CALL_ENDED = events.define(423, 'info', 'call answered')
ATTEMPT_ENDED = events.define(424, 'warning', 'attempt at an upstream ended without an answer')
CALLER_LEFT = events.define(425, 'info', 'caller left before the answer was whole')


class CallLog:
    """Writes the lines of one call."""

    def __init__(
        self, parts: ProxyParts, exchange: Exchange, call: CallerCall, route: Route
    ) -> None:
        self._parts = parts
        self._exchange = exchange
        self._call = call
        self._route = route

    def write(self, event: events.Event, **details: Any) -> None:
        """Writes one line with the call's id, its age and the document's version."""
        age_seconds = self._parts.clock.seconds() - self._exchange.received_seconds
        events.log(
            event,
            request=self._call.attempt,
            route=self._route.name,
            document=self._parts.view.document_version,
            patience_seconds=self._call.patience_seconds,
            age_seconds=round(age_seconds, 4),
            **details,
        )

    def attempt_ended(self, attempt: Attempt, end: str) -> None:
        """Tells why an attempt brought no answer."""
        name = attempt.upstream.name
        self.write(ATTEMPT_ENDED, upstream=name, end=end, sent=attempt.sent)

    def handed_over(self, choice: Choice, handover: Handover, send: int) -> None:
        """Tells which upstream was chosen, and by what."""
        upstream = choice.upstream
        now_seconds = self._parts.clock.seconds()
        load = upstream.load_at(now_seconds)
        seen = upstream.last_report
        report_age_seconds = (
            None if seen is None else round(now_seconds - seen.received_seconds, 3)
        )
        self.write(
            HANDED_OVER,
            upstream=upstream.name,
            address=upstream.registration.address,
            send=send,
            wait_seconds=round(choice.wait_seconds, 3),
            own_calls=upstream.calls,
            running=load.running if load else None,
            waiting=load.waiting if load else None,
            report_age_seconds=report_age_seconds,
            heartbeat_age_seconds=round(now_seconds - upstream.last_heartbeat_seconds, 2),
            last_event=handover.last_event,
            weight_version=handover.weight_version,
        )
