"""A bounded set of ids that evicts the oldest first."""

from collections import OrderedDict


class RecentIds:
    """Holds the last ``max_ids`` ids that were added."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, wanted: str) -> bool:
        return wanted in self._ids

    def add(self, added: str) -> None:
        """Adds an id and evicts the oldest beyond the limit."""
        self._ids[added] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)
