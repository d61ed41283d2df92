"""Keeps this entry's channels to each upstream within its part of the service's limit."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.http1.channel_pool import ChannelPool
from jackdawsail.proxy import metrics
from jackdawsail.routing.channel_parts import (
    CHANNEL_WINDOW_SECONDS,
    MAX_HOLD_SECONDS,
    ConnectHold,
    idle_to_close,
    own_channels,
)
from jackdawsail.routing.placement import Refusal
from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import SiteDocument

CHANNEL_RESET = events.define(
    450, 'warning', 'upstream has reset a new channel, no more are opened for a while'
)
CHANNELS_CLOSED = events.define(
    451, 'info', 'idle channels closed, as the part of this entry has become smaller'
)
CHANNELS_USED_UP = events.define(
    452, 'warning', 'no upstream for a call, as no further channel may be opened'
)
# A connection over the limit is reset when the upstream accepts it, within a round trip and a
# turn of a busy process. A later reset has other causes.
EARLY_RESET_SECONDS = 0.1
# Channels are in use for one call each, so that one is free again much sooner than a slot.
RETRY_AFTER_MIN_SECONDS = 0.1
RETRY_AFTER_MAX_SECONDS = 0.4


@dataclass(slots=True)
class ChannelLimits:
    """The limits on channels of one entry; services without ``max_channels`` have none.

    ``_settled_parts`` keeps the parts by address, as every call asks for those of all upstreams.
    """

    clock: Clock
    pool: ChannelPool
    shares: EntryShares
    _max_by_service: dict[str, int] = field(default_factory=dict)
    _holds: dict[str, ConnectHold] = field(default_factory=dict)
    _settled_parts: dict[str, int] = field(default_factory=dict)

    def document_applied(self, document: SiteDocument) -> None:
        """Replaces the limits of the services; called after the entries have changed, too."""
        self._settled_parts.clear()
        self._max_by_service = {
            service.name: service.max_channels
            for service in document.services
            if service.max_channels > 0
        }

    def allows(self, upstream: Upstream, *, fresh_channel: bool) -> bool:
        """Returns whether a call can be sent without a channel over this entry's part."""
        address = upstream.registration.address
        if upstream.registration.service not in self._max_by_service:
            return True
        settled_part = self._settled_parts.get(address, 0)
        if not self._holds and self.pool.open_count(address) < settled_part:
            return True
        if not fresh_channel and self.pool.has_idle(address):
            return True
        return self._idle_to_close(upstream) is not None

    def make_room(self, upstream: Upstream) -> bool:
        """Closes idle channels until one more may be opened; returns False if none may be."""
        if upstream.registration.service not in self._max_by_service:
            return True
        excess = self._idle_to_close(upstream)
        if excess:
            self.pool.close_oldest(upstream.registration.address, excess)
            metrics.CHANNELS_REPLACED.inc(excess)
        return excess is not None

    def channel_reset(self, upstream: Upstream, open_seconds: float) -> None:
        """Records that a channel was reset before any answer, after it was open for a time."""
        is_limited = upstream.registration.service in self._max_by_service
        if not is_limited or open_seconds > EARLY_RESET_SECONDS:
            return
        metrics.CHANNELS_RESET.inc()
        address = upstream.registration.address
        hold = self._holds.setdefault(address, ConnectHold())
        now_seconds = self.clock.seconds()
        if hold.record_reset(now_seconds):
            events.log(
                CHANNEL_RESET,
                upstream=upstream.name,
                open_channels=self.pool.open_count(address),
                part=self._part_of(upstream),
                hold_seconds=round(hold.until_seconds - now_seconds, 3),
            )

    def channel_answered(self, upstream: Upstream) -> None:
        """Records an answer on a new channel, which shows that the upstream accepts them."""
        if self._holds:
            self._holds.pop(upstream.registration.address, None)

    def refuse(
        self, upstreams: Iterable[Upstream], rng: random.Random, *, fresh_channel: bool
    ) -> Refusal | None:
        """Returns the refusal of a call that no upstream can get, if one lacks only a channel."""
        withheld = [
            upstream.name
            for upstream in upstreams
            if not self.allows(upstream, fresh_channel=fresh_channel)
        ]
        if not withheld:
            return None
        events.log(CHANNELS_USED_UP, upstreams=withheld)
        retry_after_seconds = rng.uniform(RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS)
        return Refusal('channels are in use', retry_after_seconds)

    def close_excess(self, upstreams: Iterable[Upstream]) -> None:
        """Closes idle channels over this entry's parts, and updates the metrics."""
        self._settled_parts.clear()
        self._forget_holds()
        for upstream in upstreams:
            address = upstream.registration.address
            open_count = self.pool.open_count(address)
            if not open_count or upstream.registration.service not in self._max_by_service:
                continue
            part = self._part_of(upstream)
            closed = self.pool.close_oldest(address, open_count - part)
            if closed:
                events.log(CHANNELS_CLOSED, upstream=upstream.name, closed=closed, part=part)
        for state, count in self.pool.counts().items():
            metrics.CHANNELS.labels(state).set(count)

    def _forget_holds(self) -> None:
        """Forgets holds that ended long ago, so that gone upstreams leave nothing behind."""
        since_seconds = self.clock.seconds() - MAX_HOLD_SECONDS
        self._holds = {
            address: hold for address, hold in self._holds.items() if hold.is_active(since_seconds)
        }

    def _part_of(self, upstream: Upstream) -> int:
        max_channels = self._max_by_service[upstream.registration.service]
        now_seconds = self.clock.seconds()
        part = own_channels(max_channels, self.shares, upstream, now_seconds)
        if not self.shares.unsettled_seconds(CHANNEL_WINDOW_SECONDS, now_seconds):
            self._settled_parts[upstream.registration.address] = part
        return part

    def _idle_to_close(self, upstream: Upstream) -> int | None:
        """Returns how many idle channels make way for a new one; None if none may be opened."""
        address = upstream.registration.address
        hold = self._holds.get(address)
        if hold is not None and hold.is_active(self.clock.seconds()):
            return None
        open_count, part = self.pool.open_count(address), self._part_of(upstream)
        # Counting the idle channels is needed only once the part is used up.
        idle_count = self.pool.idle_count(address) if open_count >= part else 0
        return idle_to_close(open_count, idle_count, part)
