"""Fair order of waiting requests: weighted virtual token counters per customer.

Every customer has a counter of the tokens that it was served, divided by its
weight. The waiting customer with the least counter goes next, live work before
batch work. A customer that comes back from idle is lifted to the least counter
among the active ones, so that idle time cannot be saved up.

Example::

    queue = FairQueue(weight_of=lambda customer: 1.0)
    queue.push(Waiting('a-1', 'label', tokens=100, live=True))
    queue.pop().attempt_id == 'a-1'
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Waiting:
    """One request in the queue; ``tokens`` is the estimate that a grant charges."""

    attempt_id: str
    customer: str
    tokens: int
    live: bool


@dataclass(slots=True)
class _Account:
    """What the queue keeps of one active customer."""

    counter: float = 0
    running: int = 0
    live: deque[Waiting] = field(default_factory=deque)
    batch: deque[Waiting] = field(default_factory=deque)

    @property
    def queued(self) -> int:
        return len(self.live) + len(self.batch)

    @property
    def active(self) -> bool:
        return bool(self.running or self.live or self.batch)

    def lane(self, live: bool) -> deque[Waiting]:
        return self.live if live else self.batch


def _anyone(_customer: str) -> bool:
    return True


class FairQueue:
    """Orders the waiting requests of all customers of one upstream."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._accounts: dict[str, _Account] = {}

    def __len__(self) -> int:
        return sum(account.queued for account in self._accounts.values())

    def queued_of(self, customer: str) -> int:
        """Counts the waiting requests of one customer."""
        account = self._accounts.get(customer)
        return account.queued if account else 0

    def is_back_from_idle(self, customer: str) -> bool:
        """Tells whether a customer holds nothing and no other waiting one is before it."""
        account = self._accounts.get(customer)
        if account is None or account.running:
            return False
        waiting = (other.counter for other in self._accounts.values() if other.queued)
        return account.counter <= min(waiting, default=0)

    def queued_tokens(self) -> int:
        """Adds up the estimates of all waiting requests."""
        return sum(waiting.tokens for waiting in self._all_waiting())

    def waiting_customers(self) -> int:
        """Counts the customers that have a request waiting."""
        return sum(1 for account in self._accounts.values() if account.queued)

    def counter_of(self, customer: str) -> float:
        """Returns the virtual counter of a customer, in tokens per unit of weight."""
        account = self._accounts.get(customer)
        return account.counter if account else 0

    def push(self, waiting: Waiting) -> None:
        """Adds a request; a customer from idle is lifted to the least active counter."""
        account = self._accounts.setdefault(waiting.customer, _Account())
        if not account.active:
            account.counter = max(account.counter, self._least_active())
        account.lane(waiting.live).append(waiting)

    def pop(self, allowed: Callable[[str], bool] = _anyone) -> Waiting | None:
        """Takes the next request of an allowed customer and charges its estimate.

        It counts as running from now on.
        """
        for live in (True, False):
            account = self._next_account(live, allowed)
            if account is not None:
                waiting = account.lane(live).popleft()
                account.running += 1
                self._charge(account, waiting.customer, waiting.tokens)
                return waiting
        return None

    def remove(self, waiting: Waiting) -> bool:
        """Takes a waiting request out; it was never charged."""
        account = self._accounts.get(waiting.customer)
        lane = account.lane(waiting.live) if account else deque()
        if waiting not in lane:
            return False
        lane.remove(waiting)
        return True

    def settle(self, waiting: Waiting, used_tokens: int) -> None:
        """Ends a running request and replaces its estimate by what it used."""
        account = self._accounts[waiting.customer]
        account.running -= 1
        self._charge(account, waiting.customer, used_tokens - waiting.tokens)

    def forget_idle(self, keep: int) -> None:
        """Drops idle accounts with the least counters beyond ``keep`` of them."""
        idle = [name for name, account in self._accounts.items() if not account.active]
        idle.sort(key=self.counter_of)
        for name in idle[: max(0, len(idle) - keep)]:
            del self._accounts[name]

    def _charge(self, account: _Account, customer: str, tokens: int) -> None:
        account.counter += tokens / self._weight_of(customer)

    def _least_active(self) -> float:
        counters = (account.counter for account in self._accounts.values() if account.active)
        return min(counters, default=0)

    def _next_account(self, live: bool, allowed: Callable[[str], bool]) -> _Account | None:
        ready = [
            account
            for customer, account in self._accounts.items()
            if account.lane(live) and allowed(customer)
        ]
        return min(ready, key=_order, default=None)

    def _all_waiting(self) -> Iterator[Waiting]:
        for account in self._accounts.values():
            yield from account.live
            yield from account.batch


def _order(account: _Account) -> tuple[float, int]:
    return account.counter, account.running
