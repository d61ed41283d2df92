"""The lowest latency that engines could give: one perfect queue before them.

Every arrival is known to the scheduler at once, links take no time, live
requests go first, and a request goes to the engine that runs the fewest.
"""

import heapq
from dataclasses import dataclass

from bench.fakes.engine import PREFILL_CHARACTERS_PER_SECOND, EngineOptions


@dataclass(frozen=True)
class Arrival:
    """One request: when it came and what it asks for."""

    scheduled_seconds: float
    prompt_characters: int
    max_tokens: int
    is_batch: bool = False


@dataclass
class _Engine:
    step_at_seconds: float
    left: dict[int, int]


def ideal_seconds(arrivals: list[Arrival], engines: int, options: EngineOptions) -> list[float]:
    """Returns the seconds that each arrival would take, in the order of the arrivals."""
    order = sorted(range(len(arrivals)), key=lambda number: arrivals[number].scheduled_seconds)
    fleet = [_Engine(0, {}) for _ in range(engines)]
    waiting: list[int] = []
    taken: dict[int, float] = {}
    events = [(arrivals[number].scheduled_seconds, 0, number) for number in order]
    heapq.heapify(events)
    while events:
        now, kind, number = heapq.heappop(events)
        if kind == 0:
            _enqueue(waiting, number, arrivals)
        else:
            _step(fleet[number], now, arrivals, taken, options)
        _place(fleet, waiting, now, arrivals, options)
        for index, engine in enumerate(fleet):
            if engine.left and engine.step_at_seconds <= now:
                busy = 1 + options.slowdown_per_request * len(engine.left)
                engine.step_at_seconds = now + options.step_seconds * busy
                heapq.heappush(events, (engine.step_at_seconds, 1, index))
    return [taken[number] for number in range(len(arrivals))]


def _enqueue(waiting: list[int], number: int, arrivals: list[Arrival]) -> None:
    waiting.append(number)
    waiting.sort(key=lambda held: arrivals[held].is_batch)


def _running(engine: _Engine) -> int:
    return len(engine.left)


def _step(
    engine: _Engine,
    now: float,
    arrivals: list[Arrival],
    taken: dict[int, float],
    options: EngineOptions,
) -> None:
    for number in list(engine.left):
        engine.left[number] -= options.tokens_per_step
        if engine.left[number] <= 0:
            del engine.left[number]
            prefill = arrivals[number].prompt_characters / PREFILL_CHARACTERS_PER_SECOND
            taken[number] = now - arrivals[number].scheduled_seconds + prefill


def _place(
    fleet: list[_Engine],
    waiting: list[int],
    now: float,
    arrivals: list[Arrival],
    options: EngineOptions,
) -> None:
    while waiting:
        engine = min(fleet, key=_running)
        if len(engine.left) >= options.capacity:
            return
        number = waiting.pop(0)
        engine.left[number] = arrivals[number].max_tokens
