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

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from jackdawsail.routing import sizes
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

    ``is_begun`` is true for the rest of a stream whose first engine was lost. ``size`` is None
    for calls without a model, ``longest_pause_seconds`` 0 without a target for pauses. The call
    overtakes ``overtaken_share`` of the calls that wait at an engine. ``savings`` is the time that
    engines save which hold the beginning of its prompt, by their ids.
    """

    target_seconds: float
    region: str
    is_begun: bool = False
    size: sizes.CallSize | None = None
    longest_pause_seconds: float = 0
    max_wait_share: float = MAX_WAIT_SHARE
    overtaken_share: float = 0
    savings: Mapping[str, float] | None = None

    @property
    def max_wait_seconds(self) -> float:
        """Returns the longest wait at an engine that is worth more than a refusal."""
        if self.is_begun:
            return CONTINUE_WAIT_SECONDS
        return self.target_seconds * self.max_wait_share


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
        Choice(
            candidate,
            expected_wait_seconds(candidate, engine, now_seconds, entries, call.overtaken_share),
        )
        for candidate in candidates
    ]
    in_time = [choice for choice in choices if choice.wait_seconds <= call.max_wait_seconds]
    if not in_time:
        return make_refusal('queues are too long', rng)
    predictions = _predict_sizes(call, engine, in_time, now_seconds, entries)
    suited = keep_suited(call, in_time, predictions)
    if not suited:
        return make_refusal('too large to be in time, and no engine has room to spare', rng)

    def expected_seconds(choice: Choice) -> float:
        by_pace_seconds = predictions[choice.upstream.name].delay_by_pace_seconds
        return by_pace_seconds + _expected_first_event_seconds(choice, call, now_seconds, rng)

    return min(suited, key=expected_seconds)


def keep_suited(
    call: PlacedCall, choices: Sequence[Choice], predictions: Mapping[str, sizes.SizePrediction]
) -> list[Choice]:
    """Returns the choices that suit the size of a call.

    What would exceed an engine's memory never does. While an engine is slow, a call goes where it
    is in time and makes no others pause too long, else where there is room to spare: it is
    late then, and takes no slot from a call that can be in time.
    """
    fitting = [choice for choice in choices if predictions[choice.upstream.name].fits_memory]
    is_uneven = any(prediction.is_slow for prediction in predictions.values())
    if call.is_begun or not is_uneven:
        return fitting
    in_time = [
        choice
        for choice in fitting
        if choice.wait_seconds + predictions[choice.upstream.name].own_seconds
        <= call.target_seconds
    ]
    without_pause = [
        choice
        for choice in in_time
        if predictions[choice.upstream.name].pause_seconds
        <= (call.longest_pause_seconds or math.inf)
    ]
    spare = [choice for choice in fitting if predictions[choice.upstream.name].has_room_to_spare]
    return without_pause or in_time or spare


def _predict_sizes(
    call: PlacedCall,
    engine: EngineClass,
    choices: Sequence[Choice],
    now_seconds: float,
    entries: int,
) -> dict[str, sizes.SizePrediction]:
    """Returns what the size of a call means at each engine, by the engine's name."""
    return {
        choice.upstream.name: _predict_size(call, engine, choice.upstream, now_seconds, entries)
        for choice in choices
    }


def _predict_size(
    call: PlacedCall, engine: EngineClass, upstream: Upstream, now_seconds: float, entries: int
) -> sizes.SizePrediction:
    load = upstream.load_at(now_seconds)
    if call.size is None or load is None or upstream.last_report is None:
        return sizes.UNKNOWN
    slots = max(1, upstream.registration.places or engine.slots)
    state = sizes.EngineState(
        pace=load.pace,
        running=load.running,
        slots=slots,
        memory_share=load.memory_share,
        unreported=tuple(upstream.sent_sizes.since(upstream.last_report.received_seconds)),
        entries=entries,
    )
    running = min(upstream.active_calls(now_seconds, entries), slots)
    return sizes.predict(call.size, engine, state, pass_length_seconds(engine, running))


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


def make_spread_refusal(
    reason: str, position: tuple[int, int], longest_seconds: float, rng: random.Random
) -> Refusal:
    """Returns a refusal after which calls of less urgent classes return later than others.

    ``position`` is the urgency class and the number of classes. Each class has its part of the
    range of retry times. A caller that waits ``longest_seconds``
    at most, if that is known, is not told to return after that.
    """
    urgency, classes = position
    part_seconds = (RETRY_AFTER_MAX_SECONDS - RETRY_AFTER_MIN_SECONDS) / classes
    retry_after_seconds = RETRY_AFTER_MIN_SECONDS + part_seconds * (urgency + rng.random())
    if longest_seconds > 0:
        retry_after_seconds = min(retry_after_seconds, longest_seconds)
    return Refusal(reason, retry_after_seconds)


def make_rest_refusal(rest_seconds: float, rng: random.Random) -> Refusal:
    """Returns the refusal while all upstreams rest; callers return spread over a second after it."""
    spread_seconds = rng.uniform(0, RETRY_AFTER_MAX_SECONDS - RETRY_AFTER_MIN_SECONDS)
    return Refusal('all upstreams rest', rest_seconds + spread_seconds)


def expected_wait_seconds(
    upstream: Upstream,
    engine: EngineClass,
    now_seconds: float,
    entries: int = 1,
    overtaken_share: float = 0,
) -> float:
    """Predicts how long a call waits at an engine before its prompt is processed.

    Each stream that ends frees one slot. A stream lasts as many passes as its answer has
    events.
    """
    active = upstream.active_calls(now_seconds, entries)
    slots = max(1, upstream.registration.places or engine.slots)
    active -= overtaken_share * max(0, active - slots)
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
