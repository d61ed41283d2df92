"""Simulated time: runs scheduled calls in order of time."""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any


class Simulation:
    """Holds the scheduled calls; the clock shows the time of the current one."""

    def __init__(self) -> None:
        self._now_seconds: float = 0
        self._sequence = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def seconds(self) -> float:
        """Returns the simulated time in seconds since the start."""
        return self._now_seconds

    def call_later(
        self, delay_seconds: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedules a call after a delay; calls for the same time run in order of scheduling."""
        at_seconds = self._now_seconds + delay_seconds
        heapq.heappush(self._scheduled, (at_seconds, next(self._sequence), function, arguments))

    def call_at_random(
        self, calls_per_second: float, rng: random.Random, function: Callable[[], None]
    ) -> None:
        """Schedules calls at random times, so many a second on average."""

        def call() -> None:
            function()
            self.call_later(rng.expovariate(calls_per_second), call)

        if calls_per_second:
            self.call_later(rng.expovariate(calls_per_second), call)

    def run(self, until_seconds: float) -> None:
        """Runs all calls up to and including a time, which the clock shows afterwards."""
        while self._scheduled and self._scheduled[0][0] <= until_seconds:
            at_seconds, _, function, arguments = heapq.heappop(self._scheduled)
            self._now_seconds = at_seconds
            function(*arguments)
        self._now_seconds = until_seconds
