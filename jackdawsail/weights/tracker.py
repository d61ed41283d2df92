"""The tracker of a data centre: orders fetches of chunks and permits switches (pure).

It is driven by the agents' messages and a clock reading, and returns effects.
Its state is soft: a new tracker waits for one round of chunk reports, adopts the
transfers that they name, and continues from there.
"""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.origin_budget import OriginBudget
from jackdawsail.weights.pacing import DelayPacer
from jackdawsail.weights.permits import PERMIT_SECONDS, SwitchPermits, switching_limit
from jackdawsail.weights.schedule import Scheduler, ZonePlan
from jackdawsail.weights.swarm import Swarm, Transfer
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
SHARE_REPEAT_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class ReleaseOrder:
    """A running release, as the replicated state and the settings describe it."""

    manifest: Manifest
    max_switching_share: float
    plan: ZonePlan


@dataclass(frozen=True, slots=True)
class SendToAgent:
    """Effect: send a message to an agent."""

    agent: str
    message: FetchOrder | SwitchPermit


@dataclass(frozen=True, slots=True)
class ShareWithZones:
    """Effect: report the chunks held here to the entries of the other data centres."""

    message: ZoneHave


Effect = SendToAgent | ShareWithZones


@dataclass(slots=True)
class _TrackedRelease:
    order: ReleaseOrder
    swarm: Swarm
    budget: OriginBudget
    scheduler: Scheduler
    ready_at_seconds: float
    shared: ZoneHave | None = None
    shared_at_seconds: float = 0


