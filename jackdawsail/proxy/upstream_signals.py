"""What upstreams say of themselves in their answers, besides the answer to the call."""

from jackdawsail import events
from jackdawsail.proxy.calls import UpstreamHead
from jackdawsail.routing.upstreams import Upstream

REST_REQUESTED = events.define(435, 'warning', 'upstream asks this entry for rest')
UPSTREAM_LEAVING = events.define(436, 'info', 'upstream says in an answer that it is leaving')


def log_signals(upstream: Upstream, head: UpstreamHead) -> None:
    """Logs the rest that an upstream asks for, and that it is leaving."""
    if head.rest is not None:
        rest_seconds = head.rest.rest_seconds
        events.log(REST_REQUESTED, engine=upstream.incarnation, rest_seconds=rest_seconds)
    if head.is_leaving and not upstream.registration.leaving:
        events.log(UPSTREAM_LEAVING, engine=upstream.incarnation)
