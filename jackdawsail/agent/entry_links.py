"""An agent's links to its entries: announcement, heartbeats, lease and state."""

import random
from collections.abc import Callable

from jackdawsail.agent.status import AgentStatus
from jackdawsail.loops import make_loop
from jackdawsail.membership.leases import Lease
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.settings.models import AgentSettings
from jackdawsail.state.replica import StateReplica, UpdateOutcome
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import (
    Announce,
    Heartbeat,
    HeartbeatAck,
    Leaving,
    StateDelta,
    StateSnapshot,
    UpstreamKind,
    UpstreamLoad,
)

HEARTBEAT_SECONDS = 1.0


class EntryLinks:
    """Announces the agent to every entry, sends heartbeats and renews the lease."""

    def __init__(
        self,
        context: ProcessContext,
        router: MessageRouter,
        replica: StateReplica,
        lease: Lease,
        status: AgentStatus,
        load: Callable[[], UpstreamLoad],
    ) -> None:
        self._reactor = context.reactor
        self._router = router
        self._replica = replica
        self._lease = lease
        self._status = status
        self._load = load
        self._announce: Announce | None = None
        self._tracker: Link | None = None
        self._tracker_watcher: Callable[[Link | None], None] = _ignore_tracker
        self._links: dict[str, Link] = {}
        self._dialers = _make_dialers(context, router)
        self._loop = make_loop(context.reactor, self.send_heartbeats)
        router.watch_links(self._on_link_opened, self._on_link_closed)
        router.register_handler(HeartbeatAck, self._on_heartbeat_ack)
        router.register_handler(StateSnapshot, self._apply_state)
        router.register_handler(StateDelta, self._apply_state)

    def watch_tracker(self, watcher: Callable[[Link | None], None]) -> None:
        """Sets the callback for the link to the zone's weight tracker (None: no tracker known)."""
        self._tracker_watcher = watcher

    def start(self, announce: Announce) -> None:
        """Dials the entries and starts the heartbeats."""
        self._announce = announce
        for dialer in self._dialers:
            dialer.start()
        self._loop.start(HEARTBEAT_SECONDS)

    def stop(self) -> None:
        """Stops the heartbeats and closes the links."""
        if self._loop.running:
            self._loop.stop()
        for dialer in self._dialers:
            dialer.stop()

    def send_leaving(self) -> None:
        """Sends every entry the notice that the agent is stopping gracefully."""
        for link in self._links.values():
            link.send(Leaving('agent is stopping'))

    def send_heartbeats(self) -> None:
        """Sends one heartbeat, with the same sequence number, to every entry."""
        load = self._load()
        sequence = self._lease.record_request(self._reactor.seconds())
        for link in self._links.values():
            link.send(Heartbeat(sequence, load, self._replica.revision))

    def _on_link_opened(self, link: Link) -> None:
        if link.peer is None or link.peer.role is not Role.entry or self._announce is None:
            return
        self._links[link.peer.name] = link
        link.send(self._announce)
        link.send(self._replica.subscription())
        sequence = self._lease.record_request(self._reactor.seconds())
        link.send(Heartbeat(sequence, self._load(), self._replica.revision))

    def _on_link_closed(self, link: Link) -> None:
        if link.peer and self._links.get(link.peer.name) is link:
            del self._links[link.peer.name]
        if self._tracker is link:
            self._set_tracker(None)

    def _on_heartbeat_ack(self, link: Link, ack: HeartbeatAck) -> None:
        self._lease.record_reply(ack.sequence, ack.lease_seconds, ack.lease_number)
        self._status.fence_number = self._lease.number
        self._status.lease_until_seconds = self._lease.until_seconds
        if ack.is_tracker:
            self._set_tracker(link)
        elif self._tracker is link:
            self._set_tracker(None)

    def _set_tracker(self, link: Link | None) -> None:
        if link is not self._tracker:
            self._tracker = link
            self._tracker_watcher(link)

    def _apply_state(self, link: Link, received: StateSnapshot | StateDelta) -> None:
        if self._replica.apply_update(received) is UpdateOutcome.gap:
            link.send(self._replica.subscription())


def _ignore_tracker(_link: Link | None) -> None:
    """Does nothing: the agent of a plain service has no weights."""


def make_announce(settings: AgentSettings, chunk_address: str) -> Announce:
    """Builds the announcement from the settings.

    ``chunk_address`` is empty for a plain service.
    """
    return Announce(
        UpstreamKind(settings.upstream_kind),
        settings.backend,
        chunk_address,
        settings.capacity,
        settings.checks_fence,
    )


def _make_dialers(context: ProcessContext, router: MessageRouter) -> list[Dialer]:
    settings = context.settings.agent
    addresses = settings.entries if settings else []
    rng = random.Random(context.identity.incarnation)
    return [
        Dialer(context.reactor, address, context.link_settings, router, rng)
        for address in addresses
    ]
