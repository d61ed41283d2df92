"""Records what the answers of upstreams show: their speed, and calls that are no danger to them."""

from typing import Protocol

from jackdawsail.http1.exchange import Exchange
from jackdawsail.proxy import metrics
from jackdawsail.proxy.attempt import Attempt
from jackdawsail.proxy.calls import CallIdentity
from jackdawsail.proxy.context import ProxyContext


class AnsweredCall(Protocol):
    """The task of a call, as far as its answer is recorded."""

    context: ProxyContext
    exchange: Exchange
    identity: CallIdentity
    first_seconds: float


def record_complete(call: AnsweredCall, attempt: Attempt, *, failed: bool) -> None:
    """Records a complete answer; ``failed`` is true for a failure of the upstream."""
    now_seconds = call.context.clock.seconds()
    took_seconds = now_seconds - attempt.started_seconds
    attempt.upstream.call_answered(took_seconds, now_seconds, failed=failed)
    if not failed:
        call.context.traits.answer_sound(call.identity, attempt)


def record_first_event(call: AnsweredCall, attempt: Attempt) -> None:
    """Records when the first event of an answer was forwarded."""
    now_seconds = call.context.clock.seconds()
    call.first_seconds = now_seconds - call.exchange.received_seconds
    metrics.FIRST_SECONDS.observe(call.first_seconds)
    attempt.upstream.record_first_event(now_seconds - attempt.started_seconds, now_seconds)
    call.context.prefixes.first_event(attempt.prefix_trial, now_seconds - attempt.sent_seconds)
