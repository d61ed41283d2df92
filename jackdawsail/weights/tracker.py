"""The tracker of a data centre: orders chunks and permits switches (pure).

It is driven by the agents' messages and a clock reading, and returns effects.
Its state is soft: a new tracker waits one round of chunk reports, honours the
transfers that they name, and goes on.
"""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.origin_budget import OriginBudget
from jackdawsail.weights.pacing import DelayPacer
from jackdawsail.weights.permits import PERMIT_SECONDS, SwitchPermits, switching_limit
from jackdawsail.weights.schedule import Scheduler, ZonePlan
from jackdawsail.weights.swarm import Flight, Swarm
from jackdawsail.wire.weight_messages import (
    ChunkReport,
    FetchItem,
    FetchOrder,
    FetchOutcome,
    FetchResult,
    SourceKind,
    SwitchPermit,
    ZoneHave,
)

REPORT_ROUND_SECONDS = 2.0
GATHER_SECONDS = 0.2
SHARE_AGAIN_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """What the replicated state and the settings say about one running release."""

    manifest: Manifest
    max_switching_share: float
    plan: ZonePlan


@dataclass(frozen=True, slots=True)
class SendToAgent:
    """Effect: send a message to an agent."""

    agent: str
    sent: FetchOrder | SwitchPermit


@dataclass(frozen=True, slots=True)
class ShareWithZones:
    """Effect: tell the other data centres' entries what is held here."""

    sent: ZoneHave


Effect = SendToAgent | ShareWithZones


@dataclass(slots=True)
class _Tracked:
    order: ReleaseOrder
    swarm: Swarm
    budget: OriginBudget
    scheduler: Scheduler
    ready_at_seconds: float
    shared: ZoneHave | None = None
    shared_at_seconds: float = 0


