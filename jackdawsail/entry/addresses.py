"""Which entries a caller should use: nearest zone first, leaving ones absent."""

import random

from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import DirectoryEntry

OUT = 'out'


def order_entries(
    directory: list[DirectoryEntry], own: Identity, replica: StateReplica, rng: random.Random
) -> list[DirectoryEntry]:
    """Orders the live entries for one answer; answers are spread within a zone.

    The spread is by answer, not by customer, so that the many callers of a large
    customer do not all meet at one entry.

    Entries of a zone that operators have taken out are absent, unless there
    are no others.
    """
    live = [listed for listed in directory if not listed.leaving]
    in_service = [listed for listed in live if not _is_out(replica, listed.zone)]
    listed = list(in_service or live)
    rng.shuffle(listed)
    return sorted(listed, key=lambda entry: (entry.zone != own.zone, entry.region != own.region))


def _is_out(replica: StateReplica, zone: str) -> bool:
    record = replica.get('zone', zone)
    return record is not None and record.get('mode') == OUT
