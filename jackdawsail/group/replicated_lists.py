"""What the leader keeps up to date in the site's state by itself."""

from collections.abc import Sequence
from dataclasses import dataclass

from jackdawsail.clocks import Clock
from jackdawsail.consensus.interfaces import Replicator
from jackdawsail.group.block_list import BlockList
from jackdawsail.group.entry_list import EntryList
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.group.weight_ages import WeightAges
from jackdawsail.wire.site_messages import MemberHost


@dataclass(slots=True)
class ReplicatedLists:
    """The entries that share the limits, the blocked traits of calls, and the ages of weights."""

    entries: EntryList
    blocked_traits: BlockList
    weight_ages: WeightAges

    def update(self, linked: Sequence[MemberHost], weights_seconds: float) -> None:
        """Proposes the changes that the lists need.

        ``linked`` are the linked entries, ``weights_seconds`` is the time within which every
        engine must serve announced weights.
        """
        self.entries.update(linked)
        self.blocked_traits.update()
        self.weight_ages.update(weights_seconds)


def make_replicated_lists(
    clock: Clock, replicator: Replicator, fanout: SiteFanout
) -> ReplicatedLists:
    """Builds the lists; a part that an entry blocks is proposed at once."""
    block_list = BlockList(replicator, fanout.machine, fanout.traits.blame)
    fanout.traits.on_blocked = block_list.update
    entry_list = EntryList(clock, replicator, fanout.machine)
    return ReplicatedLists(entry_list, block_list, WeightAges(clock, replicator, fanout))
