"""Which entries a caller should use: nearest zone first, leaving ones absent."""

import hashlib

from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import DirectoryEntry

OUT = 'out'


def order_entries(
    directory: list[DirectoryEntry], own: Identity, replica: StateReplica, caller: str
) -> list[DirectoryEntry]:
    """Orders the live entries for one caller; callers are spread within a zone.

    Entries of a zone that operators have taken out are absent, unless there
    are no others.
    """
    live = [listed for listed in directory if not listed.leaving]
    in_service = [listed for listed in live if not _is_out(replica, listed.zone)]
    return sorted(in_service or live, key=lambda listed: _order(listed, own, caller))


def _is_out(replica: StateReplica, zone: str) -> bool:
    record = replica.get('zone', zone)
    return record is not None and record.get('mode') == OUT


def _order(listed: DirectoryEntry, own: Identity, caller: str) -> tuple[bool, bool, bytes]:
    rank = hashlib.sha256(f'{caller}/{listed.name}'.encode()).digest()
    return listed.zone != own.zone, listed.region != own.region, rank
