"""What all calls of an entry share: the site view, upstreams, channels and limits."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from jackdawsail.group.calls import CallCodec
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.http1.messages import Headers, HttpAnswerHead, HttpRequest
from jackdawsail.proxy.calls import CallerCall, DispatchDetails, UpstreamHead
from jackdawsail.routing.late_calls import Pressure, RefusedCalls
from jackdawsail.routing.moving import MoveShare
from jackdawsail.routing.shared_limits import ColdBound, RetryShare
from jackdawsail.routing.upstreams import UpstreamTable
from jackdawsail.site.client import DecodeDocument
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.sources import OriginCodec


@dataclass(frozen=True, slots=True)
class TrafficCodec:
    """How callers' requests and upstreams' answers are read and written on this site."""

    decode_call: Callable[[HttpRequest], CallerCall]
    upstream_headers: Callable[[HttpRequest, DispatchDetails], Headers]
    decode_head: Callable[[HttpAnswerHead], UpstreamHead]
    retry_after: Callable[[float], Headers]


@dataclass(frozen=True, slots=True)
class EntryCodecs:
    """Everything that an entry reads and writes in the site's own formats."""

    traffic: TrafficCodec
    calls: CallCodec
    decode_document: DecodeDocument
    origin: OriginCodec


@dataclass(slots=True)
class ProxyContext:
    """Owned by the entry program; calls read it and note what they did.

    ``refusing`` is true once the entry stops and takes no more calls.
    """

    clock: Any
    settings: NodeSettings
    codec: TrafficCodec
    view: SiteView
    upstreams: UpstreamTable
    pool: ChannelPool
    rng: random.Random
    running: int = 0
    refusing: bool = False
    refused_calls: RefusedCalls = field(default_factory=RefusedCalls)
    _retries: dict[str, RetryShare] = field(default_factory=dict)
    _pressures: dict[str, Pressure] = field(default_factory=dict)
    _moves: dict[str, MoveShare] = field(default_factory=dict)

    @property
    def entries(self) -> int:
        """Returns how many entries share the site's limits, as far as known."""
        return max(1, len(self.view.entries()))

    @property
    def cold_bound(self) -> ColdBound:
        """Returns the bound on calls to an upstream that has just started."""
        bounds = self.settings.bounds
        return ColdBound(bounds.cold_ratio, bounds.cold_slack)

    def retry_share(self, service: str) -> RetryShare:
        """Returns this entry's part of a service's retry budget."""
        if service not in self._retries:
            bounds = self.settings.bounds
            share = RetryShare(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_seconds)
            self._retries[service] = share
        return self._retries[service]

    def pressure(self, service: str) -> Pressure:
        """Returns whether calls in time are being refused at a service."""
        return self._pressures.setdefault(service, Pressure())

    def take_move(self, service: str) -> bool:
        """Tells whether a stream may move now, and takes this entry's part of the moves."""
        now_seconds = self.clock.seconds()
        share = self._moves.setdefault(service, MoveShare())
        usable = self.upstreams.usable(service, self.view.control_received_seconds)
        taking = sum(1 for one in usable if not one.is_switching(now_seconds))
        return share.take(self.entries, taking, now_seconds)
