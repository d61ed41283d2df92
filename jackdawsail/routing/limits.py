"""Limits of each customer at an entry: rate and concurrency, refused at once.

Example::

    limits = CustomerLimits()
    limits.admit('label', Allowance(rate=10.0, concurrent=4), now_seconds=0.0)
"""

from dataclasses import dataclass

BURST_SECONDS = 1.0
CONCURRENCY_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Allowance:
    """What a customer may do: requests a second, and requests at once."""

    requests_per_second: float
    max_concurrent: int


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """Whether a request is let in; else why, and when to come again."""

    admitted: bool
    reason: str = ''
    retry_after_seconds: float = 0


@dataclass(slots=True)
class _Usage:
    tokens: float
    updated_seconds: float
    running: int = 0


class CustomerLimits:
    """Token bucket and concurrency count for each customer."""

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}

    def running_of(self, customer: str) -> int:
        """Counts the admitted requests of a customer that have not been released."""
        usage = self._usages.get(customer)
        return usage.running if usage else 0

    def admit(self, customer: str, allowance: Allowance, now_seconds: float) -> AdmissionResult:
        """Lets a request in and counts it, or says why not."""
        burst = max(1.0, allowance.requests_per_second * BURST_SECONDS)
        usage = self._usages.setdefault(customer, _Usage(burst, now_seconds))
        if usage.running >= allowance.max_concurrent:
            return AdmissionResult(False, 'too-many-concurrent', CONCURRENCY_RETRY_SECONDS)
        elapsed_seconds = now_seconds - usage.updated_seconds
        refilled = usage.tokens + elapsed_seconds * allowance.requests_per_second
        usage.tokens = min(burst, refilled)
        usage.updated_seconds = now_seconds
        if usage.tokens < 1:
            wait_seconds = (1 - usage.tokens) / allowance.requests_per_second
            return AdmissionResult(False, 'rate-exceeded', wait_seconds)
        usage.tokens -= 1
        usage.running += 1
        return AdmissionResult(True)

    def release(self, customer: str) -> None:
        """Counts the end of an admitted request."""
        self._usages[customer].running -= 1
