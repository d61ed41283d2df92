"""Records the limits that upstreams name in their answers, and reports them to other entries.

An entry reports a limit that is new to it at once. For entries that
start or missed that, a few entries repeat each limit; which ones is decided by the order in
which its units are dealt out.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.routing.named_limits import NamedLimit
from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import Upstream, UpstreamTable
from jackdawsail.wire.site_messages import NamedLimitsReported, ReportedLimit

REPEAT_SECONDS = 1.0
REPEATING_ENTRIES = 3  # some of them may be cut off
END_REPEATED_SECONDS = 4.0

LIMIT_CHANGED = events.define(434, 'warning', 'upstream names a limit on its calls, or no longer')


@dataclass(slots=True)
class LimitReports:
    """Records the limits that upstreams name, and which are to be reported to other entries."""

    clock: Clock
    upstreams: UpstreamTable
    shares: EntryShares
    _pending: dict[str, Upstream] = field(default_factory=dict)
    _repeated_seconds: float = 0

    def record(self, upstream: Upstream, limit: NamedLimit | None) -> None:
        """Records what an answer of an upstream names, None if it names no limit."""
        if upstream.limit.record(limit, self.clock.seconds()):
            self._pending[upstream.incarnation] = upstream
            _log_change(upstream, 'own answer')

    def receive(self, message: NamedLimitsReported) -> None:
        """Records the limits that another entry reports."""
        now_seconds = self.clock.seconds()
        for reported in message.limits:
            upstream = self.upstreams.get(reported.upstream.rpartition('/')[0])
            if upstream is None or upstream.incarnation != reported.upstream:
                continue
            value = reported.calls_per_second
            limit = None if value is None else NamedLimit(value)
            if upstream.limit.record(limit, now_seconds - reported.age_seconds):
                _log_change(upstream, 'another entry')

    def take_pending(self) -> list[ReportedLimit]:
        """Returns the limits to report to the other entries now: new ones, or those to repeat."""
        now_seconds = self.clock.seconds()
        pending: Iterable[Upstream] = self._pending.values()
        if now_seconds - self._repeated_seconds >= REPEAT_SECONDS:
            self._repeated_seconds = now_seconds
            repeated = {each.incarnation: each for each in self._repeated(now_seconds)}
            pending = {**repeated, **self._pending}.values()
        reported = [
            ReportedLimit(
                upstream.incarnation,
                upstream.limit.calls_per_second,
                now_seconds - upstream.limit.recorded_seconds,
            )
            for upstream in pending
        ]
        self._pending.clear()
        return reported

    def _repeated(self, now_seconds: float) -> Iterable[Upstream]:
        if not self.shares.is_listed:
            return
        for upstream in self.upstreams.all():
            is_named = upstream.limit.calls_per_second is not None
            ended_seconds_ago = now_seconds - upstream.limit.ended_seconds
            if is_named or ended_seconds_ago < END_REPEATED_SECONDS:
                rank = self.shares.rank_of(upstream.registration.address, upstream.region)
                if rank < REPEATING_ENTRIES:
                    yield upstream


def _log_change(upstream: Upstream, source: str) -> None:
    events.log(
        LIMIT_CHANGED,
        upstream=upstream.incarnation,
        calls_per_second=upstream.limit.calls_per_second,
        source=source,
    )
