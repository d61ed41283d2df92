"""Chooses which agent fetches which chunk from which source (pure).

Fetches from the origin and from other data centres come first, then the exchange
between the agents of this data centre.
"""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from jackdawsail.weights.origin_budget import OriginBudget
from jackdawsail.weights.placement import parent_zone, rank_zones
from jackdawsail.weights.swarm import TRANSFER_EXTRA_SECONDS, Swarm, Transfer
from jackdawsail.wire.weight_messages import FetchItem, SourceKind

CROSS_ZONE_WINDOW_CHUNKS = 4
LOCAL_WINDOW_CHUNKS = 4
SOURCE_WINDOW_CHUNKS = 4
TRANSFER_RATE_MARGIN = 4
PARENT_WAIT_SECONDS = 5.0
UPLOAD_BUDGET_COPIES = 1.05
LOCAL_BITS_PER_SECOND_MIN = 10_000_000
BITS_PER_BYTE = 8


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """The data centres, origin share and bandwidth for one release, seen from ``zone``.

    ``origin_copies`` is how many data centres fetch each chunk from the origin.
    """

    zone: str
    zones: tuple[str, ...]
    origin_copies: int
    cross_bits_per_second: float


@dataclass(frozen=True, slots=True)
class PlannedFetch:
    """A fetch that was decided on, and the agent to order it from."""

    agent: str
    fetch: FetchItem


