"""Retry budget with full jitter.

Retries may not exceed a share of the recent first tries, so that an overload
is not made worse by its own retries. The budget is a bucket: each first try
adds a fraction of a token, each retry takes a whole one.
"""

import random

BUDGET_SHARE = 0.2
BUDGET_MAX = 50.0
BACKOFF_FIRST_SECONDS = 0.02
BACKOFF_MAX_SECONDS = 1.0


class RetryBudget:
    """Shared by all requests of an entry."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = BUDGET_MAX / 2

    @property
    def tokens(self) -> float:
        """Returns how many retries the budget allows now."""
        return self._tokens

    def first_try(self) -> None:
        """Counts a request's first try."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_SHARE)

    def take(self) -> bool:
        """Takes one retry out of the budget, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff_seconds(self, retry_number: int) -> float:
        """Draws the wait before a retry, evenly from zero to its exponential bound."""
        bound_seconds = min(BACKOFF_MAX_SECONDS, BACKOFF_FIRST_SECONDS * 2**retry_number)
        return self._rng.uniform(0, bound_seconds)
