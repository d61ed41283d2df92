"""Simulated time: events in the order of their times."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any


class Simulation:
    """Holds the events to come; the clock stands at the time of the current one."""

    def __init__(self) -> None:
        self._now_seconds: float = 0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def seconds(self) -> float:
        """Returns the simulated time."""
        return self._now_seconds

    def after(self, delay_seconds: float, call: Callable[..., None], *given: Any) -> None:
        """Calls a function after a delay."""
        at_seconds = self._now_seconds + delay_seconds
        heapq.heappush(self._events, (at_seconds, next(self._order), call, given))

    def run(self, until_seconds: float) -> None:
        """Plays all events up to a time."""
        while self._events and self._events[0][0] <= until_seconds:
            at_seconds, _, call, given = heapq.heappop(self._events)
            self._now_seconds = at_seconds
            call(*given)
        self._now_seconds = until_seconds
