"""The rest that an upstream asks of an entry when it turns a call away (pure).

It holds for one entry and one incarnation of the upstream. A later request for less does not
shorten it. Afterwards the entry sends few calls at first, as many callers may have waited.
"""

import math
from dataclasses import dataclass

MAX_REST_SECONDS = 3600.0  # of one request for rest, against mistyped values
# After the rest one call runs at a time, and twice as many after each one that is answered.
MAX_DOUBLINGS = 5  # then as many calls run as an engine has slots, and more are no flood
EASING_SECONDS = 4.0  # after which an upstream that answered nothing is used as before


@dataclass(frozen=True, slots=True)
class RequestedRest:
    """What a refusal asks for: ``rest_seconds``, None if it cannot be read."""

    rest_seconds: float | None


@dataclass(slots=True)
class RestRecord:
    """The rest of one upstream, by the clock of the entry.

    Example::

        record = RestRecord()
        record.extend(RequestedRest(3.0), 10.0)
        record.is_resting(12.9)
    """

    until_seconds: float = -math.inf
    _doublings: int = MAX_DOUBLINGS

    def extend(self, rest: RequestedRest, now_seconds: float) -> bool:
        """Records a request for rest; returns whether the rest lasts longer because of it.

        A time that cannot be read, and one of zero seconds, change nothing.
        """
        until_seconds = now_seconds + (rest.rest_seconds or 0)
        if until_seconds <= max(self.until_seconds, now_seconds):
            return False
        self.until_seconds = until_seconds
        self._doublings = 0
        return True

    def is_resting(self, now_seconds: float) -> bool:
        """Returns whether the upstream wants no calls from this entry."""
        return now_seconds < self.until_seconds

    def allows(self, calls: int, now_seconds: float) -> bool:
        """Returns whether another call may be sent beside ``calls`` that are not answered yet."""
        if self.is_resting(now_seconds):
            return False
        is_eased = now_seconds - self.until_seconds > EASING_SECONDS
        return is_eased or self._doublings >= MAX_DOUBLINGS or calls < 2**self._doublings

    def call_answered(self, now_seconds: float) -> None:
        """Records a call that the upstream has answered, which counts after its rest only."""
        if not self.is_resting(now_seconds):
            self._doublings += 1
