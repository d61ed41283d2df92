"""The lists in the site's state that the leader keeps up to date by itself."""

from collections.abc import Sequence
from dataclasses import dataclass

from jackdawsail.clocks import Clock
from jackdawsail.consensus.interfaces import Replicator
from jackdawsail.group.block_list import BlockList
from jackdawsail.group.entry_list import EntryList
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.wire.site_messages import MemberHost


@dataclass(slots=True)
class ReplicatedLists:
    """The entries that share the limits, and the blocked traits of calls."""

    entries: EntryList
    blocked_traits: BlockList

    def update(self, linked: Sequence[MemberHost]) -> None:
        """Proposes the changes that the lists need; ``linked`` are the linked entries."""
        self.entries.update(linked)
        self.blocked_traits.update()


def make_replicated_lists(
    clock: Clock, replicator: Replicator, fanout: SiteFanout
) -> ReplicatedLists:
    """Builds the lists; a part that an entry blocks is proposed at once."""
    block_list = BlockList(replicator, fanout.machine, fanout.traits.blame)
    fanout.traits.on_blocked = block_list.update
    return ReplicatedLists(EntryList(clock, replicator, fanout.machine), block_list)
