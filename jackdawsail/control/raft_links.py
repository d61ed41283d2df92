"""Links between the control hosts: each host dials all others and sends on the dialled links.

Consensus messages are accepted only from the link on which the peer last sent a hello, and
only with the node id of that hello, so messages of a host's former identity are dropped.
Forwarded proposals and their replies are accepted on any link of a host that has such a link.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, get_args

from jackdawsail import events
from jackdawsail.consensus import messages
from jackdawsail.consensus.configuration import host_of
from jackdawsail.control.raft_messages import (
    Forward,
    ForwardAccepted,
    ForwardRefused,
    RaftHello,
)
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.dialer import Dialer
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link, LinkSettings

PEER_UNKNOWN = events.define(210, 'warning', 'control host is not in the settings')
HostHandler = Callable[[str, Any], None]


@dataclass(frozen=True, slots=True)
class _Peer:
    link: Link
    hello: RaftHello


@dataclass(slots=True)
class LinkHandlers:
    """Callbacks of the links to their owner; peers are identified by host name."""

    make_hello: Callable[[], RaftHello]
    on_hello: Callable[[str, RaftHello], None]
    on_message: Callable[[messages.Message], None]
    on_peer_lost: Callable[[str], None]
    forward_handlers: dict[type, HostHandler] = field(default_factory=dict)


class RaftLinks:
    """The links of one control host to all other known control hosts."""

    def __init__(
        self,
        reactor: Any,
        link_settings: LinkSettings,
        router: MessageRouter,
        hosts: dict[str, str],
    ) -> None:
        self._rng = random.Random(link_settings.identity.incarnation)
        self._reactor = reactor
        self._link_settings = link_settings
        self._router = router
        self._dialers: dict[str, Dialer] = {}
        for name, address in hosts.items():
            self._dialers[name] = self._make_dialer(address)
        self._peers: dict[str, _Peer] = {}
        self._handlers: LinkHandlers | None = None

    def start(self, handlers: LinkHandlers) -> None:
        """Registers the handlers and starts to dial the other hosts."""
        self._handlers = handlers
        self._router.watch_links(self._link_opened, self._link_closed)
        self._router.register_handler(RaftHello, self._on_hello)
        for message_type in get_args(messages.Message):
            self._router.register_handler(message_type, self._on_message)
        for forwarded_type in (Forward, ForwardAccepted, ForwardRefused):
            self._router.register_handler(forwarded_type, self._on_forwarded)
        for dialer in self._dialers.values():
            dialer.start()

    def add_host(self, name: str, address: str) -> None:
        """Starts to dial another control host; has no effect for a known host."""
        if name not in self._dialers and name != self._link_settings.identity.name:
            self._dialers[name] = self._make_dialer(address)
            if self._handlers is not None:
                self._dialers[name].start()

    def stop(self) -> None:
        """Closes every dialled link and stops dialling."""
        for dialer in self._dialers.values():
            dialer.stop()

    def send(self, message: messages.Message) -> None:
        """Sends a message to the host of its target; drops it if no link is open."""
        self.send_to(host_of(message.target), message)

    def send_to(self, host: str, message: object) -> bool:
        """Sends a message to a host; returns False if no link is open."""
        dialer = self._dialers.get(host)
        if dialer is None or dialer.link is None:
            return False
        return dialer.link.send(message)

    def send_hellos(self) -> None:
        """Sends a hello on every open link."""
        if self._handlers is not None:
            hello = self._handlers.make_hello()
            for host in self._dialers:
                self.send_to(host, hello)

    def hellos(self) -> dict[str, RaftHello]:
        """Returns the last hello of each linked host, by host name."""
        return {name: peer.hello for name, peer in self._peers.items()}

    def _make_dialer(self, address: str) -> Dialer:
        return Dialer(self._reactor, address, self._link_settings, self._router, self._rng)

    def _link_opened(self, link: Link) -> None:
        is_dialled = any(dialer.link is link for dialer in self._dialers.values())
        if is_dialled and self._handlers is not None:
            link.send(self._handlers.make_hello())

    def _link_closed(self, link: Link) -> None:
        name = _name_of(link)
        peer = self._peers.get(name)
        if peer is not None and peer.link is link:
            self._peers.pop(name)
        if name in self._dialers and self._handlers is not None:
            self._handlers.on_peer_lost(name)

    def _on_hello(self, link: Link, hello: RaftHello) -> None:
        name = _name_of(link)
        if name not in self._dialers or host_of(hello.node) != name:
            events.log(PEER_UNKNOWN, peer=name, node=hello.node)
            return
        self._peers[name] = _Peer(link, hello)
        if self._handlers is not None:
            self._handlers.on_hello(name, hello)

    def _on_message(self, link: Link, message: Any) -> None:
        peer = self._peers.get(_name_of(link))
        is_current = peer is not None and peer.link is link and peer.hello.node == message.sender
        if is_current and self._handlers is not None:
            self._handlers.on_message(message)

    def _on_forwarded(self, link: Link, message: Any) -> None:
        name = _name_of(link)
        if name in self._peers and self._handlers is not None:
            self._handlers.forward_handlers[type(message)](name, message)


def _name_of(link: Link) -> str:
    if link.peer is None or link.peer.role is not Role.control:
        return ''
    return link.peer.name
