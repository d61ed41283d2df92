"""Retry budget with full jitter.

Retries are limited to a share of the recent first attempts, so that they do not make an
overload worse. The budget is a token bucket: each first attempt adds a fraction of a
token, each retry takes a whole token.
"""

import random

BUDGET_SHARE = 0.2  # retries per first attempt
BUDGET_MAX = 50.0
BACKOFF_FIRST_SECONDS = 0.02
BACKOFF_MAX_SECONDS = 1.0


class RetryBudget:
    """Retry budget shared by all requests of an entry."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens = BUDGET_MAX / 2

    @property
    def tokens(self) -> float:
        """Returns the number of retries that the budget allows now."""
        return self._tokens

    def record_first_try(self) -> None:
        """Credits the first attempt of a request."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_SHARE)

    def take_retry(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def backoff_seconds(self, retry_number: int) -> float:
        """Returns a random wait before a retry, uniform between zero and an exponential bound."""
        bound_seconds = min(BACKOFF_MAX_SECONDS, BACKOFF_FIRST_SECONDS * 2**retry_number)
        return self._rng.uniform(0, bound_seconds)
