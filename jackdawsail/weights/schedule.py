"""Chooses who draws which chunk from where: cross draws first, then exchange (pure)."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from jackdawsail.weights.origin_budget import OriginBudget
from jackdawsail.weights.placement import parent_zone, rank_zones
from jackdawsail.weights.swarm import FLIGHT_EXTRA_SECONDS, Flight, Swarm
from jackdawsail.wire.weight_messages import FetchItem, SourceKind

CROSS_WINDOW_CHUNKS = 4
LOCAL_WINDOW_CHUNKS = 4
SOURCE_WINDOW_CHUNKS = 4
FLIGHT_RATE_MARGIN = 4
PARENT_PATIENCE_SECONDS = 5.0
UPLOAD_BUDGET_COPIES = 1.05
LOCAL_SLOW_BITS_PER_SECOND = 10_000_000
BITS_PER_BYTE = 8


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """What the replicated state and the pacer say about one release here."""

    zone: str
    zones: tuple[str, ...]
    origin_copies: int
    cross_bits_per_second: float


@dataclass(frozen=True, slots=True)
class Placed:
    """One transfer that was decided on."""

    agent: str
    fetch: FetchItem


class Scheduler:
    """Plans the transfers of one swarm; keeps the zone order of each chunk."""

    def __init__(self, swarm: Swarm, budget: OriginBudget, rng: random.Random) -> None:
        self._swarm = swarm
        self._budget = budget
        self._rng = rng
        self._ranked: dict[int, list[str]] = {}
        self._ranked_zones: tuple[str, ...] = ()
        self._absent_since_seconds: dict[int, float] = {}

    def plan(self, plan: ZonePlan, now: float) -> Iterator[Placed]:
        """Yields the transfers to order now, each already noted in the swarm."""
        if plan.zones != self._ranked_zones:
            self._ranked_zones = plan.zones
            self._ranked.clear()
        yield from self._plan_cross(plan, now)
        yield from self._plan_local(now)

    def _plan_cross(self, plan: ZonePlan, now: float) -> Iterator[Placed]:
        free = CROSS_WINDOW_CHUNKS - len(self._swarm.crossing)
        absent = self._swarm.absent_chunks(now) if free > 0 else []
        if not absent:
            return
        shared = min(CROSS_WINDOW_CHUNKS, len(absent) + len(self._swarm.crossing))
        bits_per_second = plan.cross_bits_per_second / shared
        for chunk in absent:
            if free <= 0:
                return
            placed = self._place_cross(plan, chunk, bits_per_second, now)
            if placed is not None:
                free -= 1
                yield placed

    def _place_cross(
        self, plan: ZonePlan, chunk: int, bits_per_second: float, now: float
    ) -> Placed | None:
        agent = self._next_drawer(chunk, now)
        if agent is None:
            return None
        address = self._cross_source(plan, chunk, now)
        if address is None:
            return None
        source = SourceKind.peer if address else SourceKind.origin
        length_bytes = self._swarm.manifest.span(chunk).length_bytes
        if source is SourceKind.origin:
            self._budget.reserve(length_bytes)
        needed_seconds = length_bytes * BITS_PER_BYTE / bits_per_second
        until_seconds = now + FLIGHT_EXTRA_SECONDS + FLIGHT_RATE_MARGIN * needed_seconds
        flight = Flight(source, address, until_seconds, is_cross=True)
        self._swarm.begin(agent, chunk, flight)
        self._swarm.members[agent].draws += 1
        return Placed(agent, FetchItem(chunk, source, address, bits_per_second))

    def _next_drawer(self, chunk: int, now: float) -> str | None:
        """Picks the agent that has drawn least, so that each draws its part."""
        swarm = self._swarm
        members = swarm.members
        able = [name for name in members if swarm.lacks(name, chunk)]
        good = [name for name in able if not swarm.is_lost(members[name].address, now)]
        return min(good or able, key=lambda name: (members[name].draws, name), default=None)

    def _cross_source(self, plan: ZonePlan, chunk: int, now: float) -> str | None:
        """Returns an address, '' for the origin, or None to wait."""
        ranked = self._rank(chunk)
        parent = parent_zone(ranked, plan.zone, plan.origin_copies)
        waited_seconds = now - self._absent_since_seconds.setdefault(chunk, now)
        near = self._swarm.remote_addresses(chunk, parent, now) if parent else []
        if near:
            return self._rng.choice(near)
        is_patient = waited_seconds < PARENT_PATIENCE_SECONDS
        if parent and is_patient:
            return None
        length_bytes = self._swarm.manifest.span(chunk).length_bytes
        may_draw = self._budget.allows(length_bytes, now)
        if may_draw and is_patient and not self._budget.has_corrupt(chunk):
            return ''
        elsewhere = self._elsewhere(plan, chunk, now)
        if elsewhere:
            return self._rng.choice(elsewhere)
        return '' if may_draw else None

    def _elsewhere(self, plan: ZonePlan, chunk: int, now: float) -> list[str]:
        others = [zone for zone in self._swarm.remotes if zone != plan.zone]
        found = (self._swarm.remote_addresses(chunk, zone, now) for zone in others)
        return [address for addresses in found for address in addresses]

    def _rank(self, chunk: int) -> list[str]:
        if chunk not in self._ranked:
            digest = self._swarm.manifest.chunk_digests[chunk]
            self._ranked[chunk] = rank_zones(digest, self._ranked_zones)
        return self._ranked[chunk]

    def _plan_local(self, now: float) -> Iterator[Placed]:
        members = self._swarm.members
        chunk_count = self._swarm.manifest.chunk_count
        lacking = [
            name
            for name, member in members.items()
            if len(member.held) < chunk_count and not member.problem
        ]
        for agent in sorted(lacking, key=self._local_flights):
            yield from self._exchange(agent, now)

    def _exchange(self, agent: str, now: float) -> Iterator[Placed]:
        free = LOCAL_WINDOW_CHUNKS - self._local_flights(agent)
        if free <= 0:
            return
        for chunk in self._rarest(self._swarm.obtainable(agent)):
            source = self._local_source(agent, chunk, now)
            if source is None:
                continue
            yield self._place_local(agent, chunk, source, now)
            free -= 1
            if free <= 0:
                return

    def _place_local(self, agent: str, chunk: int, source: str, now: float) -> Placed:
        holder = self._swarm.members[source]
        holder.uploads += 1
        length_bits = self._swarm.manifest.span(chunk).length_bytes * BITS_PER_BYTE
        until_seconds = now + FLIGHT_EXTRA_SECONDS + length_bits / LOCAL_SLOW_BITS_PER_SECOND
        flight = Flight(SourceKind.peer, holder.address, until_seconds, is_cross=False)
        self._swarm.begin(agent, chunk, flight)
        return Placed(agent, FetchItem(chunk, SourceKind.peer, holder.address))

    def _local_flights(self, agent: str) -> int:
        return self._swarm.fetching[agent]

    def _rarest(self, chunks: Iterable[int]) -> list[int]:
        holders = self._swarm.holders
        held = sorted(chunks)
        self._rng.shuffle(held)
        held.sort(key=lambda chunk: len(holders[chunk]))
        return held

    def _local_source(self, agent: str, chunk: int, now: float) -> str | None:
        """Picks the holder that has uploaded least; waits rather than overuse one."""
        members = self._swarm.members
        holders = [
            name
            for name in self._swarm.holders.get(chunk, ())
            if name != agent and self._swarm.is_usable(members[name].address, now)
        ]
        budget = UPLOAD_BUDGET_COPIES * self._swarm.manifest.chunk_count
        within = [name for name in holders if members[name].uploads < budget]
        able = [name for name in within or holders if not self._is_busy(name)]
        return min(able, key=lambda name: (members[name].uploads, name), default=None)

    def _is_busy(self, name: str) -> bool:
        address = self._swarm.members[name].address
        return self._swarm.uploading[address] >= SOURCE_WINDOW_CHUNKS
