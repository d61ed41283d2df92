"""The entries and the leases of a region, as its relay knows them.

The relay grants entries only the remaining time of the leases that it holds, so no
process believes in a longer lease than the one that granted it.
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

MAX_ENTRY_SILENCE_SECONDS = 1.5
MAX_UNANSWERED_REQUESTS = 8

Process = tuple[str, int]


@dataclass(slots=True)
class _Entry:
    number: int
    identity: Identity
    request: LeaseRequest
    last_request_seconds: float
    is_known_to_leader: bool = False

    def is_same_report(self, request: LeaseRequest) -> bool:
        """Returns whether the leader needs no new full report of the entry."""
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
class _SentRequest:
    at_seconds: float
    fresh_numbers: list[int]


@dataclass(slots=True)
class RegionTable:
    """The entries that send lease requests to this relay, and the leases held for them."""

    directory_revision: int = 0
    # The number of the last grant applied.
    number: int = 0
    _entries: dict[Process, _Entry] = field(default_factory=dict)
    _leases: dict[str, _Lease] = field(default_factory=dict)
    _trackers: set[int] = field(default_factory=set)
    _sent_requests: dict[int, _SentRequest] = field(default_factory=dict)
    _sequence: int = 0
    _next_number: int = 1

    def grant_lease(
        self, entry: Identity, request: LeaseRequest, now_seconds: float
    ) -> LeaseGrant | None:
        """Returns a grant from the held lease of the entry's zone; None if none is valid."""
        known_entry = self._record_request(entry, request, now_seconds)
        lease = self._leases.get(entry.zone)
        if lease is None or lease.until_seconds <= now_seconds:
            return None
        return LeaseGrant(
            zone=entry.zone,
            sequence=request.sequence,
            lease_seconds=lease.until_seconds - now_seconds if lease.in_service else 0,
            number=self.number,
            is_tracker=known_entry.number in self._trackers,
            directory_revision=self.directory_revision,
        )

    def make_request(self, revision: int, now_seconds: float) -> RelayRequest:
        """Returns a request to the leader for all entries that have recently sent a request."""
        self._drop_silent_entries(now_seconds)
        self._sequence += 1
        entries = list(self._entries.values())
        fresh = [entry for entry in entries if not entry.is_known_to_leader]
        self._sent_requests[self._sequence] = _SentRequest(
            now_seconds, [entry.number for entry in fresh]
        )
        if len(self._sent_requests) > MAX_UNANSWERED_REQUESTS:
            self._sent_requests.pop(next(iter(self._sent_requests)))
        return RelayRequest(
            sequence=self._sequence,
            revision=revision,
            fresh=[RelayedEntry(new.number, new.identity, new.request) for new in fresh],
            alive=[entry.number for entry in entries],
            lagging=[_lagging_entry(entry) for entry in entries if _is_lagging(entry, revision)],
        )

    def apply_grant(self, grant: RelayGrant, lease_limit_seconds: float) -> None:
        """Applies a grant of the leader; drops it if it is older than the last one applied.

        Also drops a grant to a request that is no longer awaited, as after a change of leader.
        ``lease_limit_seconds`` is an upper bound for every lease, whatever the grant holds.
        """
        sent = self._sent_requests.pop(grant.sequence, None)
        if sent is None or grant.number < self.number:
            return
        self.number = grant.number
        self.directory_revision = grant.directory_revision
        self._trackers = set(grant.trackers)
        recorded_numbers = set(sent.fresh_numbers) - set(grant.unknown)
        for entry in self._entries.values():
            entry.is_known_to_leader = (
                entry.is_known_to_leader or entry.number in recorded_numbers
            ) and (entry.number not in grant.unknown)
        for lease in grant.zones:
            # A grant of "out of service" is valid as long as one of "in service" would be.
            valid_seconds = min(lease.lease_seconds or lease_limit_seconds, lease_limit_seconds)
            in_service = lease.lease_seconds > 0
            self._leases[lease.zone] = _Lease(in_service, sent.at_seconds + valid_seconds)

    def leader_changed(self) -> None:
        """Schedules full reports of all entries to the new leader; held leases stay valid."""
        self._sent_requests.clear()
        for entry in self._entries.values():
            entry.is_known_to_leader = False

    def _record_request(
        self, identity: Identity, request: LeaseRequest, now_seconds: float
    ) -> _Entry:
        process = (identity.name, identity.incarnation)
        known_entry = self._entries.get(process)
        if known_entry is None:
            known_entry = _Entry(self._next_number, identity, request, now_seconds)
            self._next_number += 1
            self._entries[process] = known_entry
        known_entry.is_known_to_leader = (
            known_entry.is_known_to_leader and known_entry.is_same_report(request)
        )
        known_entry.request = request
        known_entry.last_request_seconds = now_seconds
        return known_entry

    def _drop_silent_entries(self, now_seconds: float) -> None:
        self._entries = {
            process: entry
            for process, entry in self._entries.items()
            if now_seconds - entry.last_request_seconds <= MAX_ENTRY_SILENCE_SECONDS
        }


def _is_lagging(entry: _Entry, revision: int) -> bool:
    return entry.request.in_force_revision != revision or entry.request.lacking_agents > 0


def _lagging_entry(entry: _Entry) -> LaggingEntry:
    request = entry.request
    return LaggingEntry(entry.number, request.in_force_revision, request.lacking_agents)
