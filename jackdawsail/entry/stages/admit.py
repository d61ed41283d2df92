"""Fourth stage: refuses requests over the customer's rate or concurrency limit."""

from returns.result import Failure, Result, Success

from jackdawsail.entry.call import Call, Problem
from jackdawsail.routing.limits import Allowance, CustomerLimits
from jackdawsail.state.replica import StateReplica

TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503
DEFAULT_RATE = 100.0
DEFAULT_CONCURRENT = 64


class Admission:
    """Applies each customer's limits to its requests at this entry."""

    def __init__(self, replica: StateReplica) -> None:
        self.limits = CustomerLimits()
        self._replica = replica

    def admit(self, call: Call, now_seconds: float) -> Result[Call, Problem]:
        """Admits the call, or refuses it with status 429 and a Retry-After time."""
        record = self._replica.get('customer', call.customer) or {}
        allowance = Allowance(
            float(record.get('requests_per_second', DEFAULT_RATE)),
            int(record.get('max_concurrent', DEFAULT_CONCURRENT)),
        )
        verdict = self.limits.admit(call.customer, allowance, now_seconds)
        if not verdict.admitted:
            refusal = Problem(
                TOO_MANY_REQUESTS,
                verdict.reason,
                detail='the limit of the customer is reached',
                retry_after_seconds=verdict.retry_after_seconds,
            )
            return Failure(refusal)
        call.admitted = True
        return Success(call)

    def release(self, call: Call) -> None:
        """Releases the concurrency slot of an admitted call; a second release has no effect."""
        if call.admitted:
            call.admitted = False
            self.limits.release(call.customer)
