"""What upstreams say of themselves in their answers, besides the answer to the call."""

from jackdawsail import events
from jackdawsail.proxy.calls import UpstreamHead
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.routing.upstreams import Upstream

REST_REQUESTED = events.define(435, 'warning', 'upstream asks this entry for rest')
UPSTREAM_LEAVING = events.define(436, 'info', 'upstream says in an answer that it is leaving')


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
