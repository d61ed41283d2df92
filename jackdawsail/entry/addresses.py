"""Orders the entries that a caller should use: nearest zone first, without leaving entries."""

import random

from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import DirectoryEntry

OUT = 'out'


def order_entries(
    directory: list[DirectoryEntry], own: Identity, replica: StateReplica, rng: random.Random
) -> list[DirectoryEntry]:
    """Returns the live entries for one answer, shuffled within each distance.

    Each answer is shuffled on its own, not by customer, so that the many callers
    of a large customer do not all use the same entry.

    Entries of a zone that operators have taken out of service are omitted, unless
    there are no others.
    """
    live = [listed for listed in directory if not listed.leaving]
    in_service = [listed for listed in live if not _is_out(replica, listed.zone)]
    listed = list(in_service or live)
    rng.shuffle(listed)
    return sorted(listed, key=lambda entry: (entry.zone != own.zone, entry.region != own.region))


def _is_out(replica: StateReplica, zone: str) -> bool:
    record = replica.get('zone', zone)
    return record is not None and record.get('mode') == OUT
