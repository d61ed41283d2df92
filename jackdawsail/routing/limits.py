"""Request rate and concurrency limits of each customer at an entry.

A request beyond a limit is refused at once, never queued.

Example::

    limits = CustomerLimits()
    limits.admit('label', Allowance(10.0, max_concurrent=4), now_seconds=0.0)
"""

from dataclasses import dataclass

BURST_SECONDS = 1.0  # of the rate; the size of the token bucket
CONCURRENCY_RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Allowance:
    """Limits of a customer: request rate and concurrent requests."""

    requests_per_second: float
    max_concurrent: int


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """Whether a request is admitted; if not, the reason and when to retry."""

    admitted: bool
    reason: str = ''
    retry_after_seconds: float = 0


@dataclass(slots=True)
class _Usage:
    tokens: float
    updated_seconds: float
    running: int = 0


class CustomerLimits:
    """Keeps a token bucket and a count of running requests for each customer."""

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}

    def running_of(self, customer: str) -> int:
        """Counts the admitted requests of a customer that have not been released."""
        usage = self._usages.get(customer)
        return usage.running if usage else 0

    def admit(self, customer: str, allowance: Allowance, now_seconds: float) -> AdmissionResult:
        """Admits and counts a request, or returns why it is refused."""
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
        """Ends an admitted request."""
        self._usages[customer].running -= 1
