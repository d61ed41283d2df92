"""An upper bound on the worth that any scheduler can earn on the same arrivals.

In each second, the engines that hold weights provide one second of work each. A
stream costs the prefill of its prompt and its share of the passes of a full batch.
Streams are served in order of worth per cost, the last one partly; capacity that is
left over in a second earns nothing. Changeovers and queues are ignored, so that no
scheduler can do better, even one that knows all arrivals in advance.
"""

from collections import defaultdict
from collections.abc import Sequence

from bench.emulator.callers import CallerRequest
from bench.emulator.deployment import Deployment, EngineModel

BIN_SECONDS = 1.0  # longer than any objective, so work may be delayed within a bin


def worth_upper_bound(deployment: Deployment, requests: Sequence[CallerRequest]) -> float:
    """Returns an upper bound on the share of the full worth that can be earned."""
    full = sum(request.full_worth for request in requests)
    by_bin: dict[int, list[CallerRequest]] = defaultdict(list)
    for request in requests:
        by_bin[int(request.start_seconds / BIN_SECONDS)].append(request)
    earned: float = 0
    for number, arrived in by_bin.items():
        capacity = BIN_SECONDS * engines_at(deployment, number * BIN_SECONDS)
        earned += _bound_of_bin(deployment.engine, arrived, capacity)
    return earned / full if full else 0


def _bound_of_bin(
    engine: EngineModel, arrived: Sequence[CallerRequest], capacity_seconds: float
) -> float:
    earned = sum(request.full_worth for request in arrived if not request.prompt_tokens)
    streams = [
        (request, cost_seconds(engine, request)) for request in arrived if request.prompt_tokens
    ]
    streams.sort(key=lambda pair: pair[0].full_worth / pair[1], reverse=True)
    for request, cost in streams:
        served_share = min(1.0, capacity_seconds / cost)
        capacity_seconds -= served_share * cost
        earned += served_share * request.full_worth
    return earned


def cost_seconds(engine: EngineModel, request: CallerRequest) -> float:
    """Returns the engine time that a stream costs in a full batch."""
    prefill_ms = request.prompt_tokens / engine.prompt_tokens_per_ms
    prefill_ms += request.prompt_tokens**2 / 2e6 * engine.pairs_per_million_ms
    step_ms = engine.step_ms + engine.step_per_stream_ms * engine.places
    decode_ms = request.answer_tokens * step_ms / engine.places
    return (prefill_ms + decode_ms) / 1000


def engines_at(deployment: Deployment, seconds: float) -> int:
    """Returns the number of engines that can serve at a time."""
    counts = {zone.name: zone.engines for zone in deployment.zones}
    emptied: set[str] = set()
    ready_seconds = deployment.engine.stage_seconds + deployment.engine.load_seconds
    for change in sorted(deployment.changes, key=lambda planned: planned.at_seconds):
        delay_seconds = ready_seconds if change.kind == 'engines' and change.count > 0 else 0
        if change.at_seconds + delay_seconds > seconds:
            continue
        if change.kind == 'engines':
            counts[change.zone] += change.count
        elif change.kind == 'empty':
            emptied.add(change.zone)
        elif change.kind == 'refill':
            emptied.discard(change.zone)
    return sum(count for zone, count in counts.items() if zone not in emptied)
