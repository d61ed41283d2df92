"""Chooses the upstream of a call, or refuses it at once.

Load: more streams than the engines have places, arriving unevenly; a queue at an
engine that is longer than the latency objective makes every stream behind it
late, while the engines generate no more. So a call that would wait longer than a
part of its objective is refused at once and told when to come back.

Plain services have few places and uneven speeds; there the upstream with the
lowest expected time is taken.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import EngineClass

FAR_SECONDS = 0.05  # a call to another region must gain a pass to be worth the bytes on the link
USUAL_FIRST_SECONDS = 0.25  # until a first event at a sound engine; what is beyond it is a lag
JITTER_SECONDS = 0.01  # spreads the choices of entries that see the same reports
WAIT_SHARE = 0.25  # of the objective; the rest is for the prompt, the first passes and the way
DEFAULT_CALL_SECONDS = 0.05  # expected of a plain service that has not answered yet
FAILURE_COST = 10.0  # how much a share of failures lengthens the expected time
RETURN_MIN_SECONDS = 0.5  # a refused caller comes back after some streams have ended
RETURN_MAX_SECONDS = 1.6  # under a third of the patience that the callers have


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """What placement needs to know of a call."""

    target_seconds: float
    region: str


@dataclass(frozen=True, slots=True)
class Choice:
    """The upstream to use, and the wait that is expected there."""

    upstream: Upstream
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """No upstream can serve the call in time; come back after ``return_seconds``."""

    reason: str
    retry_after_seconds: float


def choose_engine(
    call: PlacedCall,
    engine: EngineClass,
    candidates: Sequence[Upstream],
    now_seconds: float,
    rng: random.Random,
    entries: int = 1,
) -> Choice | Refusal:
    """Takes the engine with the earliest first event, unless all queues are too long."""
    if not candidates:
        return refusal('no engine', rng)
    waits = [
        Choice(one, expected_wait_seconds(one, engine, now_seconds, entries)) for one in candidates
    ]
    longest_seconds = call.target_seconds * WAIT_SHARE
    in_time = [choice for choice in waits if choice.wait_seconds <= longest_seconds]
    if not in_time:
        return refusal('queues are too long', rng)
    return min(in_time, key=lambda choice: _first_seconds(choice, call, now_seconds, rng))


def choose_service(
    call: PlacedCall, candidates: Sequence[Upstream], rng: random.Random
) -> Choice | Refusal:
    """Takes the upstream of a plain service with the lowest expected time."""
    if not candidates:
        return refusal('no upstream', rng)
    best = min(candidates, key=lambda one: _service_seconds(one, call.region, rng))
    return Choice(best, 0)


def refusal(reason: str, rng: random.Random) -> Refusal:
    """Refuses with a time to come back that spreads the callers."""
    return Refusal(reason, rng.uniform(RETURN_MIN_SECONDS, RETURN_MAX_SECONDS))


def expected_wait_seconds(
    upstream: Upstream, engine: EngineClass, now_seconds: float, entries: int = 1
) -> float:
    """Predicts how long a call waits at an engine before its prompt is read.

    A place frees up once for each stream that ends; a stream stays for as many
    passes as its answer has events.
    """
    active = upstream.active_calls(now_seconds, entries)
    places = max(1, upstream.registration.places or engine.slots)
    running = min(active, places)
    pass_seconds = pass_length_seconds(engine, running)
    ahead = max(0, active + 1 - places)
    events = engine.usual_answer_tokens / engine.steps_per_pass
    stay_seconds = events * pass_seconds
    load = upstream.load_at(now_seconds)
    pace = 1.0 if load is None else max(1.0, load.pace)
    # Within the places a fuller engine is slower, which decides between free ones.
    return pace * (ahead * stay_seconds / places + pass_seconds * running / places / 2)


def pass_length_seconds(engine: EngineClass, running: float) -> float:
    """Returns the length of an engine's pass with a number of running streams.

    Each stream that ends makes room for one whose prompt is read between passes.
    """
    step_seconds = engine.step_seconds + engine.step_per_request_seconds * running
    writing_seconds = engine.steps_per_pass * step_seconds
    events = max(1.0, engine.usual_answer_tokens / engine.steps_per_pass)
    if not engine.prompt_tokens_per_second:
        return writing_seconds
    reading_seconds = engine.usual_prompt_tokens / engine.prompt_tokens_per_second
    return writing_seconds + reading_seconds * running / events


def _first_seconds(
    choice: Choice, call: PlacedCall, now_seconds: float, rng: random.Random
) -> float:
    """Predicts when the first event comes, apart from what is alike at all engines."""
    upstream = choice.upstream
    lag_seconds = max(0, upstream.first_mean_at(now_seconds) - USUAL_FIRST_SECONDS)
    expected_seconds = choice.wait_seconds + lag_seconds + rng.uniform(0, JITTER_SECONDS)
    expected_seconds += _distance_seconds(upstream, call.region)
    return expected_seconds * (1 + FAILURE_COST * upstream.failure_share / 2)


def _distance_seconds(upstream: Upstream, region: str) -> float:
    return 0 if upstream.region == region else FAR_SECONDS


def _service_seconds(upstream: Upstream, region: str, rng: random.Random) -> float:
    expected_seconds = upstream.mean_seconds or DEFAULT_CALL_SECONDS
    expected_seconds *= 1 + upstream.calls / max(1, upstream.registration.places)
    expected_seconds *= 1 + FAILURE_COST * upstream.failure_share
    return expected_seconds + _distance_seconds(upstream, region) / 4 + rng.uniform(0, 0.002)
