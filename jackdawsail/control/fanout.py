"""Sends every committed revision to the subscribers of this control host.

Changes of one batching interval are sent as one delta. A subscriber that is ahead
of this host receives nothing until the host has caught up, so no subscriber ever
receives an older revision than it holds.
"""

from collections.abc import Callable
from typing import Any

from jackdawsail.message_router import MessageRouter
from jackdawsail.state.history import DeltaHistory
from jackdawsail.state.machine import Changes, ControlState
from jackdawsail.state.replica import Record
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import Subscribe

BATCH_SECONDS = 0.05

ReadRecords = Callable[[], dict[str, Record]]


class RevisionFanout:
    """Owns the subscriptions of one control host."""

    def __init__(self, reactor: Any, read_records: ReadRecords) -> None:
        self._reactor = reactor
        self._read_records = read_records
        self._history = DeltaHistory()
        self._subscribers: set[Link] = set()
        self._sent_revisions: dict[Link, int] = {}
        self._flush_call: Any = None

    def on_change(self, revision: int, changes: Changes) -> None:
        """Records a committed revision and sends it with the next batch."""
        self._history.record(revision, changes)
        self._flush_soon()

    def on_reset(self, revision: int) -> None:
        """Discards the recorded deltas after the state was restored from a snapshot."""
        self._history.reset(revision)
        self._flush_soon()

    def subscribe(self, link: Link, received: Subscribe) -> None:
        """Subscribes a link, beginning after the revision that it holds."""
        self._subscribers.add(link)
        self._sent_revisions[link] = received.revision
        self._send_updates(link)

    def catch_up(self, link: Link, held_revision: int) -> None:
        """Sends the missing revisions to a link that subscribed at another host.

        That host may be partitioned and unable to send them.
        """
        if link not in self._subscribers:
            self._sent_revisions[link] = max(held_revision, self._sent_revisions.get(link, 0))
            self._send_updates(link)

    def link_closed(self, link: Link) -> None:
        """Ends a subscription."""
        self._subscribers.discard(link)
        self._sent_revisions.pop(link, None)

    def _flush_soon(self) -> None:
        if self._flush_call is None:
            self._flush_call = self._reactor.callLater(BATCH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        for link in list(self._subscribers):
            self._send_updates(link)

    def _send_updates(self, link: Link) -> None:
        update = self._history.update_since(self._sent_revisions[link], self._read_records())
        if update is not None and link.send(update):
            self._sent_revisions[link] = self._history.revision


def make_fan_out(reactor: Any, router: MessageRouter, state: ControlState) -> RevisionFanout:
    """Creates the fan-out of a control host and subscribes it to links and state changes."""
    fan_out = connect_fan_out(RevisionFanout(reactor, lambda: state.tables.records), router)
    state.add_listeners(fan_out.on_change, lambda: fan_out.on_reset(state.tables.revision))
    return fan_out


def connect_fan_out(fan_out: RevisionFanout, router: MessageRouter) -> RevisionFanout:
    """Connects a fan-out to the links of its subscribers."""
    router.register_handler(Subscribe, fan_out.subscribe)
    router.watch_links(lambda link: None, fan_out.link_closed)
    return fan_out
