"""What upstreams say of themselves in their answers, besides the answer to the call."""

from jackdawsail import events
from jackdawsail.proxy.calls import UpstreamHead
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.routing.upstreams import Upstream

REST_REQUESTED = events.define(435, 'warning', 'upstream asks this entry for rest')
UPSTREAM_LEAVING = events.define(436, 'info', 'upstream says in an answer that it is leaving')


def record_signals(context: ProxyContext, upstream: Upstream, head: UpstreamHead) -> None:
    """Records the rest that an upstream asks for in an answer, and that it is leaving."""
    if head.rest is not None:
        is_extended = upstream.rest.extend(head.rest, context.clock.seconds())
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
