"""What a relay knows of the entries and leases of its region.

The relay passes on what is left of the leases that it holds, so each link of the
chain believes in a shorter lease than the one before it.
"""

from dataclasses import dataclass, field

from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import LeaseGrant, LeaseRequest
from jackdawsail.wire.relay_messages import (
    LaggingEntry,
    RelayedEntry,
    RelayGrant,
    RelayRequest,
)

ENTRY_SILENT_SECONDS = 1.5
MAX_UNANSWERED = 8

Process = tuple[str, int]


@dataclass(slots=True)
class _Entry:
    number: int
    identity: Identity
    request: LeaseRequest
    asked_at_seconds: float
    is_known: bool = False

    def says_the_same(self, request: LeaseRequest) -> bool:
        """Tells whether nothing changed that the leader must hear in full."""
        held = self.request
        return (held.caller_address, held.link_address, held.leaving, held.backends) == (
            request.caller_address,
            request.link_address,
            request.leaving,
            request.backends,
        )


@dataclass(frozen=True, slots=True)
class _Lease:
    in_service: bool
    until_seconds: float


@dataclass(slots=True)
class _Sent:
    at_seconds: float
    fresh: list[int]


@dataclass(slots=True)
class RegionBook:
    """The entries that ask here, and the leases held for them."""

    directory_revision: int = 0
    number: int = 0
    _entries: dict[Process, _Entry] = field(default_factory=dict)
    _leases: dict[str, _Lease] = field(default_factory=dict)
    _trackers: set[int] = field(default_factory=set)
    _sent: dict[int, _Sent] = field(default_factory=dict)
    _sequence: int = 0
    _next_number: int = 1

    def ask(self, entry: Identity, request: LeaseRequest, now_seconds: float) -> LeaseGrant | None:
        """Answers an entry from the held lease of its zone; None when there is none."""
        held = self._see(entry, request, now_seconds)
        lease = self._leases.get(entry.zone)
        if lease is None or lease.until_seconds <= now_seconds:
            return None
        return LeaseGrant(
            zone=entry.zone,
            sequence=request.sequence,
            lease_seconds=lease.until_seconds - now_seconds if lease.in_service else 0,
            number=self.number,
            is_tracker=held.number in self._trackers,
            directory_revision=self.directory_revision,
        )

    def make_request(self, revision: int, now_seconds: float) -> RelayRequest:
        """Sums up the entries that have asked lately."""
        self._drop_silent(now_seconds)
        self._sequence += 1
        entries = list(self._entries.values())
        fresh = [entry for entry in entries if not entry.is_known]
        self._sent[self._sequence] = _Sent(now_seconds, [entry.number for entry in fresh])
        if len(self._sent) > MAX_UNANSWERED:
            self._sent.pop(next(iter(self._sent)))
        return RelayRequest(
            sequence=self._sequence,
            revision=revision,
            fresh=[RelayedEntry(found.number, found.identity, found.request) for found in fresh],
            alive=[entry.number for entry in entries],
            lagging=[_lag(entry) for entry in entries if _lags(entry, revision)],
        )

    def take(self, grant: RelayGrant, lease_limit_seconds: float) -> None:
        """Takes the leader's answer; an answer to an older leader's request is dropped.

        ``lease_limit_seconds`` bounds what a lease may be, whatever the answer says.
        """
        sent = self._sent.pop(grant.sequence, None)
        if sent is None or grant.number < self.number:
            return
        self.number = grant.number
        self.directory_revision = grant.directory_revision
        self._trackers = set(grant.trackers)
        known = set(sent.fresh) - set(grant.unknown)
        for entry in self._entries.values():
            entry.is_known = (entry.is_known or entry.number in known) and (
                entry.number not in grant.unknown
            )
        for lease in grant.zones:
            # An answer of "out of service" holds as long as one of "in service" would.
            seconds = min(lease.lease_seconds or lease_limit_seconds, lease_limit_seconds)
            in_service = lease.lease_seconds > 0
            self._leases[lease.zone] = _Lease(in_service, sent.at_seconds + seconds)

    def leader_changed(self) -> None:
        """Tells the new leader of every entry anew; held leases run on."""
        self._sent.clear()
        for entry in self._entries.values():
            entry.is_known = False

    def _see(self, identity: Identity, request: LeaseRequest, now_seconds: float) -> _Entry:
        process = (identity.name, identity.incarnation)
        held = self._entries.get(process)
        if held is None:
            held = _Entry(self._next_number, identity, request, now_seconds)
            self._next_number += 1
            self._entries[process] = held
        held.is_known = held.is_known and held.says_the_same(request)
        held.request = request
        held.asked_at_seconds = now_seconds
        return held

    def _drop_silent(self, now_seconds: float) -> None:
        self._entries = {
            process: entry
            for process, entry in self._entries.items()
            if now_seconds - entry.asked_at_seconds <= ENTRY_SILENT_SECONDS
        }


def _lags(entry: _Entry, revision: int) -> bool:
    return entry.request.in_force_revision != revision or entry.request.lacking_agents > 0


def _lag(entry: _Entry) -> LaggingEntry:
    request = entry.request
    return LaggingEntry(entry.number, request.in_force_revision, request.lacking_agents)
