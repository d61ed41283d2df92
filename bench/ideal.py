"""The lowest latency that engines could reach: one ideal queue in front of them.

The scheduler knows every arrival at once, links have no delay, live requests come
before batch requests, and a request goes to the engine that runs the fewest.
"""

import heapq
from dataclasses import dataclass

from bench.fakes.engine import PREFILL_CHARACTERS_PER_SECOND, EngineOptions


@dataclass(frozen=True)
class Arrival:
    """Time (in seconds since any fixed moment), size and priority of one request."""

    scheduled_seconds: float
    prompt_characters: int
    max_tokens: int
    is_batch: bool = False


@dataclass
class _Engine:
    next_step_seconds: float
    remaining_tokens: dict[int, int]


def ideal_latencies(arrivals: list[Arrival], engines: int, options: EngineOptions) -> list[float]:
    """Simulates the queue; returns the latency of each arrival in seconds, in the given order."""
    order = sorted(range(len(arrivals)), key=lambda number: arrivals[number].scheduled_seconds)
    simulated_engines = [_Engine(0, {}) for _ in range(engines)]
    waiting: list[int] = []
    latencies: dict[int, float] = {}
    events = [(arrivals[number].scheduled_seconds, 0, number) for number in order]
    heapq.heapify(events)
    while events:
        now, kind, number = heapq.heappop(events)
        if kind == 0:
            _enqueue(waiting, number, arrivals)
        else:
            _step(simulated_engines[number], now, arrivals, latencies, options)
        _dispatch(simulated_engines, waiting, now, arrivals, options)
        for index, engine in enumerate(simulated_engines):
            if engine.remaining_tokens and engine.next_step_seconds <= now:
                busy = 1 + options.slowdown_per_request * len(engine.remaining_tokens)
                engine.next_step_seconds = now + options.step_seconds * busy
                heapq.heappush(events, (engine.next_step_seconds, 1, index))
    return [latencies[number] for number in range(len(arrivals))]


def _enqueue(waiting: list[int], number: int, arrivals: list[Arrival]) -> None:
    waiting.append(number)
    waiting.sort(key=lambda queued: arrivals[queued].is_batch)


def _running_count(engine: _Engine) -> int:
    return len(engine.remaining_tokens)


def _step(
    engine: _Engine,
    now: float,
    arrivals: list[Arrival],
    latencies: dict[int, float],
    options: EngineOptions,
) -> None:
    for number in list(engine.remaining_tokens):
        engine.remaining_tokens[number] -= options.tokens_per_step
        if engine.remaining_tokens[number] <= 0:
            del engine.remaining_tokens[number]
            prefill = arrivals[number].prompt_characters / PREFILL_CHARACTERS_PER_SECOND
            latencies[number] = now - arrivals[number].scheduled_seconds + prefill


def _dispatch(
    simulated_engines: list[_Engine],
    waiting: list[int],
    now: float,
    arrivals: list[Arrival],
    options: EngineOptions,
) -> None:
    while waiting:
        engine = min(simulated_engines, key=_running_count)
        if len(engine.remaining_tokens) >= options.capacity:
            return
        number = waiting.pop(0)
        engine.remaining_tokens[number] = arrivals[number].max_tokens