class Scheduler:
    """Plans the transfers of one swarm; caches the ranking of zones for each chunk."""

    def __init__(self, swarm: Swarm, budget: OriginBudget, rng: random.Random) -> None:
        self._swarm = swarm
        self._budget = budget
        self._rng = rng
        self._ranked: dict[int, list[str]] = {}
        self._ranked_zones: tuple[str, ...] = ()
        self._absent_since_seconds: dict[int, float] = {}

    def plan(self, plan: ZonePlan, now: float) -> Iterator[PlannedFetch]:
        """Yields the transfers to order now; each is already recorded in the swarm."""
        if plan.zones != self._ranked_zones:
            self._ranked_zones = plan.zones
            self._ranked.clear()
        yield from self._plan_cross_zone(plan, now)
        yield from self._plan_local(now)

    def _plan_cross_zone(self, plan: ZonePlan, now: float) -> Iterator[PlannedFetch]:
        free_slots = CROSS_ZONE_WINDOW_CHUNKS - len(self._swarm.cross_zone_chunks)
        absent = self._swarm.absent_chunks(now) if free_slots > 0 else []
        if not absent:
            return
        concurrent = min(
            CROSS_ZONE_WINDOW_CHUNKS, len(absent) + len(self._swarm.cross_zone_chunks)
        )
        bits_per_second = plan.cross_bits_per_second / concurrent
        for chunk in absent:
            if free_slots <= 0:
                return
            planned = self._start_cross_zone(plan, chunk, bits_per_second, now)
            if planned is not None:
                free_slots -= 1
                yield planned

    def _start_cross_zone(
        self, plan: ZonePlan, chunk: int, bits_per_second: float, now: float
    ) -> PlannedFetch | None:
        agent = self._next_fetcher(chunk, now)
        if agent is None:
            return None
        address = self._cross_zone_source(plan, chunk, now)
        if address is None:
            return None
        source = SourceKind.peer if address else SourceKind.origin
        length_bytes = self._swarm.manifest.span(chunk).length_bytes
        if source is SourceKind.origin:
            self._budget.reserve(length_bytes)
        needed_seconds = length_bytes * BITS_PER_BYTE / bits_per_second
        until_seconds = now + TRANSFER_EXTRA_SECONDS + TRANSFER_RATE_MARGIN * needed_seconds
        transfer = Transfer(source, address, until_seconds, is_cross_zone=True)
        self._swarm.start_transfer(agent, chunk, transfer)
        self._swarm.members[agent].cross_zone_fetches += 1
        return PlannedFetch(agent, FetchItem(chunk, source, address, bits_per_second))

    def _next_fetcher(self, chunk: int, now: float) -> str | None:
        """Returns the agent with the fewest cross-zone fetches, to spread them evenly."""
        swarm = self._swarm
        members = swarm.members
        candidates = [name for name in members if swarm.may_fetch(name, chunk)]
        healthy = [name for name in candidates if not swarm.is_ejected(members[name].address, now)]
        return min(
            healthy or candidates,
            key=lambda name: (members[name].cross_zone_fetches, name),
            default=None,
        )

    def _cross_zone_source(self, plan: ZonePlan, chunk: int, now: float) -> str | None:
        """Returns the address of the source, '' for the origin, or None to wait."""
        ranked = self._rank(chunk)
        parent = parent_zone(ranked, plan.zone, plan.origin_copies)
        waited_seconds = now - self._absent_since_seconds.setdefault(chunk, now)
        parent_addresses = self._swarm.remote_addresses(chunk, parent, now) if parent else []
        if parent_addresses:
            return self._rng.choice(parent_addresses)
        waits_for_parent = waited_seconds < PARENT_WAIT_SECONDS
        if parent and waits_for_parent:
            return None
        length_bytes = self._swarm.manifest.span(chunk).length_bytes
        origin_allowed = self._budget.allows(length_bytes, now)
        if origin_allowed and waits_for_parent and not self._budget.has_corrupt(chunk):
            return ''
        addresses = self._addresses_in_other_zones(plan, chunk, now)
        if addresses:
            return self._rng.choice(addresses)
        return '' if origin_allowed else None

    def _addresses_in_other_zones(self, plan: ZonePlan, chunk: int, now: float) -> list[str]:
        others = [zone for zone in self._swarm.remotes if zone != plan.zone]
        by_zone = (self._swarm.remote_addresses(chunk, zone, now) for zone in others)
        return [address for addresses in by_zone for address in addresses]

    def _rank(self, chunk: int) -> list[str]:
        if chunk not in self._ranked:
            digest = self._swarm.manifest.chunk_digests[chunk]
            self._ranked[chunk] = rank_zones(digest, self._ranked_zones)
        return self._ranked[chunk]

    def _plan_local(self, now: float) -> Iterator[PlannedFetch]:
        members = self._swarm.members
        chunk_count = self._swarm.manifest.chunk_count
        incomplete = [
            name
            for name, member in members.items()
            if len(member.held) < chunk_count and not member.problem
        ]
        for agent in sorted(incomplete, key=self._local_downloads):
            yield from self._plan_agent(agent, now)

    def _plan_agent(self, agent: str, now: float) -> Iterator[PlannedFetch]:
        free_slots = LOCAL_WINDOW_CHUNKS - self._local_downloads(agent)
        if free_slots <= 0:
            return
        for chunk in self._rarest_first(self._swarm.obtainable_chunks(agent)):
            source = self._local_source(agent, chunk, now)
            if source is None:
                continue
            yield self._start_local(agent, chunk, source, now)
            free_slots -= 1
            if free_slots <= 0:
                return

    def _start_local(self, agent: str, chunk: int, source: str, now: float) -> PlannedFetch:
        holder = self._swarm.members[source]
        holder.uploads += 1
        length_bits = self._swarm.manifest.span(chunk).length_bytes * BITS_PER_BYTE
        until_seconds = now + TRANSFER_EXTRA_SECONDS + length_bits / LOCAL_BITS_PER_SECOND_MIN
        transfer = Transfer(SourceKind.peer, holder.address, until_seconds, is_cross_zone=False)
        self._swarm.start_transfer(agent, chunk, transfer)
        return PlannedFetch(agent, FetchItem(chunk, SourceKind.peer, holder.address))

    def _local_downloads(self, agent: str) -> int:
        return self._swarm.local_downloads[agent]

    def _rarest_first(self, chunks: Iterable[int]) -> list[int]:
        holders = self._swarm.holders
        ordered = sorted(chunks)
        self._rng.shuffle(ordered)
        ordered.sort(key=lambda chunk: len(holders[chunk]))
        return ordered

    def _local_source(self, agent: str, chunk: int, now: float) -> str | None:
        """Returns the holder with the fewest uploads, or None while all usable ones are busy.

        Holders that have uploaded ``UPLOAD_BUDGET_COPIES`` copies are used only if no
        other holder is left.
        """
        members = self._swarm.members
        holders = [
            name
            for name in self._swarm.holders.get(chunk, ())
            if name != agent and self._swarm.is_usable(members[name].address, now)
        ]
        budget = UPLOAD_BUDGET_COPIES * self._swarm.manifest.chunk_count
        within_budget = [name for name in holders if members[name].uploads < budget]
        candidates = [name for name in within_budget or holders if not self._is_busy(name)]
        return min(candidates, key=lambda name: (members[name].uploads, name), default=None)

    def _is_busy(self, name: str) -> bool:
        address = self._swarm.members[name].address
        return self._swarm.local_uploads[address] >= SOURCE_WINDOW_CHUNKS
