"""A bounded set of ids that evicts the oldest first."""

from collections import OrderedDict


class RecentIds:
    """Holds the last ``max_ids`` different ids; adding one again does not renew it."""

    def __init__(self, max_ids: int) -> None:
        self._max_ids = max_ids
        self._ids: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, item_id: str) -> bool:
        return item_id in self._ids

    def add(self, item_id: str) -> None:
        """Adds an id and evicts the oldest beyond the limit."""
        self._ids[item_id] = None
        if len(self._ids) > self._max_ids:
            self._ids.popitem(last=False)
