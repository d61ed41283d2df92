"""A simulated data centre: the pure tracker, agents that carry out its orders, and faults."""

import hashlib
import random

from jackdawsail.weights.bitmap import pack_chunks
from jackdawsail.weights.manifest import Manifest
from jackdawsail.weights.schedule import ZonePlan
from jackdawsail.weights.tracker import ReleaseOrder, SendToAgent, Tracker
from jackdawsail.wire.weight_messages import (
    ChunkReport,
    FetchOrder,
    FetchOutcome,
    FetchResult,
    SourceKind,
    ZoneHave,
    ZoneHolder,
)

CHUNK_BYTES = 1000
STEP_SECONDS = 0.1


def make_manifest(chunks, release='quill-2'):
    bodies = [bytes([chunk % 256]) * CHUNK_BYTES for chunk in range(chunks)]
    digests = tuple(hashlib.sha256(body).hexdigest() for body in bodies)
    file_digest = hashlib.sha256(b''.join(bodies)).hexdigest()
    size_bytes = chunks * CHUNK_BYTES
    return Manifest(release, 'quill', 2, 'quill-2', size_bytes, CHUNK_BYTES, digests, file_digest)


class SimAgent:
    """Carries fetch orders out after a delay; faults are set as attributes."""

    def __init__(self, name):
        self.name, self.address = name, f'10.0.0.1:{name}'
        self.held, self.in_flight = set(), {}
        self.origin_bytes = 0
        self.alive, self.frozen, self.corrupt = True, False, False
        self.stage, self.problem = 'fetching', ''


class Zone:
    """Drives one tracker and its agents step by step."""

    def __init__(self, agents=4, chunks=12, zones=('a', 'b', 'c'), seed=1, copies=3, share=0.5):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.manifest = make_manifest(chunks)
        plan = ZonePlan(zones[0], tuple(zones), copies, 80_000)
        self.orders = {self.manifest.release: ReleaseOrder(self.manifest, share, plan)}
        self.agents = {name: SimAgent(name) for name in map(str, range(agents))}
        self.origin_fault = None
        self.reason = lambda: 'test'
        self.origin_fetches = []
        self.origin_bytes = 0
        self.remote_held = set()
        self.remote_served = 0
        self.permits = []
        self.new_tracker()

    def new_tracker(self):
        self.tracker = Tracker(random.Random(self.rng.random()), self.now)
        self.tracker.set_orders(self.orders, self.now)

    def live_agents(self):
        return [each for each in self.agents.values() if each.alive and not each.frozen]

    def step(self):
        self.now += STEP_SECONDS
        for agent in self.live_agents():
            self._finish(agent)
            self._report(agent)
        if self.remote_held:
            bitmap = pack_chunks(self.remote_held, self.manifest.chunk_count)
            holders = [ZoneHolder('10.9.9.9:1', bitmap)]
            self.tracker.record_zone_chunks(
                ZoneHave('b', self.manifest.release, holders), self.now
            )
        for effect in list(self.tracker.tick(self.now)):
            self._carry_out(effect)

    def run(self, steps=400, until=None):
        until = until or self.all_complete
        for _ in range(steps):
            if until():
                return
            self.step()
        assert until(), 'did not end in time'

    def all_complete(self):
        chunk_count = self.manifest.chunk_count
        return all(len(each.held) == chunk_count for each in self.live_agents())

    def copies_from_origin(self):
        return self.origin_bytes / self.manifest.size_bytes

    def _report(self, agent):
        bitmap = pack_chunks(agent.held, self.manifest.chunk_count)
        in_flight = sorted(agent.in_flight)
        report = ChunkReport(
            self.manifest.release,
            bitmap,
            in_flight,
            agent.stage,
            agent.problem,
            agent.address,
            agent.origin_bytes,
        )
        self.tracker.record_report(agent.name, report, self.now)

    def _carry_out(self, effect):
        if not isinstance(effect, SendToAgent):
            return
        agent = self.agents[effect.agent]
        if not isinstance(effect.message, FetchOrder):
            self.permits.append((effect.agent, effect.message.release))
            return
        for fetch in effect.message.fetches:
            if not agent.alive or agent.frozen:
                continue
            assert fetch.chunk not in agent.in_flight, 'one chunk twice at one agent'
            if fetch.source is SourceKind.origin:
                self.origin_fetches.append(fetch.chunk)
                self.origin_bytes += CHUNK_BYTES
            agent.in_flight[fetch.chunk] = (fetch, self.now + self.rng.uniform(0.05, 0.4))

    def _finish(self, agent):
        for chunk, (fetch, at) in list(agent.in_flight.items()):
            if at > self.now:
                continue
            agent.in_flight.pop(chunk)
            outcome = self._outcome(fetch)
            if outcome is FetchOutcome.done:
                agent.held.add(chunk)
            received_bytes = CHUNK_BYTES if outcome is not FetchOutcome.busy else 0
            if fetch.source is SourceKind.origin:
                agent.origin_bytes += received_bytes
            self.tracker.record_result(
                agent.name,
                FetchResult(
                    self.manifest.release,
                    chunk,
                    fetch.source,
                    fetch.address,
                    outcome,
                    self.reason(),
                    received_bytes,
                ),
                self.now,
            )

    def _outcome(self, fetch):
        if fetch.source is SourceKind.origin:
            return self.origin_fault(fetch) if self.origin_fault else FetchOutcome.done
        if fetch.address == '10.9.9.9:1':
            self.remote_served += 1
            return FetchOutcome.done
        holder = next(each for each in self.agents.values() if each.address == fetch.address)
        if holder.corrupt:
            return FetchOutcome.corrupt
        serves_chunk = holder.alive and not holder.frozen and fetch.chunk in holder.held
        return FetchOutcome.done if serves_chunk else FetchOutcome.failed
