"""Sends each received message to the part of the process that handles its type.

A process owns one switchboard; its parts register a handler for each message
type they own, and may watch links open and close.
"""

from collections.abc import Callable
from typing import Any

from jackdawsail import events
from jackdawsail.wire.link import Link

Handler = Callable[[Link, Any], None]
Watcher = Callable[[Link], None]


class MessageRouter:
    """Implements ``LinkOwner`` for a whole process."""

    def __init__(self) -> None:
        self.links: set[Link] = set()
        self._handlers: dict[type, Handler] = {}
        self._opened: list[Watcher] = []
        self._closed: list[Watcher] = []

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Registers the only handler of a message type."""
        if message_type in self._handlers:
            raise AssertionError(f'{message_type.__name__} has two handlers')
        self._handlers[message_type] = handler

    def watch_links(self, opened: Watcher, closed: Watcher) -> None:
        """Registers a part that wants to know of links."""
        self._opened.append(opened)
        self._closed.append(closed)

    def link_opened(self, link: Link) -> None:
        """Tells every watcher of a new link."""
        self.links.add(link)
        events.log(events.LINK_OPENED, peer=_peer_name(link))
        for watcher in self._opened:
            watcher(link)

    def link_received(self, link: Link, received: Any) -> None:
        """Calls the handler of the message's type; others close the link."""
        handler = self._handlers.get(type(received))
        if handler is None:
            link.close(f'{type(received).__name__} has no handler here')
            return
        handler(link, received)

    def link_closed(self, link: Link, reason: str) -> None:
        """Tells every watcher that a link has ended."""
        self.links.discard(link)
        events.log(events.LINK_CLOSED, peer=_peer_name(link), reason=reason)
        for watcher in self._closed:
            watcher(link)


def _peer_name(link: Link) -> str:
    return link.peer.name if link.peer else '?'
