"""The places of an upstream: who was granted one, whose work is ready, who runs."""

from collections import Counter
from collections.abc import Callable

from jackdawsail.routing.fairness import Waiting


class Places:
    """Counts places by customer, and orders the work that is ready for one.

    The next place goes to live work before batch work, and then to the customer
    that holds the least places for its weight, so that work of a small customer
    passes what a large one had granted ahead.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self.running = 0
        self.held = 0
        self._weight_of = weight_of
        self._ready: dict[str, Waiting] = {}
        self._running: Counter[str] = Counter()

    @property
    def any_ready(self) -> bool:
        """Tells whether work waits for a place."""
        return bool(self._ready)

    def grant(self) -> None:
        """Counts a grant."""
        self.held += 1

    def drop(self, waiting: Waiting) -> None:
        """Takes a grant or ready work back."""
        self.held -= 1
        self._ready.pop(waiting.attempt_id, None)

    def make_ready(self, waiting: Waiting) -> None:
        """Lets the work of a grant wait for a place."""
        self._ready[waiting.attempt_id] = waiting

    def start_next(self) -> str:
        """Gives the next place; returns the attempt that has it."""
        waiting = min(self._ready.values(), key=self._order)
        del self._ready[waiting.attempt_id]
        self._running[waiting.customer] += 1
        self.running += 1
        return waiting.attempt_id

    def end(self, waiting: Waiting) -> None:
        """Frees a place."""
        self.held -= 1
        self.running -= 1
        self._running[waiting.customer] -= 1
        if not self._running[waiting.customer]:
            del self._running[waiting.customer]

    def _order(self, waiting: Waiting) -> tuple[bool, float]:
        customer = waiting.customer
        return not waiting.live, self._running[customer] / self._weight_of(customer)
