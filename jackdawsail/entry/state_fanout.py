"""Replicates state from the control hosts and forwards it to subscribed agents."""

from jackdawsail.message_router import MessageRouter
from jackdawsail.state.history import DeltaHistory
from jackdawsail.state.replica import StateReplica, UpdateOutcome
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import StateDelta, StateSnapshot, Subscribe


class StateFanout:
    """Applies snapshots and deltas to the replica and sends updates to every subscriber.

    ``_subscribers`` holds the revision that each subscriber has.
    """

    def __init__(self, router: MessageRouter) -> None:
        self.replica = StateReplica()
        self._history = DeltaHistory()
        self._subscribers: dict[Link, int] = {}
        router.register_handler(StateSnapshot, self._apply_state)
        router.register_handler(StateDelta, self._apply_state)
        router.register_handler(Subscribe, self._on_subscribe)
        router.watch_links(_ignore_opened, self._on_link_closed)

    def _apply_state(self, link: Link, received: StateSnapshot | StateDelta) -> None:
        outcome = self.replica.apply_update(received)
        if outcome is UpdateOutcome.gap:
            link.send(self.replica.subscription())
        if outcome is not UpdateOutcome.applied:
            return
        if isinstance(received, StateDelta):
            self._history.record(received.to_revision, received.changes)
        else:
            self._history.reset(received.revision)
        for subscriber in self._subscribers:
            self._send_update(subscriber)

    def _on_subscribe(self, link: Link, request: Subscribe) -> None:
        self._subscribers[link] = request.revision
        self._send_update(link)

    def _on_link_closed(self, link: Link) -> None:
        self._subscribers.pop(link, None)

    def _send_update(self, link: Link) -> None:
        update = self._history.update_since(self._subscribers[link], self.replica.records)
        if update is not None and link.send(update):
            self._subscribers[link] = self._history.revision


def _ignore_opened(_link: Link) -> None:
    """Does nothing: agents send ``Subscribe`` on a new link."""
