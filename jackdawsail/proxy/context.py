"""Shared state of all calls of an entry: site view, upstreams, channels and limits."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.proxy import channel_limits, metrics, prefix_placement
from jackdawsail.proxy.codecs import TrafficCodec
from jackdawsail.proxy.limit_reports import LimitReports
from jackdawsail.proxy.rank_control import RankControl
from jackdawsail.proxy.recent_events import RecentEvents
from jackdawsail.proxy.trait_reports import TraitReports
from jackdawsail.routing.late_calls import Pressure, RefusedCalls, is_late
from jackdawsail.routing.moving import MoveShare
from jackdawsail.routing.sends import COLD_WINDOW_SECONDS
from jackdawsail.routing.shared_limits import ColdBound, RetryShare
from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.process import NodeProcess
from jackdawsail.site.view import SiteView


@dataclass(slots=True)
class ProxyContext:
    """Shared state of an entry, owned by its program; calls read it and record to it.

    ``calls`` are the functions that end the calls being served, for a reason, by the ids of
    their tasks. ``refusing`` is true once the entry stops and accepts no more calls.
    ``started_seconds`` is when the process started, and ``shares`` are its parts of the limits on
    sums over all entries. ``traits`` holds what is known about traits of calls that crash engines,
    ``limits`` records the limits that upstreams name, ``channels`` keeps the channels within theirs,
    ``ranks`` divides scarce engines by urgency, and ``prefixes`` weighs what engines keep of
    prompts. ``recent`` has the events that aborted answers are compared with.
    """

    clock: Any
    settings: NodeSettings
    codec: TrafficCodec
    view: SiteView
    upstreams: UpstreamTable
    pool: ChannelPool
    rng: random.Random
    started_seconds: float = float('-inf')
    refusing: bool = False
    calls: dict[int, Callable[[str], None]] = field(default_factory=dict)
    refused_calls: RefusedCalls = field(default_factory=RefusedCalls)
    recent: RecentEvents = field(default_factory=RecentEvents)
    prefixes: prefix_placement.PrefixPlacement = field(
        default_factory=prefix_placement.PrefixPlacement
    )
    _retries: dict[str, RetryShare] = field(default_factory=dict)
    _pressures: dict[str, Pressure] = field(default_factory=dict)
    _moves: dict[str, MoveShare] = field(default_factory=dict)
    shares: EntryShares = field(init=False)
    traits: TraitReports = field(init=False)
    limits: LimitReports = field(init=False)
    channels: channel_limits.ChannelLimits = field(init=False)
    ranks: RankControl = field(init=False)

    def __post_init__(self) -> None:
        """Creates the shares of this entry, which follow the view of the site, and its reports."""
        self.traits = TraitReports(self.clock, self.pool)
        self.shares = EntryShares(self.settings.address, self.started_seconds)
        self.limits = LimitReports(self.clock, self.upstreams, self.shares)
        self.channels = channel_limits.ChannelLimits(self.clock, self.pool, self.shares)
        self.ranks = RankControl(self.clock, self.view, self.settings.address)
        self.view.on_change.append(self._site_changed)
        self._site_changed()

    @property
    def running(self) -> int:
        """Returns the number of calls being served."""
        return len(self.calls)

    @property
    def entries(self) -> int:
        """Returns the number of entries that share the site's limits, at least 1."""
        return self.shares.count

    @property
    def unsettled_seconds(self) -> float:
        """Returns the time until this entry may call upstreams that may be cold.

        It is infinite while the entry is not listed among those that share the limits.
        """
        return self.shares.unsettled_seconds(COLD_WINDOW_SECONDS, self.clock.seconds())

    @property
    def cold_bound(self) -> ColdBound:
        """Returns the limit of calls to an upstream that has just started."""
        bounds = self.settings.bounds
        return ColdBound(bounds.cold_ratio, bounds.cold_slack)

    def retry_share(self, service: str) -> RetryShare:
        """Returns this entry's share of a service's retry budget."""
        if service not in self._retries:
            bounds = self.settings.bounds
            share = RetryShare(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds)
            self._retries[service] = share
        return self._retries[service]

    def pressure(self, service: str) -> Pressure:
        """Returns the record of recent refusals of a service's calls that could be in time."""
        return self._pressures.setdefault(service, Pressure())

    def is_late(self, fingerprint: bytes, target_seconds: float) -> bool:
        """Returns whether a call was refused so long ago that it cannot be served in time."""
        now_seconds = self.clock.seconds()
        used_seconds = self.refused_calls.seconds_since_refusal(fingerprint, now_seconds)
        return is_late(used_seconds, target_seconds)

    def take_move(self, service: str) -> bool:
        """Returns whether a stream may move now, and takes the move from this entry's share."""
        now_seconds = self.clock.seconds()
        share = self._moves.setdefault(service, MoveShare(service))
        usable = self.upstreams.usable(service, self.view.control_received_seconds)
        accepting = sum(1 for upstream in usable if not upstream.is_switching(now_seconds))
        return share.take(self.shares, accepting, now_seconds)

    def _site_changed(self) -> None:
        self.recent.document_applied(self.view.document_version, self.clock.seconds())
        self.ranks.site_changed()
        self.shares.update(self.view.sharing_entries, self.clock.seconds())
        if self.view.table is not None:
            self.channels.document_applied(self.view.table.document)
            self.prefixes.document_applied(self.view.table.document)
        metrics.ENTRIES.set(self.entries)


def make_proxy_context(process: NodeProcess, codec: TrafficCodec) -> ProxyContext:
    """Builds the shared state of an entry that knows nothing of its site yet."""
    reactor = process.reactor
    settings = process.settings
    return ProxyContext(
        clock=reactor,
        settings=settings,
        codec=codec,
        view=SiteView(),
        upstreams=UpstreamTable(settings.heartbeat_seconds, dict(settings.region_by_zone)),
        pool=ChannelPool(reactor, reactor, settings.address),
        rng=random.Random(process.incarnation),
        started_seconds=process.started_seconds,
    )
