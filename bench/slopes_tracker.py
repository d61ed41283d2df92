"""Slopes of the tracker's state machine, from bursts in simulated time.

A burst: all agents of one data centre fetch the same release.
"""

import hashlib
import random
import time
import tracemalloc
from dataclasses import dataclass, field

from bench.capacity_slopes import Slope
from bench.slopes_sampling import make_slope
from jackdawsail.weights.bitmap import pack_chunks
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.schedule import ZonePlan
from jackdawsail.weights.tracker import ReleaseOrder, SendToAgent, Tracker
from jackdawsail.wire.weight_messages import ChunkReport, FetchOrder, FetchOutcome, FetchResult

AGENT_COUNTS = (10, 20, 40)
CHUNKS = 2000
CHUNK_BYTES = 64 * 2**20
STEP_SECONDS = 0.25
REPORT_EVERY_STEPS = 4
FETCHES_PER_AGENT_STEP = 2
MAX_STEPS = 20_000
RELEASE = 'slopes'


@dataclass(slots=True)
class BurstFigures:
    """What one simulated burst cost the tracker."""

    agents: int
    messages: int
    processor_seconds: float
    simulated_seconds: float
    state_bytes: float


@dataclass(slots=True)
class _SimulatedAgent:
    held: set[int] = field(default_factory=set)
    queue: list[FetchResult] = field(default_factory=list)


def measure_tracker() -> dict[str, Slope]:
    """Measures the tracker's processor time, message rate and memory in bursts."""
    bursts = [run_burst(count) for count in AGENT_COUNTS]
    # Tracing allocations slows the tracker several times over, so timed runs are not traced.
    traced = [run_burst(count, trace=True) for count in AGENT_COUNTS]
    return {
        'tracker_processor_per_message': make_slope(
            [(burst.messages, burst.processor_seconds) for burst in bursts],
            's',
            'message of a burst',
            'tracker',
        ),
        'tracker_messages_per_agent': make_slope(
            [(burst.agents, burst.messages / burst.simulated_seconds) for burst in bursts],
            'messages/s',
            'agent in a burst',
            'tracker',
        ),
        'tracker_bytes_per_chunk': make_slope(
            [(burst.agents * CHUNKS, burst.state_bytes) for burst in traced],
            'B',
            'agent and chunk',
            'tracker',
        ),
    }


def run_burst(agents: int, trace: bool = False) -> BurstFigures:
    """Runs a burst until every agent holds every chunk.

    ``state_bytes`` is the peak of the memory samples if ``trace`` is set, else 0.
    Raises ``AssertionError`` after ``MAX_STEPS`` steps.
    """
    manifest = _make_manifest()
    plan = ZonePlan('a', ('a', 'b', 'c'), 3, 10**12)
    simulated_agents = {f'agent-{number}': _SimulatedAgent() for number in range(agents)}
    if trace:
        tracemalloc.start()
    tracker = Tracker(random.Random(1), 0)
    tracker.set_orders({RELEASE: ReleaseOrder(manifest, 0.5, plan)}, 0)
    steps, messages = 0, 0
    spent_seconds = float(0)
    state_bytes = float(0)
    while steps < MAX_STEPS and any(
        len(agent.held) < CHUNKS for agent in simulated_agents.values()
    ):
        steps += 1
        inbox = _collect_messages(simulated_agents, steps)
        messages += len(inbox)
        spent_seconds += _step_tracker(tracker, simulated_agents, inbox, steps * STEP_SECONDS)
        if trace and steps % 100 == 0:
            state_bytes = max(state_bytes, tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    if steps == MAX_STEPS:
        raise AssertionError('the simulated burst did not end')
    return BurstFigures(agents, messages, spent_seconds, steps * STEP_SECONDS, state_bytes)


def _step_tracker(
    tracker: Tracker,
    simulated_agents: dict[str, _SimulatedAgent],
    inbox: list[tuple[str, ChunkReport | FetchResult]],
    now_seconds: float,
) -> float:
    started = time.process_time()
    for name, message in inbox:
        if isinstance(message, ChunkReport):
            tracker.record_report(name, message, now_seconds)
        else:
            tracker.record_result(name, message, now_seconds)
    effects = list(tracker.tick(now_seconds))
    spent_seconds = time.process_time() - started
    for effect in effects:
        if isinstance(effect, SendToAgent) and isinstance(effect.message, FetchOrder):
            simulated_agents[effect.agent].queue.extend(_make_results(effect.message))
    return spent_seconds


def _make_results(order: FetchOrder) -> list[FetchResult]:
    return [
        FetchResult(order.release, item.chunk, item.source, item.address, FetchOutcome.done)
        for item in order.fetches
    ]


def _collect_messages(
    simulated_agents: dict[str, _SimulatedAgent], step: int
) -> list[tuple[str, ChunkReport | FetchResult]]:
    inbox: list[tuple[str, ChunkReport | FetchResult]] = []
    for name, agent in simulated_agents.items():
        finished = agent.queue[:FETCHES_PER_AGENT_STEP]
        agent.queue = agent.queue[FETCHES_PER_AGENT_STEP:]
        agent.held.update(result.chunk for result in finished)
        inbox.extend((name, result) for result in finished)
        if step % REPORT_EVERY_STEPS == 0 or step == 1:
            inbox.append((name, _make_report(name, agent)))
    return inbox


def _make_report(name: str, agent: _SimulatedAgent) -> ChunkReport:
    waiting = [result.chunk for result in agent.queue]
    bitmap = pack_chunks(agent.held, CHUNKS)
    return ChunkReport(RELEASE, bitmap, waiting, 'fetching', chunk_address=f'10.0.0.1:{name}')


def _make_manifest() -> Manifest:
    digests = tuple(hashlib.sha256(str(chunk).encode()).hexdigest() for chunk in range(CHUNKS))
    size_bytes = CHUNKS * CHUNK_BYTES
    content_digest = hashlib.sha256(b'whole').hexdigest()
    return Manifest(RELEASE, 'quill', 1, RELEASE, size_bytes, CHUNK_BYTES, digests, content_digest)
