"""Makes the request of a call that an upstream gets, at the moment when it is written.

What was allowed when the upstream was chosen may have been withdrawn while the call waited
for a connection.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import HttpRequest
from jackdawsail.proxy.calls import CallerCall, CallIdentity, DispatchDetails
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.relaying import AnswerRelay, has_begun
from jackdawsail.proxy.selection import Selection, withdrawal_reason
from jackdawsail.proxy.send_history import SendHistory
from jackdawsail.proxy.trait_reports import BLOCKED
from jackdawsail.routing.placement import Refusal
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import Customer, Route
from jackdawsail.site.routes import Admission

# The caller's next attempt is answered as the new configuration says.
RECONFIGURED = Refusal('the configuration of the call has changed', 0.05)
MIN_REMAINING_SECONDS = 0.02  # with less no upstream can answer in time


@dataclass(frozen=True, slots=True)
class Deadline:
    """The time by which a call must be answered."""

    clock: Any
    at_seconds: float

    @property
    def remaining_seconds(self) -> float:
        """Returns the time until the deadline, negative after it."""
        return self.at_seconds - self.clock.seconds()

    @property
    def is_over(self) -> bool:
        """Returns whether too little time is left for any upstream to answer."""
        return self.remaining_seconds < MIN_REMAINING_SECONDS


class OutgoingCall(Protocol):
    """The task of a call, as far as its request to an upstream depends on it."""

    context: ProxyContext
    exchange: Exchange
    call: CallerCall
    route: Route
    customer: Customer | None
    identity: CallIdentity
    sends: SendHistory
    deadline: Deadline
    relay: AnswerRelay | None
    is_late: bool
    urgency: int | None


def make_selection(task: OutgoingCall) -> Selection:
    """Returns the current inputs for the choice of an upstream."""
    return Selection(
        service=task.sends.service,
        route=task.route,
        customer=task.customer,
        call=task.call,
        tried=tuple(task.sends.tried),
        pinned_version=task.relay.weight_version if has_begun(task.relay) else 0,
        is_late=task.is_late,
        urgency=task.urgency,
    )


def dispatch_details(
    task: OutgoingCall, selection: Selection, upstream: Upstream
) -> DispatchDetails:
    """Returns what an upstream gets in addition to the caller's request, as of now."""
    last_forwarded = task.relay.last_event if task.relay else 0
    return DispatchDetails(
        upstream=upstream.name,
        remaining_seconds=task.deadline.remaining_seconds,
        customer=task.customer.name if task.customer else '',
        last_event=str(last_forwarded) if last_forwarded else task.call.last_event,
        weight_version=selection.expected_version(task.context, upstream),
        engine_rank=selection.engine_rank,
    )


def withdrawn_call(task: OutgoingCall) -> Refusal | None:
    """Returns the refusal of a call that no upstream may get any more; None if one may.

    A call that has begun somewhere keeps what the configuration allowed when it was admitted.
    """
    if task.context.traits.is_blocked(task.identity):
        return BLOCKED
    table = task.context.view.table
    if table is None or task.sends.may_have_run:
        return None
    path = task.exchange.request.target.decode('latin-1')
    admission = table.admit(task.call.host, path, task.call.key)
    admitted = Admission(task.route, task.customer)
    if isinstance(admission, Success) and admission.unwrap().includes(
        admitted, task.sends.service
    ):
        return None
    return RECONFIGURED


def make_upstream_request(task: OutgoingCall, upstream: Upstream) -> Result[HttpRequest, str]:
    """Returns the request to write now, or why the upstream may not get it any more."""
    if task.deadline.is_over:
        return Failure('time limit reached')
    withdrawn = withdrawn_call(task)
    if withdrawn is not None:
        return Failure(withdrawn.reason)
    selection = make_selection(task)
    reason = withdrawal_reason(task.context, selection, upstream)
    if reason:
        return Failure(reason)
    request = task.exchange.request
    details = dispatch_details(task, selection, upstream)
    headers = task.context.codec.upstream_headers(request, details)
    return Success(HttpRequest(request.method, request.target, headers, request.body))
