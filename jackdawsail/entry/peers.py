"""Links to entries of other zones, and the relaying of their requests to agents here.

A request is sent to another zone only when its own zone has no upstream left for it.
The other entry relays the messages of one attempt between its peer and one of
its own agents, under the same attempt id, so that an attempt still has one
agent and is dispatched once.
"""

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jackdawsail.entry.agent_links import AgentLinks
from jackdawsail.entry.stages.choose import Chooser
from jackdawsail.message_router import MessageRouter
from jackdawsail.process import ProcessContext
from jackdawsail.routing.choice import Candidate
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
_FINAL_MESSAGES = (Refused, WorkRefused, AnswerEnd, AnswerFailed)


def choose_peers(directory: list[DirectoryEntry], own: Identity) -> dict[str, str]:
    """Returns one entry of each of the nearest other zones: link address by entry name.

    Rendezvous hashing spreads the entries of one zone over different peers.
    """
    by_zone: dict[str, list[DirectoryEntry]] = {}
    for listed in directory:
        if listed.zone != own.zone and not listed.leaving:
            by_zone.setdefault(listed.zone, []).append(listed)
    zones = sorted(by_zone.values(), key=lambda entries: _distance(entries[0], own))
    peers = [_pick_peer(entries, own) for entries in zones]
    return {entry.name: entry.link_address for entry in peers[:MAX_PEER_ZONES]}


def _pick_peer(entries: list[DirectoryEntry], own: Identity) -> DirectoryEntry:
    return max(entries, key=lambda listed: _rendezvous_hash(listed, own))


def _distance(listed: DirectoryEntry, own: Identity) -> tuple[bool, str]:
    return listed.region != own.region, listed.zone


def _rendezvous_hash(listed: DirectoryEntry, own: Identity) -> bytes:
    return hashlib.sha256(f'{listed.name}/{own.name}'.encode()).digest()


class PeerLinks:
    """Dials the chosen peers and provides the connected ones as candidates."""

    def __init__(self, context: ProcessContext, router: MessageRouter) -> None:
        self._context = context
        self._router = router
        self._dialers: dict[str, Dialer] = {}
        self._retired_dialers: dict[str, Dialer] = {}
        self._rng = random.Random(context.identity.incarnation)
        self._chosen_peers: dict[str, str] = {}
        self._links_all_zones = False

    def link_all_zones(self) -> None:
        """Makes the next directory update dial all entries of other zones.

        Any of them may be the tracker of its zone.
        """
        self._links_all_zones = True

    def update_directory(self, directory: list[DirectoryEntry]) -> None:
        """Dials new peers and retires those that are no longer chosen.

        A retired peer gets no new requests. Its link stays open until the peer closes
        it, because requests may still run there.
        """
        self._chosen_peers = choose_peers(directory, self._context.identity)
        wanted = dict(self._chosen_peers)
        if self._links_all_zones:
            wanted.update(self._remote_entries(directory))
        for unchosen_name in self._dialers.keys() - wanted.keys():
            self._retired_dialers[unchosen_name] = self._dialers.pop(unchosen_name)
        for name, address in wanted.items():
            if name not in self._dialers:
                self._dial(name, address)
        closed = [peer for peer, dialer in self._retired_dialers.items() if dialer.link is None]
        for closed_name in closed:
            self._retired_dialers.pop(closed_name).stop()

    def candidates(self, _backend: str) -> list[Candidate]:
        """Returns the connected peers, for any back end."""
        return [
            Candidate(PEER_PREFIX + name, 0)
            for name, dialer in self._dialers.items()
            if dialer.link is not None and name in self._chosen_peers
        ]

    def link(self, candidate: str) -> Link | None:
        """Returns the link of a peer, also of a retired one, by its candidate name."""
        peer_name = candidate.removeprefix(PEER_PREFIX)
        dialer = self._dialers.get(peer_name) or self._retired_dialers.get(peer_name)
        return dialer.link if dialer else None

    def stop(self) -> None:
        """Closes every link and stops dialling."""
        for dialer in (*self._dialers.values(), *self._retired_dialers.values()):
            dialer.stop()

    def _remote_entries(self, directory: list[DirectoryEntry]) -> dict[str, str]:
        own_zone = self._context.identity.zone
        return {each.name: each.link_address for each in directory if each.zone != own_zone}

    def _dial(self, name: str, address: str) -> None:
        retired = self._retired_dialers.pop(name, None)
        if retired is not None:
            self._dialers[name] = retired
            return
        context = self._context
        dialer = Dialer(context.reactor, address, context.link_settings, self._router, self._rng)
        self._dialers[name] = dialer
        dialer.start()


