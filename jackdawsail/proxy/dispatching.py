"""Chooses the upstream of a call and starts the attempt there."""

from dataclasses import replace
from functools import partial
from typing import Protocol

from jackdawsail.proxy import metrics
from jackdawsail.proxy.attempt import Attempt, AttemptOwner
from jackdawsail.proxy.call_log import CallLog
from jackdawsail.proxy.outgoing import (
    OutgoingCall,
    dispatch_details,
    make_selection,
    make_upstream_request,
    withdrawn_call,
)
from jackdawsail.proxy.relaying import has_begun, may_continue
from jackdawsail.proxy.selection import Selection, call_size, place_call, select_upstream
from jackdawsail.routing.placement import Choice, Refusal
from jackdawsail.routing.sizes import SLOW_PACE


class DispatchedCall(OutgoingCall, Protocol):
    """The task of a call, as far as its attempts are started for it."""

    log: CallLog


def find_alternative(call: OutgoingCall) -> Choice | None:
    """Returns another upstream that could take the call now.

    None can once a part of an answer was forwarded that cannot be continued.
    """
    is_blocked = call.context.traits.is_blocked(call.identity)
    if is_blocked or not may_continue(call.route, call.relay):
        return None
    decision = select_upstream(call.context, make_selection(call))
    return decision if isinstance(decision, Choice) else None


def next_attempt(call: DispatchedCall, owner: AttemptOwner) -> Attempt | Refusal:
    """Makes an attempt at the best upstream, or returns why none may get the call."""
    withdrawn = withdrawn_call(call)
    if withdrawn is not None:
        return withdrawn
    selection = replace(make_selection(call), is_begun=has_begun(call.relay))
    decision = place_call(call.context, selection)
    if isinstance(decision, Refusal):
        return decision
    return make_attempt(call, decision, selection, owner)


def make_attempt(
    call: DispatchedCall, choice: Choice, selection: Selection, owner: AttemptOwner
) -> Attempt:
    """Makes an attempt at the chosen upstream, which is started with ``start_attempt``."""
    upstream = choice.upstream
    call.sends.tried.append(upstream.name)
    details = dispatch_details(call, selection, upstream)
    call.log.dispatched(choice, details, call.sends.count + 1)
    load = upstream.load_at(call.context.clock.seconds())
    if load is not None and load.pace > SLOW_PACE:
        metrics.SLOW_DISPATCHES.inc()
    attempt = Attempt(call.context, owner, upstream, call.call.attempt)
    attempt.set_paused(call.exchange.is_full)
    return attempt


def start_attempt(call: OutgoingCall, attempt: Attempt) -> None:
    """Connects to the upstream of an attempt and sends the call."""
    make_request = partial(make_upstream_request, call, attempt.upstream)
    # An idle channel may just be closing; a call that cannot be repeated avoids that risk.
    attempt.start(make_request, fresh_channel=not call.route.may_repeat)


def record_sent(call: OutgoingCall, attempt: Attempt) -> None:
    """Records that the call may run at the upstream of an attempt from now on."""
    call.sends.record_send(attempt.upstream.name)
    now_seconds = call.context.clock.seconds()
    attempt.weight_version = attempt.upstream.version_of(call.call.model, now_seconds)
    size = call_size(call.context, call.sends.service, call.call)
    if size is not None:
        attempt.upstream.sent_sizes.record(size, now_seconds)
    prefixes = call.context.prefixes
    attempt.prefix_trial = prefixes.call_sent(
        call.sends.service, call.call, attempt.upstream, now_seconds
    )
