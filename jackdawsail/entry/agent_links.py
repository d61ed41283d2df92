"""An entry's links to the agents of its zone: announcements, heartbeats and lease renewals."""

from collections.abc import Callable
from typing import Any

from jackdawsail import events
from jackdawsail.entry.control_links import ControlLinks
from jackdawsail.membership.zone_table import ZoneTable
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import Announce, Heartbeat, HeartbeatAck, Leaving

AGENT_ANNOUNCED = events.define(310, 'info', 'agent announced its upstream')
AGENT_LEAVING = events.define(311, 'info', 'agent is stopping gracefully')
AGENT_LOST = events.define(312, 'info', 'link of an agent closed')

LostWatcher = Callable[[str], None]


class AgentLinks:
    """Updates the zone table from agents' messages and finds an agent's link by name.

    Each heartbeat is acknowledged with the remaining time of the zone's lease.
    """

    def __init__(
        self, reactor: Any, router: MessageRouter, table: ZoneTable, control: ControlLinks
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._control = control
        self._links: dict[str, Link] = {}
        self._watchers: list[LostWatcher] = []
        router.register_handler(Announce, self._on_announce)
        router.register_handler(Heartbeat, self._on_heartbeat)
        router.register_handler(Leaving, self._on_leaving)
        router.watch_links(_ignore_opened, self._on_link_closed)

    def watch_lost(self, watcher: LostWatcher) -> None:
        """Registers a callback that gets the name of each agent whose link closed or was replaced."""
        self._watchers.append(watcher)

    def link(self, name: str) -> Link | None:
        """Returns the link of an agent, or None while it is not connected."""
        return self._links.get(name)

    def _on_announce(self, link: Link, announce: Announce) -> None:
        peer = link.peer
        if peer is None or peer.role is not Role.agent:
            return
        previous = self._links.get(peer.name)
        if previous is not None and previous is not link:
            previous.abort('agent has connected again')
            self._notify_lost(peer.name)
        self._links[peer.name] = link
        self._table.record_announce(peer, announce, self._reactor.seconds())
        events.log(AGENT_ANNOUNCED, agent=peer.name, backend=announce.backend)

    def _on_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        now_seconds = self._reactor.seconds()
        if link.peer is None or not self._table.record_heartbeat(link.peer, beat, now_seconds):
            return
        lease = self._control.lease
        ack = HeartbeatAck(
            beat.sequence,
            lease.remaining_seconds(now_seconds),
            lease.number,
            self._control.is_tracker,
        )
        link.send(ack)

    def _on_leaving(self, link: Link, _message: Leaving) -> None:
        if link.peer is not None:
            self._table.record_leaving(link.peer)
            events.log(AGENT_LEAVING, agent=link.peer.name)

    def _on_link_closed(self, link: Link) -> None:
        peer = link.peer
        if peer is None or self._links.get(peer.name) is not link:
            return
        del self._links[peer.name]
        self._table.remove(peer, self._reactor.seconds())
        events.log(AGENT_LOST, agent=peer.name)
        self._notify_lost(peer.name)

    def _notify_lost(self, name: str) -> None:
        for watcher in self._watchers:
            watcher(name)


def _ignore_opened(_link: Link) -> None:
    """Does nothing: an agent is registered by its announcement."""
