"""Tracks where a call was sent and may have run, which decides whether it may be repeated."""

from dataclasses import dataclass, field

from jackdawsail.proxy import metrics
from jackdawsail.proxy.context import ProxyContext
from jackdawsail.site.document import Route

MAX_SENDS = 4  # of one call, including those that upstreams confirmed not to have run


@dataclass(slots=True)
class SendHistory:
    """The ``count`` sends of one call.

    ``tried`` holds the upstreams that it was dispatched to, with those that were not reached,
    ``ran_on`` the ones that may have run it, ``declined`` the ones that refused a stream which had
    another upstream, or were not reached. ``is_risky`` is true if one more upstream could end,
    ``awaits_cause`` while that is being found out.
    """

    context: ProxyContext
    route: Route
    service: str
    count: int = 0
    tried: list[str] = field(default_factory=list)
    ran_on: set[str] = field(default_factory=set)
    declined: set[str] = field(default_factory=set)
    is_risky: bool = False
    awaits_cause: bool = False

    @property
    def may_have_run(self) -> bool:
        """Returns whether any upstream may have run the call."""
        return bool(self.ran_on)

    @property
    def may_run_further(self) -> bool:
        """Returns whether the call may run at one more upstream if the budget has a repeat left."""
        is_allowed = self.route.may_repeat and not self.is_risky
        return is_allowed and len(self.ran_on) < self.route.max_upstreams

    def ran_at(self, upstream: str) -> bool:
        """Returns whether this upstream may have run the call."""
        return upstream in self.ran_on

    def record_risk(self, is_risky: bool) -> None:
        """Records whether the call may have ended an upstream."""
        self.awaits_cause = False
        self.is_risky = self.is_risky or is_risky

    def decline(self, upstream: str) -> None:
        """Records that a stream stays at its upstream, as this one did not take it over."""
        if not self.ran_at(upstream):
            self.declined.add(upstream)

    def ask_again(self) -> None:
        """Lets those that declined be tried again, as the stream has no other upstream any more."""
        self.tried = [upstream for upstream in self.tried if upstream not in self.declined]
        self.declined.clear()

    def record_send(self, upstream: str) -> None:
        """Records that the call is being written to an upstream."""
        if not self.count:
            share = self.context.retry_share(self.service)
            share.record_first(self.context.clock.seconds())
        metrics.DISPATCHES.labels('repeat' if self.count else 'first').inc()
        self.count += 1
        self.ran_on.add(upstream)

    def record_not_run(self, upstream: str) -> None:
        """Records an upstream's confirmation that it did not run the call."""
        self.ran_on.discard(upstream)

    def take_repeat(self) -> bool:
        """Takes another send from the retry budget; returns False if none is left.

        None is left either once the call has been sent MAX_SENDS times.
        """
        if self.count >= MAX_SENDS:
            return False
        share = self.context.retry_share(self.service)
        return share.take(self.context.shares, self.context.clock.seconds())

    def take_further_upstream(self) -> bool:
        """Returns whether the call may run at one more upstream, and takes that from the budget."""
        return self.may_run_further and self.take_repeat()
