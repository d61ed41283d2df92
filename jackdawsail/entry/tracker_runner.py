"""The entry's weight tracker: feeds the pure tracker and carries its effects out.

Entry main calls ``set_tracker`` as the control leader names this entry tracker
of its data centre or another. Accounts of other data centres are kept always,
so that a new tracker knows them at once.
"""

import random
from typing import Any, Protocol

from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.entry.far_entries import FarEntries
from jackdawsail.entry.first_read import FirstReader
from jackdawsail.entry.tracker_plans import LiveRate, Planner
from jackdawsail.process import ProcessContext
from jackdawsail.switchboard import Switchboard
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
SHARE_SECONDS = 1.0
PROBE_SECONDS = 0.25
SOON_SECONDS = 0.005
TRACKER_BEGINS = events.define(530, 'info', 'this entry is the weight tracker')
TRACKER_ENDS = events.define(531, 'info', 'this entry is no longer the weight tracker')


class Peers(Protocol):
    """What the tracker needs of the entry's links to other zones."""

    def reach_zones(self) -> None:
        """Opens links to the entries of the other zones, and keeps them."""


class Membership(Protocol):
    """What the tracker tells the entry's membership."""

    problems: dict[str, str]


class TrackerRunner:
    """Owns the pure tracker while this entry is the tracker."""

    def __init__(
        self,
        context: ProcessContext,
        switchboard: Switchboard,
        replica: Records,
        membership: Membership,
        peers: Peers,
    ) -> None:
        self._context = context
        self._switchboard = switchboard
        self._membership = membership
        self._rng = random.Random(context.identity.incarnation)
        self._tracker: Tracker | None = None
        self._agents: dict[str, Link] = {}
        self._haves: dict[tuple[str, str], ZoneHave] = {}
        self._loops: list[LoopingCall] = []
        self._soon: Any = None
        self._live = LiveRate(switchboard, context.identity.region)
        self._peers = peers
        self._reader = FirstReader(context, self._tell_control)
        self._far = FarEntries(context, switchboard)
        self._planner = Planner(replica, context.identity.zone, self._live)

    def set_tracker(self, is_tracker: bool) -> None:
        """Begins or ends to be the tracker."""
        if is_tracker == (self._tracker is not None):
            return
        if is_tracker:
            events.log(TRACKER_BEGINS)
            self._tracker = Tracker(self._rng, self._now())
            self._refresh()
            self._repeat(self._tick, TICK_SECONDS)
            self._repeat(self._share, SHARE_SECONDS)
            self._repeat(self._probe, PROBE_SECONDS)
        else:
            events.log(TRACKER_ENDS)
            self.stop()

    def stop(self) -> None:
        """Ends the timers and forgets the soft state."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()
        self._reader.stop()
        self._tracker = None

    def take_report(self, link: Link, report: ChunkReport) -> None:
        """Takes an agent's report; its link is kept for orders."""
        tracker = self._tracker
        if tracker is None or link.peer is None:
            return
        self._agents[link.peer.name] = link
        tracker.record_report(link.peer.name, report, self._now())
        self._tick_soon()

    def take_result(self, link: Link, ended: FetchResult) -> None:
        """Takes the end of a transfer and orders the next at once."""
        if self._tracker is not None and link.peer is not None:
            self._tracker.record_result(link.peer.name, ended, self._now())
            self._tick_soon()

    def take_ask(self, link: Link, asked: SwitchAsk) -> None:
        """Takes an agent's wish to change its engine."""
        if self._tracker is not None and link.peer is not None:
            self._tracker.request_switch(link.peer.name, asked.release)
            self._tick_soon()

    def take_have(self, _link: Link, have: ZoneHave) -> None:
        """Keeps another data centre's account."""
        self._haves[(have.zone, have.release)] = have
        if self._tracker is not None:
            self._tracker.record_zone_chunks(have, self._now())

    def lost_link(self, link: Link) -> None:
        """Forgets an agent whose link has ended, unless it has a newer one."""
        if link.peer is None or self._agents.get(link.peer.name) is not link:
            return
        self._agents.pop(link.peer.name)
        if self._tracker is not None:
            self._tracker.remove_agent(link.peer.name)

    def changed(self, keys: set[str]) -> None:
        """Follows the replicated state."""
        if self._tracker is not None and keys:
            self._refresh()

    def _now(self) -> float:
        return self._context.reactor.seconds()

    def _repeat(self, action: Any, seconds: float) -> None:
        loop = LoopingCall(action)
        loop.clock = self._context.reactor
        loop.start(seconds, now=False)
        self._loops.append(loop)

    def _refresh(self) -> None:
        if self._tracker is None:
            return
        orders = self._planner.orders(self._tracker.pacer)
        self._tracker.set_orders(orders, self._now())
        self._planner.read_unread(self._reader, self._tracker.pacer)

    def _tick(self) -> None:
        self._live.measure(self._now())
        self._refresh()
        self._decide()

    def _tick_soon(self) -> None:
        if self._soon is None:
            self._soon = self._context.reactor.callLater(SOON_SECONDS, self._decide)

    def _decide(self) -> None:
        if self._soon is not None and self._soon.active():
            self._soon.cancel()
        self._soon = None
        if self._tracker is None:
            return
        for effect in self._tracker.tick(self._now()):
            self._carry_out(effect)

    def _share(self) -> None:
        if self._tracker is None:
            return
        shares = list(self._tracker.zone_updates(self._now()))
        if shares:
            self._peers.reach_zones()
        for effect in shares:
            self._carry_out(effect)
        self._membership.problems = self._tracker.agent_problems()
        for release, reason in self._tracker.failed_releases().items():
            self._tell_control(ReleaseProblem(release, reason))

    def _probe(self) -> None:
        if self._tracker is not None and self._tracker.is_fetching():
            self._far.probe(self._tracker.pacer)

    def _tell_control(self, sent: object) -> None:
        """Tells every control host, for the leader may just be changing."""
        for link in list(self._switchboard.links):
            if link.peer and link.peer.role is Role.control:
                link.send(sent)

    def _carry_out(self, effect: Effect) -> None:
        if isinstance(effect, SendToAgent):
            link = self._agents.get(effect.agent)
            if link is not None:
                link.send(effect.sent)
            return
        self._far.send(effect.sent)


def make_tracker_runner(
    context: ProcessContext,
    switchboard: Switchboard,
    replica: Any,
    membership: Membership,
    peers: Peers,
) -> TrackerRunner:
    """Builds the part and registers its messages; ``set_tracker`` sets it to work."""
    part = TrackerRunner(context, switchboard, replica, membership, peers)
    switchboard.on(ChunkReport, part.take_report)
    switchboard.on(FetchResult, part.take_result)
    switchboard.on(SwitchAsk, part.take_ask)
    switchboard.on(ZoneHave, part.take_have)
    switchboard.watch(_ignore, part.lost_link)
    replica.watch(part.changed)
    return part


def _ignore(_link: Link) -> None:
    """Links that open are of no interest before their first report."""
