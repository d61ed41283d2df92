"""The I/O layer of the weight tracker: feeds the pure tracker and performs its effects.

The entry program calls ``set_tracker`` when the control leader makes this entry
the tracker of its data centre, or replaces it. The latest ``ZoneHave`` of each other
data centre and release is always stored, but only a running tracker receives it.
"""

import random
from typing import Any, Protocol

from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.entry.manifest_builder import ManifestBuilder
from jackdawsail.entry.remote_entries import RemoteEntries
from jackdawsail.entry.tracker_plans import InterRegionRate, Planner
from jackdawsail.loops import make_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.weights.target import Records
from jackdawsail.weights.tracker import Effect, SendToAgent, Tracker
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.release_messages import ReleaseProblem
from jackdawsail.wire.weight_messages import (
    ChunkReport,
    FetchResult,
    SwitchAsk,
    ZoneHave,
)

TICK_SECONDS = 0.1
ZONE_UPDATE_SECONDS = 1.0
PROBE_SECONDS = 0.25
TICK_DELAY_SECONDS = 0.005
TRACKER_STARTED = events.define(
    530, 'info', 'this entry became the weight tracker of its data centre'
)
TRACKER_STOPPED = events.define(
    531, 'info', 'this entry is no longer the weight tracker of its data centre'
)


class Peers(Protocol):
    """The part of ``PeerLinks`` that the tracker uses."""

    def link_all_zones(self) -> None:
        """Makes the next directory update dial all entries of other zones."""


class Membership(Protocol):
    """Receives the tracker's problems: a reason for each agent."""

    problems: dict[str, str]


