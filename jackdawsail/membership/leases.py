"""In-service leases, measured on the holder's clock from the time of the request.

The holder records when it sent each request. A reply gives the seconds from that moment,
so the holder's lease never outlives the granter's, however late the reply arrives.
"""

from collections import OrderedDict

REMEMBERED_REQUESTS = 64


class Lease:
    """One in-service lease and its fence number."""

    def __init__(self) -> None:
        self.number = 0
        self._until_seconds: float = 0
        self._sequence = 0
        self._sent: OrderedDict[int, float] = OrderedDict()

    def record_request(self, now_seconds: float) -> int:
        """Records that a request is sent now and returns its sequence number."""
        self._sequence += 1
        self._sent[self._sequence] = now_seconds
        if len(self._sent) > REMEMBERED_REQUESTS:
            self._sent.popitem(last=False)
        return self._sequence

    def record_reply(self, sequence: int, lease_seconds: float, number: int) -> None:
        """Applies a reply to a remembered request, unless its number is lower than the held one.

        A higher number with no time ends the lease at once: the data centre has been
        taken out of service. A reply with no time and no higher number only means that
        its sender holds no lease itself, and changes nothing.
        """
        sent_seconds = self._sent.get(sequence)
        if sent_seconds is None or number < self.number:
            return
        if lease_seconds > 0:
            self.number = number
            self._until_seconds = max(self._until_seconds, sent_seconds + lease_seconds)
        elif number > self.number:
            self.number = number
            self._until_seconds = sent_seconds

    def remaining_seconds(self, now_seconds: float) -> float:
        """Returns the remaining time of the lease, zero once it has expired."""
        return max(0, self._until_seconds - now_seconds)

    def is_live(self, now_seconds: float) -> bool:
        """Returns whether the lease is valid now."""
        return now_seconds < self._until_seconds

    @property
    def until_seconds(self) -> float:
        """Returns when the lease expires, by the holder's clock."""
        return self._until_seconds