class Tracker:
    """Decides for every running release of one data centre."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.pacer = DelayPacer()
        self._rng = rng
        self._ready_at_seconds = now + REPORT_ROUND_SECONDS
        self._tracked: dict[str, _Tracked] = {}
        self._permits: dict[str, SwitchPermits] = {}

    def set_orders(self, orders: Mapping[str, ReleaseOrder], now: float) -> None:
        """Takes the running releases; what is missing is paused, aborted or done."""
        ended = set(self._tracked).difference(orders)
        for gone in ended:
            self._tracked.pop(gone)
        for release, order in orders.items():
            tracked = self._tracked.get(release)
            if tracked is None:
                self._tracked[release] = self._track(order, now)
            else:
                tracked.order = order

    def record_report(self, agent: str, report: ChunkReport, now: float) -> None:
        """Takes one agent's account of its chunks."""
        tracked = self._tracked.get(report.release)
        if tracked is None:
            return
        tracked.swarm.report(agent, report, now)
        drawn = sum(member.origin_bytes for member in tracked.swarm.members.values())
        tracked.budget.note_floor(drawn)
        permits = self._permits_of(tracked)
        if report.stage == 'switching':
            permits.adopt(agent, now)
        elif report.stage in {'serving', 'failed'}:
            permits.end(agent)

    def request_switch(self, agent: str, release: str) -> None:
        """Queues an agent that wants to change its engine."""
        tracked = self._tracked.get(release)
        if tracked is not None:
            self._permits_of(tracked).ask(agent, release)

    def record_result(self, agent: str, ended: FetchResult, now: float) -> None:
        """Takes the end of one transfer."""
        tracked = self._tracked.get(ended.release)
        if tracked is None or agent not in tracked.swarm.members:
            return
        if ended.chunk >= tracked.order.manifest.chunk_count:
            return
        tracked.swarm.end(agent, ended.chunk)
        if ended.source is SourceKind.origin:
            self._settle_origin(tracked, ended, now)
        elif ended.outcome not in {FetchOutcome.done, FetchOutcome.unkept}:
            is_corrupt = ended.outcome is FetchOutcome.corrupt
            tracked.swarm.blame(ended.address, now, corrupt=is_corrupt)
        if ended.outcome is FetchOutcome.done:
            tracked.swarm.praise(ended.address)
            tracked.swarm.hold(agent, ended.chunk)

    def remove_agent(self, agent: str) -> None:
        """Forgets an agent whose link has ended."""
        for tracked in self._tracked.values():
            self._drop(tracked, agent)

    def record_zone_chunks(self, have: ZoneHave, now: float) -> None:
        """Takes another data centre's account of its chunks."""
        tracked = self._tracked.get(have.release)
        if tracked is not None:
            tracked.swarm.note_remote(have, now)

    def tick(self, now: float) -> Iterator[Effect]:
        """Yields everything there is to order now; call it often."""
        for tracked in self._tracked.values():
            self._expire(tracked, now)
            if now >= tracked.ready_at_seconds:
                yield from self._order_fetches(tracked, now)
                yield from self._permit_switches(tracked, now)

    def zone_updates(self, now: float) -> Iterator[Effect]:
        """Yields what is new to the other data centres, or due again; call it each second."""
        for tracked in self._tracked.values():
            share = tracked.swarm.share(tracked.order.plan.zone)
            is_due = now - tracked.shared_at_seconds >= SHARE_AGAIN_SECONDS
            if share.holders and (is_due or share != tracked.shared):
                tracked.shared = share
                tracked.shared_at_seconds = now
                yield ShareWithZones(share)

    def is_fetching(self) -> bool:
        """Tells whether anything comes in from other data centres or the origin."""
        return any(tracked.swarm.crossing for tracked in self._tracked.values())

    def failed_releases(self) -> dict[str, str]:
        """Returns the releases that cannot be completed, with the reason."""
        tracked = self._tracked.items()
        reasons = {release: each.budget.failed_reason for release, each in tracked}
        return {release: reason for release, reason in reasons.items() if reason}

    def agent_problems(self) -> dict[str, str]:
        """Returns the agents that cannot take a release, with the reason."""
        found: dict[str, str] = {}
        for tracked in self._tracked.values():
            members = tracked.swarm.members.items()
            found.update({name: each.problem for name, each in members if each.problem})
        return found

    def _track(self, order: ReleaseOrder, now: float) -> _Tracked:
        swarm = Swarm(order.manifest)
        zones = len(order.plan.zones)
        budget = OriginBudget(order.manifest.size_bytes, zones, self._rng)
        scheduler = Scheduler(swarm, budget, self._rng)
        ready_at_seconds = max(self._ready_at_seconds, now + GATHER_SECONDS)
        return _Tracked(order, swarm, budget, scheduler, ready_at_seconds)

    def _permits_of(self, tracked: _Tracked) -> SwitchPermits:
        return self._permits.setdefault(tracked.order.manifest.backend, SwitchPermits())

    def _settle_origin(self, tracked: _Tracked, ended: FetchResult, now: float) -> None:
        length_bytes = tracked.order.manifest.span(ended.chunk).length_bytes
        budget = tracked.budget
        budget.settle(length_bytes, ended.drawn_bytes)
        if ended.outcome in {FetchOutcome.done, FetchOutcome.unkept}:
            budget.note_good()
        elif ended.outcome is FetchOutcome.changed:
            budget.note_changed(ended.reason)
        elif ended.outcome is FetchOutcome.corrupt:
            budget.note_corrupt(ended.chunk, ended.reason)
        else:
            budget.pause(ended.retry_after_seconds, now)

    def _expire(self, tracked: _Tracked, now: float) -> None:
        for agent in tracked.swarm.silent(now):
            self._drop(tracked, agent)
        for agent, chunk in tracked.swarm.late(now):
            flight = tracked.swarm.end(agent, chunk)
            if flight is not None:
                self._lose(tracked, chunk, flight)
                if flight.address:
                    tracked.swarm.blame(flight.address, now, corrupt=False)

    def _drop(self, tracked: _Tracked, agent: str) -> None:
        self._permits_of(tracked).end(agent)
        for chunk, flight in tracked.swarm.remove(agent):
            self._lose(tracked, chunk, flight)

    def _lose(self, tracked: _Tracked, chunk: int, flight: Flight) -> None:
        """Counts a lost origin draw as drawn whole, for the budget is hard."""
        if flight.source is SourceKind.origin:
            length_bytes = tracked.order.manifest.span(chunk).length_bytes
            tracked.budget.settle(length_bytes, length_bytes)

    def _order_fetches(self, tracked: _Tracked, now: float) -> Iterator[Effect]:
        by_agent: dict[str, list[FetchItem]] = {}
        for placed in tracked.scheduler.plan(tracked.order.plan, now):
            by_agent.setdefault(placed.agent, []).append(placed.fetch)
        for agent, fetches in by_agent.items():
            yield SendToAgent(agent, FetchOrder(tracked.order.manifest.release, fetches))

    def _permit_switches(self, tracked: _Tracked, now: float) -> Iterator[Effect]:
        limit = switching_limit(tracked.order.max_switching_share, len(tracked.swarm.members))
        release = tracked.order.manifest.release
        for agent, permitted in self._permits_of(tracked).grant(limit, [release], now):
            yield SendToAgent(agent, SwitchPermit(permitted, PERMIT_SECONDS))
