"""Links to entries of other zones, and the requests that they send here.

A request goes to another zone only when its own has no upstream left for it.
The other entry passes the messages of one attempt between its peer and one of
its own agents, under the same attempt id, so that an attempt still has one
agent and one hand-over.
"""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jackdawsail.entry.agent_links import AgentLinks
from jackdawsail.entry.stages.choose import Chooser
from jackdawsail.process import ProcessContext
from jackdawsail.routing.choice import Candidate
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import DirectoryEntry
from jackdawsail.wire.work_messages import (
    AnswerEnd,
    AnswerFailed,
    CancelReserve,
    CancelWork,
    Outcome,
    Refused,
    Reserve,
    Work,
    WorkRefused,
)

MAX_PEER_ZONES = 4
REFUSED_RETRY_SECONDS = 0.5
PEER_PREFIX = 'entry:'
_FINAL = (Refused, WorkRefused, AnswerEnd, AnswerFailed)


def choose_peers(directory: list[DirectoryEntry], own: Identity) -> dict[str, str]:
    """Picks one entry of each of the nearest other zones: its name and link address.

    Entries of one zone pick differently, by rendezvous hash.
    """
    by_zone: dict[str, list[DirectoryEntry]] = {}
    for listed in directory:
        if listed.zone != own.zone and not listed.leaving:
            by_zone.setdefault(listed.zone, []).append(listed)
    zones = sorted(by_zone.values(), key=lambda entries: _distance(entries[0], own))
    picked = [_pick(entries, own) for entries in zones]
    return {entry.name: entry.link_address for entry in picked[:MAX_PEER_ZONES]}


def _pick(entries: list[DirectoryEntry], own: Identity) -> DirectoryEntry:
    return max(entries, key=lambda listed: _rank(listed, own))


def _distance(listed: DirectoryEntry, own: Identity) -> tuple[bool, str]:
    return listed.region != own.region, listed.zone


def _rank(listed: DirectoryEntry, own: Identity) -> bytes:
    return hashlib.sha256(f'{listed.name}/{own.name}'.encode()).digest()


class PeerLinks:
    """Dials the chosen peers and tells the chooser which are connected."""

    def __init__(self, context: ProcessContext, router: MessageRouter) -> None:
        self._context = context
        self._router = router
        self._dialers: dict[str, Dialer] = {}
        self._retired: dict[str, Dialer] = {}
        self._rng = random.Random(context.identity.incarnation)
        self._chosen: dict[str, str] = {}
        self._reaches_zones = False

    def reach_zones(self) -> None:
        """Links to every entry of the other zones, any of which may be their tracker."""
        self._reaches_zones = True

    def follow(self, directory: list[DirectoryEntry]) -> None:
        """Dials new peers and gives no new work to those that are no longer chosen.

        The link of such a peer stays open until the peer itself closes it, for
        requests may still run there.
        """
        self._chosen = choose_peers(directory, self._context.identity)
        wanted = dict(self._chosen)
        if self._reaches_zones:
            wanted.update(self._far_entries(directory))
        for gone in self._dialers.keys() - wanted.keys():
            self._retired[gone] = self._dialers.pop(gone)
        for name, address in wanted.items():
            if name not in self._dialers:
                self._dial(name, address)
        closed = [peer for peer, dialer in self._retired.items() if dialer.link is None]
        for ended in closed:
            self._retired.pop(ended).stop()

    def candidates(self, _backend: str) -> list[Candidate]:
        """Returns the connected peers."""
        return [
            Candidate(PEER_PREFIX + name, 0)
            for name, dialer in self._dialers.items()
            if dialer.link is not None and name in self._chosen
        ]

    def link(self, candidate: str) -> Link | None:
        """Returns the link of a peer by its candidate name."""
        peer_name = candidate.removeprefix(PEER_PREFIX)
        dialer = self._dialers.get(peer_name) or self._retired.get(peer_name)
        return dialer.link if dialer else None

    def stop(self) -> None:
        """Ends every link."""
        for dialer in (*self._dialers.values(), *self._retired.values()):
            dialer.stop()

    def _far_entries(self, directory: list[DirectoryEntry]) -> dict[str, str]:
        own_zone = self._context.identity.zone
        return {each.name: each.link_address for each in directory if each.zone != own_zone}

    def _dial(self, name: str, address: str) -> None:
        retired = self._retired.pop(name, None)
        if retired is not None:
            self._dialers[name] = retired
            return
        context = self._context
        dialer = Dialer(
            context.reactor, address, context.link_settings, self._router, self._rng
        )
        self._dialers[name] = dialer
        dialer.start()


