"""What upstreams say of themselves in their answers, besides the answer to the call."""

from jackdawsail import events
from jackdawsail.proxy import metrics
from jackdawsail.proxy.calls import UpstreamHead
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.proxy.selection import weights_left_seconds
from jackdawsail.routing.upstreams import Upstream

REST_REQUESTED = events.define(435, 'warning', 'upstream asks this entry for rest')
UPSTREAM_LEAVING = events.define(436, 'info', 'upstream says in an answer that it is leaving')
OVERDUE_WEIGHTS = events.define(
    437, 'error', 'answer to a call began on weights whose time limit has passed'
)


def record_signals(context: ProxyContext, upstream: Upstream, head: UpstreamHead) -> None:
    """Records what an answer says of its upstream: cold, wants rest, or is leaving."""
    now_seconds = context.clock.seconds()
    if head.cold_seconds > 0:
        cold_until_seconds = now_seconds + head.cold_seconds
        upstream.cold_until_seconds = max(upstream.cold_until_seconds, cold_until_seconds)
    if head.rest is not None:
        is_extended = upstream.rest.extend(head.rest, now_seconds)
        events.log(
            REST_REQUESTED,
            engine=upstream.incarnation,
            rest_seconds=head.rest.rest_seconds,
            is_extended=is_extended,
        )
    if head.is_leaving and not upstream.registration.leaving:
        events.log(UPSTREAM_LEAVING, engine=upstream.incarnation)
        context.view.registrations.mark_leaving(upstream.registration)
        context.upstreams.refresh(context.view.registrations)
    if head.weight_version and not head.not_run:
        _record_overdue_weights(context, upstream, head)


def _record_overdue_weights(context: ProxyContext, upstream: Upstream, head: UpstreamHead) -> None:
    """Logs and counts an answer that begins on weights after the limit of their version."""
    version = head.weight_version
    for held in upstream.registration.models:
        left_seconds = weights_left_seconds(context, held.model, version)
        if left_seconds < 0:
            metrics.OVERDUE_ANSWERS.inc()
            events.log(
                OVERDUE_WEIGHTS,
                request=head.attempt,
                engine=upstream.incarnation,
                held_version=version,
                weights_left_seconds=round(left_seconds, 3),
            )
