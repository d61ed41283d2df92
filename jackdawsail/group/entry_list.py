"""Keeps the replicated list of the entries that share the limits on sums over all entries.

The list is part of the site's state, so that it outlives a restart of all processes. An
entry that stops stays listed for a while, as it may still send or come back.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.site.machine import SiteMachine, change_entries
from jackdawsail.wire.site_messages import MemberHost

FORGET_ENTRY_SECONDS = 60.0  # longer than restarts and partitions, which entries outlive

ENTRIES_CHANGED = events.define(247, 'info', 'list of entries that share the limits changes')
ENTRIES_NOT_CHANGED = events.define(
    248, 'warning', 'change of the list of entries that share the limits was not confirmed'
)


@dataclass(frozen=True, slots=True)
class EntryChange:
    """Entries that the list must gain, and the addresses of those that it must lose."""

    added: tuple[MemberHost, ...]
    removed: tuple[str, ...]


@dataclass(slots=True)
class LinkedTimes:
    """Remembers when each listed entry was last linked to this control host (pure)."""

    _last_linked_seconds: dict[str, float] = field(default_factory=dict)

    def needed_change(
        self, listed: Sequence[MemberHost], linked: Sequence[MemberHost], now_seconds: float
    ) -> EntryChange | None:
        """Returns the change that the list needs now; None if it needs none.

        An entry that has not been linked since this process started counts as linked at the
        first call.
        """
        linked_addresses = {host.address for host in linked}
        self._last_linked_seconds = {
            host.address: now_seconds
            if host.address in linked_addresses
            else self._last_linked_seconds.get(host.address, now_seconds)
            for host in listed
        }
        removed = tuple(
            address
            for address, last_seconds in self._last_linked_seconds.items()
            if now_seconds - last_seconds > FORGET_ENTRY_SECONDS
        )
        added = tuple(host for host in linked if host.address not in self._last_linked_seconds)
        return EntryChange(added, removed) if added or removed else None


@dataclass(slots=True)
class EntryList:
    """Proposes changes of the list while this control host is the leader."""

    clock: Clock
    replicator: Replicator
    machine: SiteMachine
    _times: LinkedTimes = field(default_factory=LinkedTimes)

    def update(self, linked: Sequence[MemberHost]) -> None:
        """Proposes to list the linked entries that are new, and to remove those that have gone."""
        listed = self.machine.state.sharing_entries
        now_seconds = self.clock.seconds()
        change = self._times.needed_change(listed, linked, now_seconds)
        if change is None or not self.replicator.is_leader():
            return
        added = [host.address for host in change.added]
        events.log(ENTRIES_CHANGED, listed=len(listed), added=added, removed=change.removed)
        proposed: Any = self.replicator.propose(change_entries(change.added, change.removed))
        proposed.addCallback(_log_unconfirmed).addErrback(events.log_failure)


def _log_unconfirmed(outcome: Result[Any, ProposeError]) -> None:
    """Logs a change that was not confirmed; the next update proposes it again if needed."""
    if isinstance(outcome, Failure):
        events.log(ENTRIES_NOT_CHANGED, reason=outcome.failure().reason)
