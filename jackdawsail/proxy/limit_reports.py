"""What an entry hears of the limits that upstreams name in their answers."""

from dataclasses import dataclass

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.routing.named_limits import NamedLimit
from jackdawsail.routing.upstreams import Upstream

LIMIT_CHANGED = events.define(434, 'warning', 'upstream names a limit on its calls, or no longer')


@dataclass(slots=True)
class LimitReports:
    """Records the limits that upstreams name."""

    clock: Clock

    def hear(self, upstream: Upstream, limit: NamedLimit | None) -> None:
        """Records what an answer of an upstream names, None if it names no limit."""
        if upstream.limit.hear(limit, self.clock.seconds()):
            events.log(
                LIMIT_CHANGED,
                upstream=upstream.incarnation,
                calls_per_second=upstream.limit.calls_per_second,
            )
