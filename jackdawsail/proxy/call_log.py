"""Log lines of a call: each decision with its inputs and their age or version."""

import math
from typing import Any

from jackdawsail import events
from jackdawsail.http1.exchange import Exchange
from jackdawsail.proxy.attempt import Attempt
from jackdawsail.proxy.calls import CallIdentity, DispatchDetails
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.relaying import AnswerRelay, unfinished_bytes
from jackdawsail.proxy.selection import weights_left_seconds
from jackdawsail.routing.placement import Choice
from jackdawsail.routing.sends import COLD_WINDOW_SECONDS
from jackdawsail.site.document import Route

CALL_DISPATCHED = events.define(420, 'info', 'call dispatched to an upstream')
CALL_REFUSED = events.define(421, 'warning', 'call refused without having run')
CALL_FAILED = events.define(422, 'warning', 'call failed')
CALL_ENDED = events.define(423, 'info', 'call answered')
ATTEMPT_ENDED = events.define(
    424, 'warning', 'attempt ended without a complete answer for the caller'
)
HANDOVER_STARTED = events.define(438, 'info', 'rest of a stream is offered to another engine')
CALLER_DISCONNECTED = events.define(
    425, 'info', 'caller disconnected before the answer was complete'
)


class CallLog:
    """Writes the log lines of one call."""

    def __init__(
        self, context: ProxyContext, exchange: Exchange, identity: CallIdentity, route: Route
    ) -> None:
        self._context = context
        self._exchange = exchange
        self._call = identity.call
        self._identity = identity
        self._route = route

    def write(self, event: events.Event, **details: Any) -> None:
        """Writes one line with the call's id, its age and the document's version."""
        age_seconds = self._context.clock.seconds() - self._exchange.received_seconds
        events.log(
            event,
            request=self._call.attempt,
            route=self._route.name,
            document=self._context.view.document_version,
            patience_seconds=self._call.patience_seconds,
            age_seconds=round(age_seconds, 4),
            **details,
        )

    def failed(self, reason: str, status: int, *, is_aborted: bool, left: str) -> None:
        """Logs a failed call, with the seconds since the events that may have to do with it.

        An answer that was aborted is counted, too.

        ``is_aborted`` is true if its answer had begun, so that the caller gets no status, and
        ``left`` is why an engine that had not failed was left before.
        """
        now_seconds = self._context.clock.seconds()
        ages = self._context.recent.ages(now_seconds)
        if is_aborted:
            self._context.recent.count_abort(reason, left, now_seconds)
        self.write(
            CALL_FAILED,
            reason=reason,
            status=status,
            aborted=is_aborted,
            left=left,
            **{f'{event}_age_seconds': age for event, age in ages.items()},
        )

    def attempt_ended(self, attempt: Attempt, end: str, relay: AnswerRelay | None) -> None:
        """Logs why an attempt ended without a complete answer for the caller."""
        now_seconds = self._context.clock.seconds()
        self.write(
            ATTEMPT_ENDED,
            upstream=attempt.upstream.name,
            engine=attempt.upstream.incarnation,
            digest=self._identity.digest,
            end=end,
            sent=attempt.sent,
            prompt=self._call.prompt,
            sent_age_seconds=_age_seconds(attempt.sent_seconds, now_seconds),
            written_seconds=_age_seconds(attempt.begun_seconds, now_seconds),
            framing=attempt.framing,
            unfinished_bytes=unfinished_bytes(relay, attempt.head),
            **self._weights_of(attempt.weight_version),
        )

    def handover_started(self, attempt: Attempt, reason: str) -> None:
        """Logs why a stream is to leave an engine that has not failed, and for which one."""
        self.write(HANDOVER_STARTED, upstream=attempt.upstream.name, reason=reason)

    def dispatched(
        self, choice: Choice, dispatch_details: DispatchDetails, send_number: int
    ) -> None:
        """Logs which upstream was chosen and why; ``send_number`` is 1 for the first send."""
        upstream = choice.upstream
        now_seconds = self._context.clock.seconds()
        load = upstream.load_at(now_seconds)
        report = upstream.last_report
        report_age_seconds = (
            None if report is None else round(now_seconds - report.received_seconds, 3)
        )
        self.write(
            CALL_DISPATCHED,
            upstream=upstream.name,
            address=upstream.registration.address,
            send=send_number,
            wait_seconds=round(choice.wait_seconds, 3),
            own_calls=upstream.calls,
            recent_sends=upstream.sends.count_since(now_seconds - COLD_WINDOW_SECONDS),
            pending_sends=upstream.sends.pending,
            cold=upstream.is_cold(now_seconds),
            limit=upstream.limit.calls_per_second,
            entries=self._context.entries,
            running=load.running if load else None,
            waiting=load.waiting if load else None,
            pace=load.pace if load else None,
            memory_share=load.memory_share if load else None,
            report_age_seconds=report_age_seconds,
            heartbeat_age_seconds=round(now_seconds - upstream.received_seconds, 2),
            prompt=self._call.prompt,
            last_event=dispatch_details.last_event,
            weight_version=dispatch_details.weight_version,
            **self._weights_of(upstream.version_of(self._call.model, now_seconds)),
        )

    def _weights_of(self, version: int) -> dict[str, Any]:
        """Returns the fields for the weights of an upstream: their version and time left.

        A call may begin there for ``weights_left_seconds``, None if no newer ones are announced.
        """
        left_seconds = weights_left_seconds(self._context, self._call.model, version)
        is_limited = version and math.isfinite(left_seconds)
        return {
            'held_version': version,
            'weights_left_seconds': round(left_seconds, 3) if is_limited else None,
        }


def _age_seconds(since_seconds: float | None, now_seconds: float) -> float | None:
    """Returns the time since an event; None if it has not occurred."""
    return None if since_seconds is None else round(now_seconds - since_seconds, 3)
