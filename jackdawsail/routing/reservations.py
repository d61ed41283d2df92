"""The open reservations of one request at its candidates."""

from jackdawsail.routing.dispatch_effects import Effect, RequestSpec, SendTo, make_reserve
from jackdawsail.wire.work_messages import CancelReserve

MAX_CANDIDATES = 2
MAX_ATTEMPTS = 12


class Reservations:
    """Names each attempt once and knows which of them are still open."""

    def __init__(self, request_id: str) -> None:
        self.tried: set[str] = set()
        self._request_id = request_id
        self._open: dict[str, str] = {}
        self._attempts = 0

    @property
    def any_open(self) -> bool:
        """Tells whether a candidate may still grant."""
        return bool(self._open)

    @property
    def any_alone(self) -> bool:
        """Tells whether just one candidate may still grant."""
        return len(self._open) == 1

    @property
    def exhausted(self) -> bool:
        """Tells whether the request has been tried often enough."""
        return self._attempts >= MAX_ATTEMPTS

    def ask(self, order: RequestSpec, candidates: list[str], now_seconds: float) -> list[Effect]:
        """Reserves at some candidates, as far as there may be more open ones."""
        effects: list[Effect] = []
        for candidate in candidates[: MAX_CANDIDATES - len(self._open)]:
            self._attempts += 1
            attempt_id = f'{self._request_id}.{self._attempts}'
            self._open[attempt_id] = candidate
            self.tried.add(candidate)
            effects.append(SendTo(candidate, make_reserve(order, attempt_id, now_seconds)))
        return effects

    def take(self, attempt_id: str) -> str:
        """Closes one reservation and returns its candidate, empty when it is not open."""
        return self._open.pop(attempt_id, '')

    def lose(self, candidate: str) -> bool:
        """Closes every reservation at a candidate; tells whether there was one."""
        gone = [attempt_id for attempt_id, name in self._open.items() if name == candidate]
        for attempt_id in gone:
            del self._open[attempt_id]
        return bool(gone)

    def cancel_all(self) -> list[Effect]:
        """Closes every open reservation and tells the candidates."""
        effects: list[Effect] = [
            SendTo(candidate, CancelReserve(attempt_id))
            for attempt_id, candidate in self._open.items()
        ]
        self._open.clear()
        return effects
