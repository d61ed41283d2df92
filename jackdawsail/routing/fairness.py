"""Weighted fair queue of requests, with a virtual token counter for each customer.

The counter of a customer is the number of tokens that it was served, divided by its
weight. The waiting customer with the lowest counter is next, live requests before batch
requests. When an idle customer becomes active again, its counter is raised to the lowest
of the active ones, so that idle time does not accumulate credit.

Example::

    queue = FairQueue(weight_of=lambda customer: 1.0)
    queue.push(WaitingRequest('a-1', 'label', tokens=100, live=True))
    queue.pop().attempt_id == 'a-1'
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request in the queue; ``tokens`` is the estimate that is charged when it is granted."""

    attempt_id: str
    customer: str
    tokens: int
    live: bool


@dataclass(slots=True)
class _Account:
    """Counter, running requests and queues of one customer."""

    counter: float = 0
    running: int = 0
    live: deque[WaitingRequest] = field(default_factory=deque)
    batch: deque[WaitingRequest] = field(default_factory=deque)

    @property
    def queued(self) -> int:
        return len(self.live) + len(self.batch)

    @property
    def active(self) -> bool:
        return bool(self.running or self.live or self.batch)

    def lane(self, live: bool) -> deque[WaitingRequest]:
        return self.live if live else self.batch


def _allow_all(_customer: str) -> bool:
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
        """Returns whether a customer runs nothing and no waiting one has a lower counter."""
        account = self._accounts.get(customer)
        if account is None or account.running:
            return False
        waiting = (other.counter for other in self._accounts.values() if other.queued)
        return account.counter <= min(waiting, default=0)

    def queued_tokens(self) -> int:
        """Returns the sum of the token estimates of all waiting requests."""
        return sum(waiting.tokens for waiting in self._all_waiting())

    def waiting_customers(self) -> int:
        """Counts the customers that have a request waiting."""
        return sum(1 for account in self._accounts.values() if account.queued)

    def counter_of(self, customer: str) -> float:
        """Returns the virtual counter of a customer, in tokens per unit of weight."""
        account = self._accounts.get(customer)
        return account.counter if account else 0

    def push(self, waiting: WaitingRequest) -> None:
        """Adds a request; raises the counter of an idle customer to the lowest active one."""
        account = self._accounts.setdefault(waiting.customer, _Account())
        if not account.active:
            account.counter = max(account.counter, self._lowest_active_counter())
        account.lane(waiting.live).append(waiting)

    def pop(self, allowed: Callable[[str], bool] = _allow_all) -> WaitingRequest | None:
        """Removes and returns the next request of an allowed customer; None if there is none.

        Its estimate is charged, and it counts as running until ``settle`` is called.
        """
        for live in (True, False):
            account = self._next_account(live, allowed)
            if account is not None:
                waiting = account.lane(live).popleft()
                account.running += 1
                self._charge(account, waiting.customer, waiting.tokens)
                return waiting
        return None

    def remove(self, waiting: WaitingRequest) -> bool:
        """Removes a waiting request, which was never charged; returns whether it was queued."""
        account = self._accounts.get(waiting.customer)
        lane = account.lane(waiting.live) if account else deque()
        if waiting not in lane:
            return False
        lane.remove(waiting)
        return True

    def settle(self, waiting: WaitingRequest, used_tokens: int) -> None:
        """Ends a running request and replaces the charged estimate by the tokens it used."""
        account = self._accounts[waiting.customer]
        account.running -= 1
        self._charge(account, waiting.customer, used_tokens - waiting.tokens)

    def forget_idle(self, max_idle: int) -> None:
        """Drops idle accounts, lowest counters first, until ``max_idle`` of them are left."""
        idle = [name for name, account in self._accounts.items() if not account.active]
        idle.sort(key=self.counter_of)
        for name in idle[: max(0, len(idle) - max_idle)]:
            del self._accounts[name]

    def _charge(self, account: _Account, customer: str, tokens: int) -> None:
        account.counter += tokens / self._weight_of(customer)

    def _lowest_active_counter(self) -> float:
        counters = (account.counter for account in self._accounts.values() if account.active)
        return min(counters, default=0)

    def _next_account(self, live: bool, allowed: Callable[[str], bool]) -> _Account | None:
        ready = [
            account
            for customer, account in self._accounts.items()
            if account.lane(live) and allowed(customer)
        ]
        return min(ready, key=_sort_key, default=None)

    def _all_waiting(self) -> Iterator[WaitingRequest]:
        for account in self._accounts.values():
            yield from account.live
            yield from account.batch


def _sort_key(account: _Account) -> tuple[float, int]:
    return account.counter, account.running
