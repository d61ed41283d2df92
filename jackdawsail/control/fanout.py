"""Sends every committed revision to the subscribers of this control host.

Changes of one batching interval go out as one delta. A subscriber that is ahead
of this host hears nothing until the host has caught up, so nobody ever receives
an older revision.
"""

from collections.abc import Callable
from typing import Any

from jackdawsail.state.history import DeltaHistory
from jackdawsail.state.machine import Changes, ControlState
from jackdawsail.state.replica import Record
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import Subscribe

BATCH_SECONDS = 0.05

ReadRecords = Callable[[], dict[str, Record]]


class FanOut:
    """Owns the subscriptions of one control host."""

    def __init__(self, reactor: Any, read_records: ReadRecords) -> None:
        self._reactor = reactor
        self._read_records = read_records
        self._history = DeltaHistory()
        self._subscribers: set[Link] = set()
        self._sent: dict[Link, int] = {}
        self._flush_call: Any = None

    def changed(self, revision: int, changes: Changes) -> None:
        """Takes note of one committed revision and sends it soon."""
        self._history.record(revision, changes)
        self._flush_soon()

    def was_reset(self, revision: int) -> None:
        """Starts anew from a restored snapshot."""
        self._history.reset(revision)
        self._flush_soon()

    def subscribe(self, link: Link, received: Subscribe) -> None:
        """Serves a link from the revision that it holds."""
        self._subscribers.add(link)
        self._sent[link] = received.revision
        self._bring_up(link)

    def catch_up(self, link: Link, held_revision: int) -> None:
        """Sends what a link lacks that subscribed elsewhere, perhaps at a host cut off."""
        if link not in self._subscribers:
            self._sent[link] = max(held_revision, self._sent.get(link, 0))
            self._bring_up(link)

    def link_closed(self, link: Link) -> None:
        """Ends a subscription."""
        self._subscribers.discard(link)
        self._sent.pop(link, None)

    def _flush_soon(self) -> None:
        if self._flush_call is None:
            self._flush_call = self._reactor.callLater(BATCH_SECONDS, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        for link in list(self._subscribers):
            self._bring_up(link)

    def _bring_up(self, link: Link) -> None:
        update = self._history.update_since(self._sent[link], self._read_records())
        if update is not None and link.send(update):
            self._sent[link] = self._history.revision


def make_fan_out(reactor: Any, switchboard: Switchboard, state: ControlState) -> FanOut:
    """Makes the fan-out of a control host and connects it to its links."""
    fan_out = connect_fan_out(FanOut(reactor, lambda: state.tables.records), switchboard)
    state.add_listeners(fan_out.changed, lambda: fan_out.was_reset(state.tables.revision))
    return fan_out


def connect_fan_out(fan_out: FanOut, switchboard: Switchboard) -> FanOut:
    """Connects a fan-out to the links of its subscribers."""
    switchboard.on(Subscribe, fan_out.subscribe)
    switchboard.watch(lambda link: None, fan_out.link_closed)
    return fan_out