class Tracker:
    """Decides on fetches and switches for every running release of one data centre."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.pacer = DelayPacer()
        self._rng = rng
        self._ready_at_seconds = now + REPORT_ROUND_SECONDS
        self._tracked: dict[str, _TrackedRelease] = {}
        self._permits: dict[str, SwitchPermits] = {}

    def set_orders(self, orders: Mapping[str, ReleaseOrder], now: float) -> None:
        """Replaces the running releases; those no longer given are paused, aborted or done."""
        ended = set(self._tracked).difference(orders)
        for ended_release in ended:
            self._tracked.pop(ended_release)
        for release, order in orders.items():
            tracked = self._tracked.get(release)
            if tracked is None:
                self._tracked[release] = self._start_tracking(order, now)
            else:
                tracked.order = order

    def record_report(self, agent: str, report: ChunkReport, now: float) -> None:
        """Records an agent's chunk report."""
        tracked = self._tracked.get(report.release)
        if tracked is None:
            return
        tracked.swarm.record_report(agent, report, now)
        fetched_bytes = sum(member.origin_bytes for member in tracked.swarm.members.values())
        tracked.budget.raise_spent(fetched_bytes)
        permits = self._permits_of(tracked)
        if report.stage == 'switching':
            permits.adopt(agent, now)
        elif report.stage in {'serving', 'failed'}:
            permits.free(agent)

    def request_switch(self, agent: str, release: str) -> None:
        """Queues an agent that wants to switch its engine to a release."""
        tracked = self._tracked.get(release)
        if tracked is not None:
            self._permits_of(tracked).request(agent, release)

    def record_result(self, agent: str, result: FetchResult, now: float) -> None:
        """Records how a transfer has ended."""
        tracked = self._tracked.get(result.release)
        if tracked is None or agent not in tracked.swarm.members:
            return
        if result.chunk >= tracked.order.manifest.chunk_count:
            return
        tracked.swarm.end_transfer(agent, result.chunk)
        if result.source is SourceKind.origin:
            self._settle_origin(tracked, result, now)
        elif result.outcome not in {FetchOutcome.done, FetchOutcome.unkept}:
            is_corrupt = result.outcome is FetchOutcome.corrupt
            tracked.swarm.record_failure(result.address, now, corrupt=is_corrupt)
        if result.outcome is FetchOutcome.done:
            tracked.swarm.record_success(result.address)
            tracked.swarm.record_held(agent, result.chunk)

    def remove_agent(self, agent: str) -> None:
        """Removes an agent whose link has closed."""
        for tracked in self._tracked.values():
            self._remove_agent(tracked, agent)

    def record_zone_chunks(self, have: ZoneHave, now: float) -> None:
        """Records the chunks that another data centre reports."""
        tracked = self._tracked.get(have.release)
        if tracked is not None:
            tracked.swarm.record_remote(have, now)

    def tick(self, now: float) -> Iterator[Effect]:
        """Yields all orders and permits that are due now; called often."""
        for tracked in self._tracked.values():
            self._expire_overdue(tracked, now)
            if now >= tracked.ready_at_seconds:
                yield from self._order_fetches(tracked, now)
                yield from self._permit_switches(tracked, now)

    def zone_updates(self, now: float) -> Iterator[Effect]:
        """Yields reports to other data centres that are new or due again; called each second."""
        for tracked in self._tracked.values():
            have = tracked.swarm.make_zone_have(tracked.order.plan.zone)
            is_due = now - tracked.shared_at_seconds >= SHARE_REPEAT_SECONDS
            if have.holders and (is_due or have != tracked.shared):
                tracked.shared = have
                tracked.shared_at_seconds = now
                yield ShareWithZones(have)

    def is_fetching(self) -> bool:
        """Returns whether any transfer from another data centre or the origin is in progress."""
        return any(tracked.swarm.cross_zone_chunks for tracked in self._tracked.values())

    def failed_releases(self) -> dict[str, str]:
        """Returns the releases that cannot be completed, with the reason."""
        tracked = self._tracked.items()
        reasons = {release: each.budget.failed_reason for release, each in tracked}
        return {release: reason for release, reason in reasons.items() if reason}

    def agent_problems(self) -> dict[str, str]:
        """Returns the agents that cannot store a release, with the reason."""
        problems: dict[str, str] = {}
        for tracked in self._tracked.values():
            members = tracked.swarm.members.items()
            problems.update({name: each.problem for name, each in members if each.problem})
        return problems

    def _start_tracking(self, order: ReleaseOrder, now: float) -> _TrackedRelease:
        swarm = Swarm(order.manifest)
        zones = len(order.plan.zones)
        budget = OriginBudget(order.manifest.size_bytes, zones, self._rng)
        scheduler = Scheduler(swarm, budget, self._rng)
        ready_at_seconds = max(self._ready_at_seconds, now + GATHER_SECONDS)
        return _TrackedRelease(order, swarm, budget, scheduler, ready_at_seconds)

    def _permits_of(self, tracked: _TrackedRelease) -> SwitchPermits:
        return self._permits.setdefault(tracked.order.manifest.backend, SwitchPermits())

    def _settle_origin(self, tracked: _TrackedRelease, result: FetchResult, now: float) -> None:
        length_bytes = tracked.order.manifest.span(result.chunk).length_bytes
        budget = tracked.budget
        budget.settle(length_bytes, result.drawn_bytes)
        if result.outcome in {FetchOutcome.done, FetchOutcome.unkept}:
            budget.reset_backoff()
        elif result.outcome is FetchOutcome.changed:
            budget.record_changed(result.reason)
        elif result.outcome is FetchOutcome.corrupt:
            budget.record_corrupt(result.chunk, result.reason)
        else:
            budget.pause(result.retry_after_seconds, now)

    def _expire_overdue(self, tracked: _TrackedRelease, now: float) -> None:
        for agent in tracked.swarm.silent_agents(now):
            self._remove_agent(tracked, agent)
        for agent, chunk in tracked.swarm.overdue_transfers(now):
            transfer = tracked.swarm.end_transfer(agent, chunk)
            if transfer is not None:
                self._settle_lost(tracked, chunk, transfer)
                if transfer.address:
                    tracked.swarm.record_failure(transfer.address, now, corrupt=False)

    def _remove_agent(self, tracked: _TrackedRelease, agent: str) -> None:
        self._permits_of(tracked).free(agent)
        for chunk, transfer in tracked.swarm.remove_agent(agent):
            self._settle_lost(tracked, chunk, transfer)

    def _settle_lost(self, tracked: _TrackedRelease, chunk: int, transfer: Transfer) -> None:
        """Charges a lost fetch from the origin in full, since the byte budget is a hard limit."""
        if transfer.source is SourceKind.origin:
            length_bytes = tracked.order.manifest.span(chunk).length_bytes
            tracked.budget.settle(length_bytes, length_bytes)

    def _order_fetches(self, tracked: _TrackedRelease, now: float) -> Iterator[Effect]:
        by_agent: dict[str, list[FetchItem]] = {}
        for planned in tracked.scheduler.plan(tracked.order.plan, now):
            by_agent.setdefault(planned.agent, []).append(planned.fetch)
        for agent, fetches in by_agent.items():
            yield SendToAgent(agent, FetchOrder(tracked.order.manifest.release, fetches))

    def _permit_switches(self, tracked: _TrackedRelease, now: float) -> Iterator[Effect]:
        limit = switching_limit(tracked.order.max_switching_share, len(tracked.swarm.members))
        release = tracked.order.manifest.release
        for agent, permitted in self._permits_of(tracked).grant(limit, [release], now):
            yield SendToAgent(agent, SwitchPermit(permitted, PERMIT_SECONDS))
