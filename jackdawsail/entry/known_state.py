"""The entry's replica of the fanned-out state, passed on to its agents."""

from jackdawsail.state.history import DeltaHistory
from jackdawsail.state.replica import StateReplica, UpdateOutcome
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.link import Link
from jackdawsail.wire.membership_messages import StateDelta, StateSnapshot, Subscribe


class KnownState:
    """Takes state from control hosts and brings every subscribed agent up to date."""

    def __init__(self, switchboard: Switchboard) -> None:
        self.replica = StateReplica()
        self._history = DeltaHistory()
        self._subscribers: dict[Link, int] = {}
        switchboard.on(StateSnapshot, self._received)
        switchboard.on(StateDelta, self._received)
        switchboard.on(Subscribe, self._subscribed)
        switchboard.watch(_ignore, self._closed)

    def _received(self, link: Link, received: StateSnapshot | StateDelta) -> None:
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
            self._bring_up(subscriber)

    def _subscribed(self, link: Link, asked: Subscribe) -> None:
        self._subscribers[link] = asked.revision
        self._bring_up(link)

    def _closed(self, link: Link) -> None:
        self._subscribers.pop(link, None)

    def _bring_up(self, link: Link) -> None:
        update = self._history.update_since(self._subscribers[link], self.replica.records)
        if update is not None and link.send(update):
            self._subscribers[link] = self._history.revision


def _ignore(_link: Link) -> None:
    """Links subscribe by themselves."""
