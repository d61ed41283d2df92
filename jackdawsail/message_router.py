"""Routes each received message to the handler of its type.

A process has one router for all its links. Components register one handler for
each message type and can watch links being opened and closed.
"""

from collections.abc import Callable
from typing import Any

from jackdawsail import events
from jackdawsail.wire.identity import Role
from jackdawsail.wire.link import Link

MessageHandler = Callable[[Link, Any], None]
LinkWatcher = Callable[[Link], None]


class MessageRouter:
    """Implements ``LinkOwner`` for all links of a process."""

    def __init__(self) -> None:
        # In the order in which they were opened, so that sends do not depend on addresses in memory.
        self.links: dict[Link, None] = {}
        self._handlers: dict[type, MessageHandler] = {}
        self._opened_watchers: list[LinkWatcher] = []
        self._closed_watchers: list[LinkWatcher] = []

    def register_handler(self, message_type: type, handler: MessageHandler) -> None:
        """Registers the only handler of a message type; a second one is an AssertionError."""
        if message_type in self._handlers:
            raise AssertionError(f'{message_type.__name__} has two handlers')
        self._handlers[message_type] = handler

    def watch_links(self, opened: LinkWatcher, closed: LinkWatcher) -> None:
        """Registers callbacks for each link that is opened or closed."""
        self._opened_watchers.append(opened)
        self._closed_watchers.append(closed)

    def links_to(self, *roles: Role) -> list[Link]:
        """Returns the open links to processes of these roles, in the order in which they opened."""
        return [link for link in self.links if link.peer and link.peer.role in roles]

    def link_opened(self, link: Link) -> None:
        """Records and logs a new link, and calls the watchers."""
        self.links[link] = None
        events.log(events.LINK_OPENED, peer=_peer_name(link))
        for watcher in self._opened_watchers:
            watcher(link)

    def link_received(self, link: Link, received: Any) -> None:
        """Calls the handler of the message's type; closes the link if there is none."""
        handler = self._handlers.get(type(received))
        if handler is None:
            link.close(f'{type(received).__name__} has no handler here')
            return
        handler(link, received)

    def link_closed(self, link: Link, reason: str) -> None:
        """Removes and logs a closed link, and calls the watchers."""
        self.links.pop(link, None)
        events.log(events.LINK_CLOSED, peer=_peer_name(link), reason=reason)
        for watcher in self._closed_watchers:
            watcher(link)


def _peer_name(link: Link) -> str:
    return link.peer.name if link.peer else '?'
