"""Tracks the open reservations of one request at its candidates."""

from jackdawsail.routing.dispatch_effects import Effect, RequestSpec, SendTo, make_reserve
from jackdawsail.wire.work_messages import CancelReserve

MAX_CANDIDATES = 2
MAX_ATTEMPTS = 12


class Reservations:
    """Assigns attempt ids, each used once, and tracks which attempts are open."""

    def __init__(self, request_id: str) -> None:
        self.tried: set[str] = set()
        self._request_id = request_id
        self._open: dict[str, str] = {}
        self._attempts = 0

    @property
    def any_open(self) -> bool:
        """Returns whether any reservation is open."""
        return bool(self._open)

    @property
    def has_single_open(self) -> bool:
        """Returns whether exactly one reservation is open."""
        return len(self._open) == 1

    @property
    def attempts_exhausted(self) -> bool:
        """Returns whether the request has used all its attempts."""
        return self._attempts >= MAX_ATTEMPTS

    def reserve_at(
        self, spec: RequestSpec, candidates: list[str], now_seconds: float
    ) -> list[Effect]:
        """Opens reservations at candidates, up to MAX_CANDIDATES open ones."""
        effects: list[Effect] = []
        for candidate in candidates[: MAX_CANDIDATES - len(self._open)]:
            self._attempts += 1
            attempt_id = f'{self._request_id}.{self._attempts}'
            self._open[attempt_id] = candidate
            self.tried.add(candidate)
            effects.append(SendTo(candidate, make_reserve(spec, attempt_id, now_seconds)))
        return effects

    def close(self, attempt_id: str) -> str:
        """Closes a reservation and returns its candidate, empty if it was not open."""
        return self._open.pop(attempt_id, '')

    def close_at(self, candidate: str) -> bool:
        """Closes all reservations at a candidate; returns whether there was one."""
        closed = [attempt_id for attempt_id, name in self._open.items() if name == candidate]
        for attempt_id in closed:
            del self._open[attempt_id]
        return bool(closed)

    def cancel_all(self) -> list[Effect]:
        """Closes all open reservations and returns the messages that cancel them."""
        effects: list[Effect] = [
            SendTo(candidate, CancelReserve(attempt_id))
            for attempt_id, candidate in self._open.items()
        ]
        self._open.clear()
        return effects
