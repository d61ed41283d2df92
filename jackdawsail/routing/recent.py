"""A bounded memory of ids, which forgets the oldest first."""

from collections import OrderedDict


class RecentIds:
    """Remembers the last ids that were added."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, wanted: str) -> bool:
        return wanted in self._ids

    def add(self, added: str) -> None:
        """Remembers an id."""
        self._ids[added] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)
