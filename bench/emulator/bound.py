"""What a scheduler that knows the future could earn at most on the same arrivals.

Each second the engines that hold weights have so many seconds of work to give. A
stream costs the reading of its prompt and its part of the passes of a full batch.
The streams with the most worth for their cost are taken, parts of one too; what is
left of the second serves late ones. Changeovers and queues are left out, so that no
scheduler can do better.
"""

from collections import defaultdict
from collections.abc import Sequence

from bench.emulator.callers import Asked
from bench.emulator.deployment import Deployment, EngineModel

BIN_SECONDS = 1.0  # longer than any objective, so that work may wait within a bin


def worth_upper_bound(deployment: Deployment, asked: Sequence[Asked]) -> float:
    """Returns the greatest share of what is owed that can be earned."""
    owed = sum(one.owed for one in asked)
    by_bin: dict[int, list[Asked]] = defaultdict(list)
    for one in asked:
        by_bin[int(one.asked_seconds / BIN_SECONDS)].append(one)
    earned: float = 0
    for number, arrived in by_bin.items():
        capacity = BIN_SECONDS * engines_at(deployment, number * BIN_SECONDS)
        earned += _best_of(deployment.engine, arrived, capacity)
    return earned / owed if owed else 0


def _best_of(engine: EngineModel, arrived: Sequence[Asked], capacity_seconds: float) -> float:
    earned = sum(one.owed for one in arrived if not one.prompt_tokens)
    streams = [(one, cost_seconds(engine, one)) for one in arrived if one.prompt_tokens]
    streams.sort(key=lambda pair: pair[0].owed / pair[1], reverse=True)
    for one, cost in streams:
        part = min(1.0, capacity_seconds / cost)
        capacity_seconds -= part * cost
        earned += part * one.owed
    return earned


def cost_seconds(engine: EngineModel, asked: Asked) -> float:
    """Returns an engine's time for a stream in a full batch."""
    reading_ms = asked.prompt_tokens / engine.prompt_tokens_per_ms
    reading_ms += asked.prompt_tokens**2 / 2e6 * engine.pairs_per_million_ms
    step_ms = engine.step_ms + engine.step_per_stream_ms * engine.places
    writing_ms = asked.answer_tokens * step_ms / engine.places
    return (reading_ms + writing_ms) / 1000


def engines_at(deployment: Deployment, seconds: float) -> int:
    """Counts the engines that may serve at a time."""
    counts = {zone.name: zone.engines for zone in deployment.zones}
    emptied: set[str] = set()
    ready_seconds = deployment.engine.stage_seconds + deployment.engine.load_seconds
    for change in sorted(deployment.changes, key=lambda one: one.at_seconds):
        waits = ready_seconds if change.kind == 'engines' and change.count > 0 else 0
        if change.at_seconds + waits > seconds:
            continue
        if change.kind == 'engines':
            counts[change.zone] += change.count
        elif change.kind == 'empty':
            emptied.add(change.zone)
        elif change.kind == 'refill':
            emptied.discard(change.zone)
    return sum(count for zone, count in counts.items() if zone not in emptied)