@dataclass(slots=True)
class _Relayed:
    peer: Link
    agent: str
    handed_over: bool = False


class PeerRelay:
    """Passes messages of other zones' requests between their entry and an agent here."""

    def __init__(
        self, reactor: Any, router: MessageRouter, agents: AgentLinks, chooser: Chooser
    ) -> None:
        self._reactor = reactor
        self._agents = agents
        self._chooser = chooser
        self._relayed: dict[str, _Relayed] = {}
        router.register_handler(Reserve, self._reserve)
        router.register_handler(CancelReserve, self._cancel)
        router.register_handler(Work, self._work)
        router.register_handler(CancelWork, self._cancel)
        router.watch_links(_ignore, self._closed)
        agents.watch_lost(self._agent_lost)

    @property
    def running(self) -> int:
        """Counts the attempts that are passed on now."""
        return len(self._relayed)

    def from_agent(self, message: Any) -> bool:
        """Passes an agent's message to its peer; tells whether it was a peer's attempt."""
        held = self._relayed.get(message.attempt_id)
        if held is None:
            return False
        if isinstance(message, _FINAL):
            del self._relayed[message.attempt_id]
        held.peer.send(message)
        return True

    def _reserve(self, link: Link, asked: Reserve) -> None:
        if link.peer is None or link.peer.role is not Role.entry:
            return
        agent = self._chooser.choose_local(asked, self._reactor.seconds())
        agent_link = self._agents.link(agent)
        if agent_link is None or not agent_link.send(asked):
            link.send(Refused(asked.attempt_id, 'no-upstream', REFUSED_RETRY_SECONDS))
            return
        self._relayed[asked.attempt_id] = _Relayed(link, agent)

    def _work(self, link: Link, work: Work) -> None:
        held = self._relayed.get(work.attempt_id)
        agent_link = self._agents.link(held.agent) if held else None
        if held is None or agent_link is None or held.handed_over:
            link.send(WorkRefused(work.attempt_id, 'no-such-grant'))
            return
        held.handed_over = True
        agent_link.send(work)

    def _cancel(self, _link: Link, cancel: CancelReserve | CancelWork) -> None:
        held = self._relayed.get(cancel.attempt_id)
        if held is None:
            return
        if isinstance(cancel, CancelReserve):
            del self._relayed[cancel.attempt_id]
        agent_link = self._agents.link(held.agent)
        if agent_link is not None:
            agent_link.send(cancel)

    def _agent_lost(self, agent: str) -> None:
        self._drop(lambda held: held.agent == agent, _tell_peer)

    def _closed(self, link: Link) -> None:
        self._drop(lambda held: held.peer is link, self._tell_agent)

    def _drop(
        self, concerns: Callable[[_Relayed], bool], tell: Callable[[str, _Relayed], None]
    ) -> None:
        dropped = [item for item in self._relayed.items() if concerns(item[1])]
        for attempt_id, held in dropped:
            del self._relayed[attempt_id]
            tell(attempt_id, held)

    def _tell_agent(self, attempt_id: str, held: _Relayed) -> None:
        agent_link = self._agents.link(held.agent)
        if agent_link is None:
            return
        cancel = CancelWork(attempt_id) if held.handed_over else CancelReserve(attempt_id)
        agent_link.send(cancel)


def _tell_peer(attempt_id: str, held: _Relayed) -> None:
    if held.handed_over:
        held.peer.send(AnswerFailed(attempt_id, Outcome.unknown, 'agent-lost'))
    else:
        held.peer.send(Refused(attempt_id, 'agent-lost', REFUSED_RETRY_SECONDS))


def _ignore(_link: Link) -> None:
    """A peer counts from its first reservation on."""
