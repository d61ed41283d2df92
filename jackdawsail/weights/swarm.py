"""What a tracker knows of one release in its data centre (pure, soft state).

Everything here is rebuilt from chunk reports, so a new tracker starts empty.
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
SOURCE_REST_SECONDS = 1.0
SOURCE_FAILURES_MAX = 4
SOURCE_LOST_SECONDS = 30.0
HOLDERS_SHARED_MAX = 8
FLIGHT_EXTRA_SECONDS = 3.0


@dataclass(slots=True)
class Member:
    """One agent of the back end."""

    address: str
    held: set[int]
    seen_seconds: float
    stage: str = ''
    problem: str = ''
    origin_bytes: int = 0
    drawing: set[int] = field(default_factory=set)
    draws: int = 0
    uploads: int = 0


@dataclass(frozen=True, slots=True)
class Flight:
    """One transfer under way; ``is_cross`` when it enters the data centre."""

    source: SourceKind
    address: str
    until_seconds: float
    is_cross: bool


@dataclass(slots=True)
class SourceScore:
    """How a source has behaved; a corrupt one is not used again."""

    corrupt: int = 0
    failures: int = 0
    rests_until_seconds: float = 0
    lost_until_seconds: float = 0


@dataclass(slots=True)
class Swarm:
    """The agents, their chunks, the transfers under way and the sources' scores."""

    manifest: Manifest
    members: dict[str, Member] = field(default_factory=dict)
    flights: dict[tuple[str, int], Flight] = field(default_factory=dict)
    scores: dict[str, SourceScore] = field(default_factory=dict)
    remotes: dict[str, tuple[float, ZoneHave]] = field(default_factory=dict)
    holders: dict[int, set[str]] = field(default_factory=dict)
    uploading: Counter[str] = field(default_factory=Counter)
    fetching: Counter[str] = field(default_factory=Counter)
    crossing: set[int] = field(default_factory=set)
    present: set[int] = field(default_factory=set)

    def report(self, agent: str, report: ChunkReport, now: float) -> None:
        """Takes an agent's own account of its chunks, which replaces what was known."""
        member = self.members.get(agent)
        if member is None:
            member = Member(report.chunk_address, set(), now)
            self.members[agent] = member
        member.address = report.chunk_address
        member.seen_seconds = now
        member.stage = report.stage
        member.problem = report.problem
        member.origin_bytes = max(member.origin_bytes, report.origin_bytes)
        self._replace_held(agent, unpack_chunks(report.bitmap, self.manifest.chunk_count))
        self._adopt_flights(agent, report.in_flight, now)

    def hold(self, agent: str, chunk: int) -> None:
        """Notes that an agent has a verified chunk."""
        self.members[agent].held.add(chunk)
        self.holders.setdefault(chunk, set()).add(agent)
        self.present.add(chunk)

    def begin(self, agent: str, chunk: int, flight: Flight) -> None:
        """Notes a transfer that is ordered."""
        self.end(agent, chunk)
        self.flights[(agent, chunk)] = flight
        if agent in self.members:
            self.members[agent].drawing.add(chunk)
        if flight.is_cross:
            self.crossing.add(chunk)
        else:
            self.fetching[agent] += 1
            self.uploading[flight.address] += 1

    def end(self, agent: str, chunk: int) -> Flight | None:
        """Notes that a transfer is over; returns it when it was known."""
        flight = self.flights.pop((agent, chunk), None)
        if flight is None:
            return None
        if agent in self.members:
            self.members[agent].drawing.discard(chunk)
        if flight.is_cross:
            self.crossing.discard(chunk)
        else:
            self.fetching[agent] -= 1
            self.uploading[flight.address] -= 1
        return flight

    def remove(self, agent: str) -> list[tuple[int, Flight]]:
        """Forgets an agent that has left or gone silent; returns what it was drawing."""
        self._replace_held(agent, set())
        self.members.pop(agent, None)
        dropped = [(key[1], flight) for key, flight in self.flights.items() if key[0] == agent]
        for chunk, _flight in dropped:
            self.end(agent, chunk)
        return dropped

    def silent(self, now: float) -> list[str]:
        """Returns the agents that have not reported in time."""
        members = self.members.items()
        late = (name for name, each in members if now - each.seen_seconds > MEMBER_SILENCE_SECONDS)
        return list(late)

    def late(self, now: float) -> list[tuple[str, int]]:
        """Returns the transfers that have run out of time."""
        return [key for key, flight in self.flights.items() if flight.until_seconds <= now]

    def note_remote(self, have: ZoneHave, now: float) -> None:
        """Takes another data centre's account of its chunks."""
        self.remotes[have.zone] = (now, have)

    def remote_addresses(self, chunk: int, zone: str, now: float) -> list[str]:
        """Returns who holds a chunk in another data centre and may be asked now."""
        seen_seconds, have = self.remotes.get(zone, (float('-inf'), None))
        if have is None or now - seen_seconds > REMOTE_SILENCE_SECONDS:
            return []
        holders = (each for each in have.holders if _has(each, chunk))
        return [each.address for each in holders if self.is_usable(each.address, now)]

    def is_usable(self, address: str, now: float) -> bool:
        """Tells whether a source is neither given up nor resting."""
        score = self.scores.get(address)
        rests = score is not None and score.rests_until_seconds > now
        return not rests and not self.is_lost(address, now)

    def is_lost(self, address: str, now: float) -> bool:
        """Tells whether what a source holds is as good as absent."""
        score = self.scores.get(address)
        if score is None:
            return False
        return score.corrupt >= SOURCE_CORRUPT_MAX or score.lost_until_seconds > now

    def praise(self, address: str) -> None:
        """Forgets the failures of a source that has delivered."""
        if address in self.scores:
            self.scores[address].failures = 0

    def blame(self, address: str, now: float, *, corrupt: bool) -> None:
        """Lets a source rest after a fault; corrupt ones are given up after a few."""
        score = self.scores.setdefault(address, SourceScore())
        score.rests_until_seconds = now + SOURCE_REST_SECONDS
        score.corrupt += int(corrupt)
        score.failures += 1
        if score.failures >= SOURCE_FAILURES_MAX:
            score.failures = 0
            score.lost_until_seconds = now + SOURCE_LOST_SECONDS

    def lacks(self, agent: str, chunk: int) -> bool:
        """Tells whether an agent could draw a chunk now."""
        member = self.members[agent]
        return (
            not member.problem and chunk not in member.held and (agent, chunk) not in self.flights
        )

    def obtainable(self, agent: str) -> set[int]:
        """Returns the chunks held here that an agent neither has nor is drawing."""
        member = self.members[agent]
        return self.present.difference(member.held, member.drawing)

    def absent_chunks(self, now: float) -> list[int]:
        """Returns the chunks that no good holder has here and nobody draws from elsewhere."""
        absent = set(range(self.manifest.chunk_count)).difference(self.present)
        members = self.members.items()
        lost = {name for name, each in members if self.is_lost(each.address, now)}
        if lost:
            absent.update(chunk for chunk in self.present if self.holders[chunk] <= lost)
        return sorted(absent.difference(self.crossing))

    def share(self, zone: str) -> ZoneHave:
        """Makes the account that the other data centres get; fullest holders first."""
        fullest = sorted(self.members.values(), key=lambda member: -len(member.held))
        count = self.manifest.chunk_count
        holders = [
            ZoneHolder(member.address, _pack_unless_whole(member.held, count))
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
                self.present.discard(lost)
        for gained in held - member.held:
            self.holders.setdefault(gained, set()).add(agent)
        self.present.update(held)
        member.held = held

    def _adopt_flights(self, agent: str, in_flight: Iterable[int], now: float) -> None:
        """Honours transfers that a former tracker ordered: they count as drawn."""
        for chunk in in_flight:
            known = (agent, chunk) in self.flights
            if known or chunk in self.members[agent].held or chunk >= self.manifest.chunk_count:
                continue
            until_seconds = now + FLIGHT_EXTRA_SECONDS
            flight = Flight(SourceKind.origin, '', until_seconds, is_cross=True)
            self.begin(agent, chunk, flight)


def _pack_unless_whole(held: set[int], chunk_count: int) -> bytes:
    return b'' if len(held) == chunk_count else pack_chunks(held, chunk_count)


def _has(holder: ZoneHolder, chunk: int) -> bool:
    if not holder.bitmap:
        return True
    byte = chunk // 8
    return byte < len(holder.bitmap) and bool(holder.bitmap[byte] >> chunk % 8 & 1)
