"""Chooses the upstream of a call, or refuses it at once.

This matters when more streams arrive than the engines have slots, and unevenly. A queue
at an engine that is longer than the latency objective makes every stream behind it late,
and the engines generate no more because of it. So a call that would wait longer than a
share of its objective is refused at once with a time to retry after. The rest of a stream
that has begun is no new call: it is late by now, what was generated would be lost with it,
and its caller stays for seconds, so it waits in any queue that ends before that.

Plain services have few slots and uneven speeds. For them the upstream with the lowest
expected time is chosen.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from jackdawsail.routing.upstreams import Upstream
from jackdawsail.site.document import EngineClass

# Added for another region: a call there must save a pass to be worth the bytes on the link.
REMOTE_REGION_SECONDS = 0.05
USUAL_FIRST_EVENT_SECONDS = 0.25  # to the first event at a healthy engine; the excess is lag
JITTER_SECONDS = 0.01  # spreads the choices of entries that have the same reports
MAX_WAIT_SHARE = 0.25  # of the objective; the rest is for prompt, first passes and network
# For the rest of a stream; callers leave after two seconds without an event, a few tenths of
# which have passed already.
CONTINUE_WAIT_SECONDS = 1.2
DEFAULT_CALL_SECONDS = 0.05  # expected of a plain service that has not answered yet
FAILURE_PENALTY = 10.0  # factor by which a share of failures lengthens the expected time
RETRY_AFTER_MIN_SECONDS = 0.5  # a refused caller retries after some streams have ended
RETRY_AFTER_MAX_SECONDS = 1.6  # under a third of the time that callers wait


@dataclass(frozen=True, slots=True)
class PlacedCall:
    """The properties of a call that placement uses.

    ``is_begun`` is true for the rest of a stream whose first engine was lost. ``savings`` is the
    time that engines save which hold the beginning of its prompt, by their ids.
    """

    target_seconds: float
    region: str
    is_begun: bool = False
    savings: Mapping[str, float] | None = None

    @property
    def max_wait_seconds(self) -> float:
        """Returns the longest wait at an engine that is worth more than a refusal."""
        return CONTINUE_WAIT_SECONDS if self.is_begun else self.target_seconds * MAX_WAIT_SHARE


@dataclass(frozen=True, slots=True)
class Choice:
    """The chosen upstream and the expected wait at it."""

    upstream: Upstream
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Refusal:
    """No upstream can serve the call in time; it may be retried after ``retry_after_seconds``."""

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
    """Chooses the engine with the earliest expected first event, unless all queues are long."""
    if not candidates:
        return make_refusal('no engine', rng)
    choices = [
        Choice(candidate, expected_wait_seconds(candidate, engine, now_seconds, entries))
        for candidate in candidates
    ]
    in_time = [choice for choice in choices if choice.wait_seconds <= call.max_wait_seconds]
    if not in_time:
        return make_refusal('queues are too long', rng)
    return min(
        in_time, key=lambda choice: _expected_first_event_seconds(choice, call, now_seconds, rng)
    )


def choose_service(
    call: PlacedCall, candidates: Sequence[Upstream], rng: random.Random
) -> Choice | Refusal:
    """Chooses the upstream of a plain service with the lowest expected time."""
    if not candidates:
        return make_refusal('no upstream', rng)
    best = min(
        candidates, key=lambda upstream: _expected_service_seconds(upstream, call.region, rng)
    )
    return Choice(best, 0)


def make_refusal(reason: str, rng: random.Random) -> Refusal:
    """Returns a refusal with a random retry time, so that callers do not return together."""
    return Refusal(reason, rng.uniform(RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS))


def make_rest_refusal(rest_seconds: float, rng: random.Random) -> Refusal:
    """Returns the refusal while all upstreams rest; callers return spread over a second after it."""
    spread_seconds = rng.uniform(0, RETRY_AFTER_MAX_SECONDS - RETRY_AFTER_MIN_SECONDS)
    return Refusal('all upstreams rest', rest_seconds + spread_seconds)


def expected_wait_seconds(
    upstream: Upstream, engine: EngineClass, now_seconds: float, entries: int = 1
) -> float:
    """Predicts how long a call waits at an engine before its prompt is processed.

    Each stream that ends frees one slot. A stream lasts as many passes as its answer has
    events.
    """
    active = upstream.active_calls(now_seconds, entries)
    slots = max(1, upstream.registration.places or engine.slots)
    running = min(active, slots)
    pass_seconds = pass_length_seconds(engine, running)
    ends_before_start = max(0, active + 1 - slots)
    events = engine.usual_answer_tokens / engine.steps_per_pass
    stream_seconds = events * pass_seconds
    load = upstream.load_at(now_seconds)
    pace = 1.0 if load is None else max(1.0, load.pace)
    # Below capacity a fuller engine is slower, which decides between engines with free slots.
    return pace * (ends_before_start * stream_seconds / slots + pass_seconds * running / slots / 2)


def pass_length_seconds(engine: EngineClass, running: float) -> float:
    """Returns the duration of an engine's pass with a number of running streams.

    Each stream that ends is replaced by one whose prompt is processed between passes.
    """
    step_seconds = engine.step_seconds + engine.step_per_request_seconds * running
    decode_seconds = engine.steps_per_pass * step_seconds
    events = max(1.0, engine.usual_answer_tokens / engine.steps_per_pass)
    if not engine.prompt_tokens_per_second:
        return decode_seconds
    prefill_seconds = engine.usual_prompt_tokens / engine.prompt_tokens_per_second
    return decode_seconds + prefill_seconds * running / events


def _expected_first_event_seconds(
    choice: Choice, call: PlacedCall, now_seconds: float, rng: random.Random
) -> float:
    """Predicts the time to the first event, without the part that is equal at all engines."""
    upstream = choice.upstream
    lag_seconds = max(0, upstream.first_event_mean_at(now_seconds) - USUAL_FIRST_EVENT_SECONDS)
    expected_seconds = choice.wait_seconds + lag_seconds + rng.uniform(0, JITTER_SECONDS)
    expected_seconds += _region_seconds(upstream, call.region)
    if call.savings:
        expected_seconds = max(0, expected_seconds - call.savings.get(upstream.name, 0))
    return expected_seconds * (1 + FAILURE_PENALTY * upstream.failure_share / 2)


def _region_seconds(upstream: Upstream, region: str) -> float:
    return 0 if upstream.region == region else REMOTE_REGION_SECONDS


def _expected_service_seconds(upstream: Upstream, region: str, rng: random.Random) -> float:
    expected_seconds = upstream.mean_answer_seconds or DEFAULT_CALL_SECONDS
    expected_seconds *= 1 + upstream.calls / max(1, upstream.registration.places)
    expected_seconds *= 1 + FAILURE_PENALTY * upstream.failure_share
    return expected_seconds + _region_seconds(upstream, region) / 4 + rng.uniform(0, 0.002)