@dataclass(slots=True)
class _RelayedAttempt:
    peer: Link
    agent: str
    dispatched: bool = False


class PeerRelay:
    """Relays the messages of other zones' requests between their entry and an agent here."""

    def __init__(
        self, reactor: Any, router: MessageRouter, agents: AgentLinks, chooser: Chooser
    ) -> None:
        self._reactor = reactor
        self._agents = agents
        self._chooser = chooser
        self._relayed_attempts: dict[str, _RelayedAttempt] = {}
        router.register_handler(Reserve, self._on_reserve)
        router.register_handler(CancelReserve, self._on_cancel)
        router.register_handler(Work, self._on_work)
        router.register_handler(CancelWork, self._on_cancel)
        router.watch_links(_ignore_opened, self._on_link_closed)
        agents.watch_lost(self._on_agent_lost)

    @property
    def running(self) -> int:
        """Returns the number of attempts that are being relayed."""
        return len(self._relayed_attempts)

    def relay_from_agent(self, message: Any) -> bool:
        """Relays an agent's message to the peer; returns False if the attempt is not a peer's."""
        relayed = self._relayed_attempts.get(message.attempt_id)
        if relayed is None:
            return False
        if isinstance(message, _FINAL_MESSAGES):
            del self._relayed_attempts[message.attempt_id]
        relayed.peer.send(message)
        return True

    def _on_reserve(self, link: Link, reserve: Reserve) -> None:
        if link.peer is None or link.peer.role is not Role.entry:
            return
        agent = self._chooser.choose_local(reserve, self._reactor.seconds())
        agent_link = self._agents.link(agent)
        if agent_link is None or not agent_link.send(reserve):
            link.send(Refused(reserve.attempt_id, 'no-upstream', REFUSED_RETRY_SECONDS))
            return
        self._relayed_attempts[reserve.attempt_id] = _RelayedAttempt(link, agent)

    def _on_work(self, link: Link, work: Work) -> None:
        relayed = self._relayed_attempts.get(work.attempt_id)
        agent_link = self._agents.link(relayed.agent) if relayed else None
        if relayed is None or agent_link is None or relayed.dispatched:
            link.send(WorkRefused(work.attempt_id, 'no-such-grant'))
            return
        relayed.dispatched = True
        agent_link.send(work)

    def _on_cancel(self, _link: Link, cancel: CancelReserve | CancelWork) -> None:
        relayed = self._relayed_attempts.get(cancel.attempt_id)
        if relayed is None:
            return
        if isinstance(cancel, CancelReserve):
            del self._relayed_attempts[cancel.attempt_id]
        agent_link = self._agents.link(relayed.agent)
        if agent_link is not None:
            agent_link.send(cancel)

    def _on_agent_lost(self, agent: str) -> None:
        self._drop_attempts(lambda relayed: relayed.agent == agent, _report_agent_lost)

    def _on_link_closed(self, link: Link) -> None:
        self._drop_attempts(lambda relayed: relayed.peer is link, self._cancel_at_agent)

    def _drop_attempts(
        self,
        matches: Callable[[_RelayedAttempt], bool],
        notify: Callable[[str, _RelayedAttempt], None],
    ) -> None:
        dropped = [item for item in self._relayed_attempts.items() if matches(item[1])]
        for attempt_id, relayed in dropped:
            del self._relayed_attempts[attempt_id]
            notify(attempt_id, relayed)

    def _cancel_at_agent(self, attempt_id: str, relayed: _RelayedAttempt) -> None:
        agent_link = self._agents.link(relayed.agent)
        if agent_link is None:
            return
        cancel = CancelWork(attempt_id) if relayed.dispatched else CancelReserve(attempt_id)
        agent_link.send(cancel)


def _report_agent_lost(attempt_id: str, relayed: _RelayedAttempt) -> None:
    if relayed.dispatched:
        relayed.peer.send(AnswerFailed(attempt_id, Outcome.unknown, 'agent-lost'))
    else:
        relayed.peer.send(Refused(attempt_id, 'agent-lost', REFUSED_RETRY_SECONDS))


def _ignore_opened(_link: Link) -> None:
    """Does nothing: a peer has no state here before its first reservation."""
