"""The slots of an upstream: which are granted, have work ready, or are running it."""

from collections import Counter
from collections.abc import Callable

from jackdawsail.routing.fairness import WaitingRequest


class Slots:
    """Counts slots by customer, and orders the work that is ready for one.

    Live work gets the next slot before batch work. Among equals the customer with the
    fewest running slots for its weight is first, so that work of a small customer
    overtakes work that a large one was granted earlier. ``held`` counts the granted slots,
    including the ``running`` ones.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self.running = 0
        self.held = 0
        self._weight_of = weight_of
        self._ready: dict[str, WaitingRequest] = {}
        self._running: Counter[str] = Counter()

    @property
    def any_ready(self) -> bool:
        """Returns whether work waits for a slot."""
        return bool(self._ready)

    def grant(self) -> None:
        """Counts a granted slot."""
        self.held += 1

    def drop(self, waiting: WaitingRequest) -> None:
        """Removes a grant, with its work if that is ready."""
        self.held -= 1
        self._ready.pop(waiting.attempt_id, None)

    def make_ready(self, waiting: WaitingRequest) -> None:
        """Adds the work of a grant to those that wait for a slot."""
        self._ready[waiting.attempt_id] = waiting

    def start_next(self) -> str:
        """Assigns the next slot and returns the id of the attempt that has it."""
        waiting = min(self._ready.values(), key=self._sort_key)
        del self._ready[waiting.attempt_id]
        self._running[waiting.customer] += 1
        self.running += 1
        return waiting.attempt_id

    def end(self, waiting: WaitingRequest) -> None:
        """Frees the slot of a request that has ended."""
        self.held -= 1
        self.running -= 1
        self._running[waiting.customer] -= 1
        if not self._running[waiting.customer]:
            del self._running[waiting.customer]

    def _sort_key(self, waiting: WaitingRequest) -> tuple[bool, float]:
        customer = waiting.customer
        return not waiting.live, self._running[customer] / self._weight_of(customer)
