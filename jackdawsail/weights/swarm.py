"""The tracker's state of one release in its data centre (pure).

The state is soft: it is rebuilt from chunk reports, so a new tracker starts empty.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from jackdawsail.weights.bitmap import pack_chunks, unpack_chunks
from jackdawsail.weights.manifest import Manifest
from jackdawsail.wire.weight_messages import ChunkReport, SourceKind, ZoneHave, ZoneHolder

MEMBER_SILENCE_SECONDS = 4.0
REMOTE_SILENCE_SECONDS = 6.0
SOURCE_CORRUPT_MAX = 2
SOURCE_BACKOFF_SECONDS = 1.0
SOURCE_FAILURES_MAX = 4
SOURCE_EJECTED_SECONDS = 30.0
HOLDERS_SHARED_MAX = 8
TRANSFER_EXTRA_SECONDS = 3.0


@dataclass(slots=True)
class Member:
    """One agent of the back end, as its latest chunk report and the ordered transfers show it."""

    address: str
    held: set[int]
    reported_seconds: float
    stage: str = ''
    problem: str = ''
    origin_bytes: int = 0
    fetching_chunks: set[int] = field(default_factory=set)
    cross_zone_fetches: int = 0
    uploads: int = 0


@dataclass(frozen=True, slots=True)
class Transfer:
    """One transfer in progress; ``is_cross_zone`` if it enters the data centre from outside."""

    source: SourceKind
    address: str
    until_seconds: float
    is_cross_zone: bool


@dataclass(slots=True)
class SourceHealth:
    """The recent failures of a source, and until when it is not used.

    A source that sent wrong content ``SOURCE_CORRUPT_MAX`` times is not used again.
    """

    corrupt: int = 0
    failures: int = 0
    backoff_until_seconds: float = 0
    ejected_until_seconds: float = 0


@dataclass(slots=True)
class Swarm:
    """The agents, their chunks, the transfers in progress and the health of the sources."""

    manifest: Manifest
    members: dict[str, Member] = field(default_factory=dict)
    transfers: dict[tuple[str, int], Transfer] = field(default_factory=dict)
    source_health: dict[str, SourceHealth] = field(default_factory=dict)
    remotes: dict[str, tuple[float, ZoneHave]] = field(default_factory=dict)
    holders: dict[int, set[str]] = field(default_factory=dict)
    local_uploads: Counter[str] = field(default_factory=Counter)
    local_downloads: Counter[str] = field(default_factory=Counter)
    cross_zone_chunks: set[int] = field(default_factory=set)
    present_chunks: set[int] = field(default_factory=set)

    def record_report(self, agent: str, report: ChunkReport, now: float) -> None:
        """Records an agent's chunk report, which replaces the chunks known so far."""
        member = self.members.get(agent)
        if member is None:
            member = Member(report.chunk_address, set(), now)
            self.members[agent] = member
        member.address = report.chunk_address
        member.reported_seconds = now
        member.stage = report.stage
        member.problem = report.problem
        member.origin_bytes = max(member.origin_bytes, report.origin_bytes)
        self._replace_held(agent, unpack_chunks(report.bitmap, self.manifest.chunk_count))
        self._adopt_transfers(agent, report.in_flight, now)

    def record_held(self, agent: str, chunk: int) -> None:
        """Records that an agent holds a verified chunk."""
        self.members[agent].held.add(chunk)
        self.holders.setdefault(chunk, set()).add(agent)
        self.present_chunks.add(chunk)

    def start_transfer(self, agent: str, chunk: int, transfer: Transfer) -> None:
        """Records an ordered transfer, in place of an earlier one of the same chunk."""
        self.end_transfer(agent, chunk)
        self.transfers[(agent, chunk)] = transfer
        if agent in self.members:
            self.members[agent].fetching_chunks.add(chunk)
        if transfer.is_cross_zone:
            self.cross_zone_chunks.add(chunk)
        else:
            self.local_downloads[agent] += 1
            self.local_uploads[transfer.address] += 1

    def end_transfer(self, agent: str, chunk: int) -> Transfer | None:
        """Removes a transfer that has ended; returns it, or None if it was not known."""
        transfer = self.transfers.pop((agent, chunk), None)
        if transfer is None:
            return None
        if agent in self.members:
            self.members[agent].fetching_chunks.discard(chunk)
        if transfer.is_cross_zone:
            self.cross_zone_chunks.discard(chunk)
        else:
            self.local_downloads[agent] -= 1
            self.local_uploads[transfer.address] -= 1
        return transfer

    def remove_agent(self, agent: str) -> list[tuple[int, Transfer]]:
        """Removes an agent that has left or fallen silent; returns its transfers by chunk."""
        self._replace_held(agent, set())
        self.members.pop(agent, None)
        dropped = [
            (key[1], transfer) for key, transfer in self.transfers.items() if key[0] == agent
        ]
        for chunk, _transfer in dropped:
            self.end_transfer(agent, chunk)
        return dropped

    def silent_agents(self, now: float) -> list[str]:
        """Returns the agents without a report for more than ``MEMBER_SILENCE_SECONDS``."""
        members = self.members.items()
        silent = (
            name for name, each in members if now - each.reported_seconds > MEMBER_SILENCE_SECONDS
        )
        return list(silent)

    def overdue_transfers(self, now: float) -> list[tuple[str, int]]:
        """Returns the transfers past their time limit, as (agent, chunk)."""
        return [key for key, transfer in self.transfers.items() if transfer.until_seconds <= now]

    def record_remote(self, have: ZoneHave, now: float) -> None:
        """Records the chunks that another data centre reports."""
        self.remotes[have.zone] = (now, have)

    def remote_addresses(self, chunk: int, zone: str, now: float) -> list[str]:
        """Returns the addresses in another data centre that hold a chunk and are usable now.

        A data centre without a report for ``REMOTE_SILENCE_SECONDS`` counts as empty.
        """
        reported_seconds, have = self.remotes.get(zone, (float('-inf'), None))
        if have is None or now - reported_seconds > REMOTE_SILENCE_SECONDS:
            return []
        holders = (each for each in have.holders if _holds_chunk(each, chunk))
        return [each.address for each in holders if self.is_usable(each.address, now)]

    def is_usable(self, address: str, now: float) -> bool:
        """Returns whether a source is neither ejected nor in backoff."""
        health = self.source_health.get(address)
        backs_off = health is not None and health.backoff_until_seconds > now
        return not backs_off and not self.is_ejected(address, now)

    def is_ejected(self, address: str, now: float) -> bool:
        """Returns whether a source is ejected, so that its chunks count as absent."""
        health = self.source_health.get(address)
        if health is None:
            return False
        return health.corrupt >= SOURCE_CORRUPT_MAX or health.ejected_until_seconds > now

    def record_success(self, address: str) -> None:
        """Resets the count of failures of a source that has delivered a chunk."""
        if address in self.source_health:
            self.source_health[address].failures = 0

    def record_failure(self, address: str, now: float, *, corrupt: bool) -> None:
        """Puts a source into backoff after a failure, and ejects it after several.

        ``SOURCE_FAILURES_MAX`` failures in a row eject it for ``SOURCE_EJECTED_SECONDS``,
        ``SOURCE_CORRUPT_MAX`` corrupt chunks permanently.
        """
        health = self.source_health.setdefault(address, SourceHealth())
        health.backoff_until_seconds = now + SOURCE_BACKOFF_SECONDS
        health.corrupt += int(corrupt)
        health.failures += 1
        if health.failures >= SOURCE_FAILURES_MAX:
            health.failures = 0
            health.ejected_until_seconds = now + SOURCE_EJECTED_SECONDS

    def may_fetch(self, agent: str, chunk: int) -> bool:
        """Returns whether an agent lacks a chunk, is not fetching it and can store it."""
        member = self.members[agent]
        return (
            not member.problem
            and chunk not in member.held
            and (agent, chunk) not in self.transfers
        )

    def obtainable_chunks(self, agent: str) -> set[int]:
        """Returns the chunks held in this data centre that an agent neither has nor is fetching."""
        member = self.members[agent]
        return self.present_chunks.difference(member.held, member.fetching_chunks)

    def absent_chunks(self, now: float) -> list[int]:
        """Returns the chunks without a usable holder here and without a cross-zone transfer."""
        absent = set(range(self.manifest.chunk_count)).difference(self.present_chunks)
        members = self.members.items()
        ejected = {name for name, each in members if self.is_ejected(each.address, now)}
        if ejected:
            absent.update(chunk for chunk in self.present_chunks if self.holders[chunk] <= ejected)
        return sorted(absent.difference(self.cross_zone_chunks))

    def make_zone_have(self, zone: str) -> ZoneHave:
        """Builds the report for the other data centres; holders of most chunks come first."""
        fullest = sorted(self.members.values(), key=lambda member: -len(member.held))
        count = self.manifest.chunk_count
        holders = [
            ZoneHolder(member.address, _pack_unless_complete(member.held, count))
            for member in fullest[:HOLDERS_SHARED_MAX]
            if member.held
        ]
        return ZoneHave(zone, self.manifest.release, holders)

    def _replace_held(self, agent: str, held: set[int]) -> None:
        member = self.members.get(agent)
        if member is None or member.held == held:
            return
        for lost in member.held - held:
            self.holders[lost].discard(agent)
            if not self.holders[lost]:
                self.present_chunks.discard(lost)
        for gained in held - member.held:
            self.holders.setdefault(gained, set()).add(agent)
        self.present_chunks.update(held)
        member.held = held

    def _adopt_transfers(self, agent: str, in_flight: Iterable[int], now: float) -> None:
        """Adopts transfers that an earlier tracker ordered.

        They count as fetches from the origin, since their source is not known.
        """
        for chunk in in_flight:
            is_tracked = (agent, chunk) in self.transfers
            if (
                is_tracked
                or chunk in self.members[agent].held
                or chunk >= self.manifest.chunk_count
            ):
                continue
            until_seconds = now + TRANSFER_EXTRA_SECONDS
            transfer = Transfer(SourceKind.origin, '', until_seconds, is_cross_zone=True)
            self.start_transfer(agent, chunk, transfer)


def _pack_unless_complete(held: set[int], chunk_count: int) -> bytes:
    return b'' if len(held) == chunk_count else pack_chunks(held, chunk_count)


def _holds_chunk(holder: ZoneHolder, chunk: int) -> bool:
    if not holder.bitmap:
        return True
    byte = chunk // 8
    return byte < len(holder.bitmap) and bool(holder.bitmap[byte] >> chunk % 8 & 1)
