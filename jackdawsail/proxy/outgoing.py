"""Makes the request of a call that an upstream gets, at the moment when it is written.

What was allowed when the upstream was chosen may have been withdrawn while the call waited
for a connection.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Failure, Result, Success

from jackdawsail.http1.messages import HttpRequest
from jackdawsail.http1.server import Exchange
from jackdawsail.proxy.calls import CallerCall, CallIdentity, DispatchDetails
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.relaying import AnswerRelay
from jackdawsail.proxy.selection import Selection, withdrawal_reason
from jackdawsail.proxy.trait_reports import BLOCKED
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import Customer

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
    customer: Customer | None
    identity: CallIdentity
    deadline: Deadline
    relay: AnswerRelay | None

    def selection(self) -> Selection:
        """Returns the current inputs for the choice of an upstream."""


def dispatch_details(task: OutgoingCall, upstream: Upstream) -> DispatchDetails:
    """Returns what an upstream gets in addition to the caller's request, as of now."""
    selection = task.selection()
    last_forwarded = task.relay.last_event if task.relay else 0
    return DispatchDetails(
        upstream=upstream.name,
        remaining_seconds=task.deadline.remaining_seconds,
        customer=task.customer.name if task.customer else '',
        last_event=str(last_forwarded) if last_forwarded else task.call.last_event,
        weight_version=selection.expected_version(task.context),
        engine_rank=selection.engine_rank,
    )


def make_upstream_request(task: OutgoingCall, upstream: Upstream) -> Result[HttpRequest, str]:
    """Returns the request to write now, or why the upstream may not get it any more."""
    if task.deadline.is_over:
        return Failure('time limit reached')
    if task.context.traits.is_blocked(task.identity):
        return Failure(BLOCKED.reason)
    reason = withdrawal_reason(task.context, task.selection(), upstream)
    if reason:
        return Failure(reason)
    request = task.exchange.request
    headers = task.context.codec.upstream_headers(request, dispatch_details(task, upstream))
    return Success(HttpRequest(request.method, request.target, headers, request.body))
