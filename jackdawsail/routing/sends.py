"""Records how many calls one entry has sent, or is about to send, to an upstream."""

from collections import deque
from dataclasses import dataclass, field
from itertools import takewhile

# The limit on cold upstreams counts calls in any second. A busy entry writes a call up to
# some tens of milliseconds after it has recorded it.
COLD_WINDOW_SECONDS = 1.1
# The limit that an upstream names holds in any four seconds.
NAMED_WINDOW_SECONDS = 4.1


@dataclass(slots=True)
class SendRecord:
    """The sends of the last NAMED_WINDOW_SECONDS, and the calls that wait for a connection.

    ``pending`` is the number of calls that were dispatched and not sent yet. They count as
    sent now, since their connections may all open in the same moment.
    """

    pending: int = 0
    _sent_seconds: deque[float] = field(default_factory=deque)

    def record(self, now_seconds: float) -> None:
        """Records a call that is sent now."""
        self._sent_seconds.append(now_seconds)
        while now_seconds - self._sent_seconds[0] > NAMED_WINDOW_SECONDS:
            self._sent_seconds.popleft()

    def count_since(self, since_seconds: float) -> int:
        """Returns the number of calls sent after a time within the last window."""
        recent = takewhile(lambda sent: sent > since_seconds, reversed(self._sent_seconds))
        return sum(1 for _ in recent)

    def used_since(self, since_seconds: float) -> int:
        """Returns the calls sent after a time within the last window, and the pending ones."""
        return self.pending + self.count_since(since_seconds)