class TrackerRunner:
    """Owns the pure tracker while this entry is the tracker of its data centre."""

    def __init__(
        self,
        context: ProcessContext,
        router: MessageRouter,
        replica: Records,
        membership: Membership,
        peers: Peers,
    ) -> None:
        self._context = context
        self._router = router
        self._membership = membership
        self._rng = random.Random(context.identity.incarnation)
        self._tracker: Tracker | None = None
        self._agent_links: dict[str, Link] = {}
        self._zone_haves: dict[tuple[str, str], ZoneHave] = {}
        self._loops: list[LoopingCall] = []
        self._scheduled_tracker_tick: Any = None
        self._inbound_rate = InterRegionRate(router, context.identity.region)
        self._peers = peers
        self._manifest_builder = ManifestBuilder(context, self._send_to_control)
        self._remote_entries = RemoteEntries(context, router)
        self._planner = Planner(replica, context.identity.zone, self._inbound_rate)

    def set_tracker(self, is_tracker: bool) -> None:
        """Starts or stops the tracker; no change if it is already in that state."""
        if is_tracker == (self._tracker is not None):
            return
        if is_tracker:
            events.log(TRACKER_STARTED)
            self._tracker = Tracker(self._rng, self._now())
            self._refresh()
            self._repeat(self._tick, TICK_SECONDS)
            self._repeat(self._send_zone_updates, ZONE_UPDATE_SECONDS)
            self._repeat(self._probe, PROBE_SECONDS)
        else:
            events.log(TRACKER_STOPPED)
            self.stop()

    def stop(self) -> None:
        """Stops the timers and drops the tracker's soft state."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()
        self._manifest_builder.stop()
        self._tracker = None

    def handle_report(self, link: Link, report: ChunkReport) -> None:
        """Handles an agent's chunk report and stores its link, which orders are sent on."""
        tracker = self._tracker
        if tracker is None or link.peer is None:
            return
        self._agent_links[link.peer.name] = link
        tracker.record_report(link.peer.name, report, self._now())
        self._schedule_tracker_tick()

    def handle_result(self, link: Link, ended: FetchResult) -> None:
        """Handles the end of a transfer and orders the next one before the next periodic tick."""
        if self._tracker is not None and link.peer is not None:
            self._tracker.record_result(link.peer.name, ended, self._now())
            self._schedule_tracker_tick()

    def handle_switch_ask(self, link: Link, ask: SwitchAsk) -> None:
        """Handles an agent's request to switch its engine to a release."""
        if self._tracker is not None and link.peer is not None:
            self._tracker.request_switch(link.peer.name, ask.release)
            self._schedule_tracker_tick()

    def handle_zone_have(self, _link: Link, have: ZoneHave) -> None:
        """Stores what another data centre holds of a release."""
        self._zone_haves[(have.zone, have.release)] = have
        if self._tracker is not None:
            self._tracker.record_zone_chunks(have, self._now())

    def handle_link_closed(self, link: Link) -> None:
        """Removes an agent whose link closed, unless it has a newer link."""
        if link.peer is None or self._agent_links.get(link.peer.name) is not link:
            return
        self._agent_links.pop(link.peer.name)
        if self._tracker is not None:
            self._tracker.remove_agent(link.peer.name)

    def handle_state_change(self, keys: set[str]) -> None:
        """Recomputes the orders after a change of the replicated state."""
        if self._tracker is not None and keys:
            self._refresh()

    def _now(self) -> float:
        return self._context.reactor.seconds()

    def _repeat(self, action: Any, seconds: float) -> None:
        loop = make_loop(self._context.reactor, action)
        loop.start(seconds, now=False)
        self._loops.append(loop)

    def _refresh(self) -> None:
        if self._tracker is None:
            return
        orders = self._planner.orders(self._tracker.pacer)
        self._tracker.set_orders(orders, self._now())
        self._planner.build_missing_manifests(self._manifest_builder, self._tracker.pacer)

    def _tick(self) -> None:
        self._inbound_rate.measure(self._now())
        self._refresh()
        self._tick_tracker()

    def _schedule_tracker_tick(self) -> None:
        if self._scheduled_tracker_tick is None:
            self._scheduled_tracker_tick = self._context.reactor.callLater(
                TICK_DELAY_SECONDS, self._tick_tracker
            )

    def _tick_tracker(self) -> None:
        if self._scheduled_tracker_tick is not None and self._scheduled_tracker_tick.active():
            self._scheduled_tracker_tick.cancel()
        self._scheduled_tracker_tick = None
        if self._tracker is None:
            return
        for effect in self._tracker.tick(self._now()):
            self._perform(effect)

    def _send_zone_updates(self) -> None:
        if self._tracker is None:
            return
        updates = list(self._tracker.zone_updates(self._now()))
        if updates:
            self._peers.link_all_zones()
        for effect in updates:
            self._perform(effect)
        self._membership.problems = self._tracker.agent_problems()
        for release, reason in self._tracker.failed_releases().items():
            self._send_to_control(ReleaseProblem(release, reason))

    def _probe(self) -> None:
        if self._tracker is not None and self._tracker.is_fetching():
            self._remote_entries.probe(self._tracker.pacer)

    def _send_to_control(self, message: object) -> None:
        """Sends to every control host, because the leader may be changing."""
        for link in self._router.links_to(Role.control):
            link.send(message)

    def _perform(self, effect: Effect) -> None:
        if isinstance(effect, SendToAgent):
            link = self._agent_links.get(effect.agent)
            if link is not None:
                link.send(effect.message)
            return
        self._remote_entries.send(effect.message)


def make_tracker_runner(
    context: ProcessContext,
    router: MessageRouter,
    replica: Any,
    membership: Membership,
    peers: Peers,
) -> TrackerRunner:
    """Builds the runner and registers its message handlers; ``set_tracker`` starts it."""
    runner = TrackerRunner(context, router, replica, membership, peers)
    router.register_handler(ChunkReport, runner.handle_report)
    router.register_handler(FetchResult, runner.handle_result)
    router.register_handler(SwitchAsk, runner.handle_switch_ask)
    router.register_handler(ZoneHave, runner.handle_zone_have)
    router.watch_links(_ignore_opened, runner.handle_link_closed)
    replica.watch(runner.handle_state_change)
    return runner


def _ignore_opened(_link: Link) -> None:
    """Does nothing: an agent is registered by its first report."""
