"""Divides limits on sums over all entries into whole parts, one for each entry.

Every entry that knows the same entries computes the same parts, and they add up to the
whole limit and not more. If there are more entries than units, some entries get no part.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from jackdawsail.weights.placement import rank_zones
from jackdawsail.wire.site_messages import MemberHost


@dataclass(slots=True)
class EntryShares:
    """The parts of one entry, which has the given ``address``.

    The units of a total are dealt out in the order of a rendezvous hash of the total's key,
    first to the entries of the region where the units are used. ``started_seconds`` is when
    the process started; an earlier process of the same entry may have sent until then.

    Example::

        shares = EntryShares('10.0.0.1')
        shares.update([MemberHost('10.0.0.1', 'z', 'r'), MemberHost('10.0.0.2', 'z', 's')], 0)
        shares.part_of(3, '10.0.1.7:80', 'r') == 2
    """

    address: str
    started_seconds: float = -math.inf
    _joined_seconds: float = math.inf
    _entries: tuple[MemberHost, ...] = ()
    _rank_by_key: dict[tuple[str, str], int] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Returns the number of entries that share the limits, at least 1."""
        return max(1, len(self._entries))

    @property
    def is_listed(self) -> bool:
        """Returns whether this entry is one of those that share the limits."""
        return self._joined_seconds < math.inf

    @property
    def fraction(self) -> float:
        """Returns the part of a total that need not be whole; 0 for an entry that is not listed."""
        return 1 / self.count if self.is_listed else 0

    def unsettled_seconds(self, window_seconds: float, now_seconds: float) -> float:
        """Returns the time until all uses of this entry's part within a window are known to it.

        Not known are those of an earlier process of this entry, and those of the entries
        that had the part until this one was listed.
        """
        return max(0, self._joined_seconds + window_seconds - now_seconds)

    def update(self, entries: Sequence[MemberHost], now_seconds: float) -> None:
        """Replaces the entries that share the limits."""
        if tuple(entries) == self._entries:
            return
        is_first_list = not self._entries
        self._entries = tuple(entries)
        self._rank_by_key.clear()
        if all(entry.address != self.address for entry in entries):
            self._joined_seconds = math.inf
        elif not self.is_listed:
            self._joined_seconds = self.started_seconds if is_first_list else now_seconds

    def part_of(self, total: float, key: str, region: str) -> int:
        """Returns how many whole units of a total belong to this entry.

        It is 0 for an entry that is not one of those that share the limits.
        """
        if not self.is_listed:
            return 0
        # The entry of rank 0 gets the first unit and, after one for each entry, the next.
        units_from_own = int(total) - self.rank_of(key, region)
        return max(0, math.ceil(units_from_own / self.count))

    def rank_of(self, key: str, region: str) -> int:
        """Returns the place of this entry in the order in which units of a key are dealt out.

        Raises ValueError if it is not one of the entries that share the limits.
        """
        if (key, region) not in self._rank_by_key:
            near = [entry.address for entry in self._entries if entry.region == region]
            far = [entry.address for entry in self._entries if entry.region != region]
            ranked = [*rank_zones(key, near), *rank_zones(key, far)]
            self._rank_by_key[key, region] = ranked.index(self.address)
        return self._rank_by_key[key, region]
