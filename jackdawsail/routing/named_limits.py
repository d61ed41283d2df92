"""The limit on its calls that an upstream in need names in its answers (pure).

It holds for the calls of all entries together, until an answer names another one or none.
"""

import math
from dataclasses import dataclass

# Answers of one upstream overtake each other. One without a limit that arrives so soon after
# one with a limit may have been sent before it.
OVERTAKING_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """What an answer names: ``calls_per_second``, None if it cannot be read."""

    calls_per_second: float | None


@dataclass(slots=True)
class LimitRecord:
    """The newest limit that is known of one upstream.

    ``calls_per_second`` is None while it names none, ``recorded_seconds`` when that was recorded last.
    ``ended_seconds`` is when the end of a limit was recorded last.

    Example::

        record = LimitRecord()
        record.record(NamedLimit(1.5), 10.0)
        record.calls_per_second == 1.5
    """

    calls_per_second: float | None = None
    recorded_seconds: float = -math.inf
    ended_seconds: float = -math.inf

    def record(self, limit: NamedLimit | None, recorded_seconds: float) -> bool:
        """Records what an answer named, None if nothing; returns whether the limit changed.

        A limit that cannot be read leaves the one that is known.
        """
        if limit is None:
            if recorded_seconds < self.recorded_seconds + OVERTAKING_SECONDS:
                return False
            return self._replace(None, recorded_seconds)
        if limit.calls_per_second is None or recorded_seconds < self.recorded_seconds:
            return False
        return self._replace(limit.calls_per_second, recorded_seconds)

    def _replace(self, calls_per_second: float | None, recorded_seconds: float) -> bool:
        changed = calls_per_second != self.calls_per_second
        if changed and calls_per_second is None:
            self.ended_seconds = recorded_seconds
        self.calls_per_second = calls_per_second
        self.recorded_seconds = recorded_seconds
        return changed
