"""Grants in-service leases to data centres and keeps what the leader knows about them.

All of it is soft state of the leader, timed by the leader's monotonic clock. A new
leader cannot know what its predecessor granted: until one lease length has passed it
regards no lease as lapsed and appoints no tracker.
"""

from dataclasses import dataclass, field
from hashlib import sha256

from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import (
    BackendSummary,
    DirectoryEntry,
    LeaseGrant,
    LeaseRequest,
)

FENCE_TERM_SHIFT = 40  # 2**40 grants per term last 20 years at 1,500 grants a second
TRACKER_SETTLE_SECONDS = 2.0  # until every agent has dialled a new tracker and sent a heartbeat


@dataclass(frozen=True, slots=True)
class ZoneRule:
    """What the replicated state holds about the data centre and the host of a request."""

    in_service: bool
    host_out: bool


@dataclass(slots=True)
class EntryView:
    """What the leader knows about one live entry."""

    identity: Identity
    last_request: LeaseRequest
    received_seconds: float
    leaving: bool

    def directory_entry(self) -> DirectoryEntry:
        """Returns the entry's row in the directory for callers and peers."""
        request = self.last_request
        return DirectoryEntry(
            self.identity.name,
            self.identity.zone,
            self.identity.region,
            request.caller_address,
            request.link_address,
            self.leaving,
        )


@dataclass(slots=True)
class _ZoneState:
    lapse_at_seconds: float
    tracker: str = ''
    tracker_since_seconds: float = 0
    tracker_until_seconds: float = 0
    backends: dict[str, BackendSummary] = field(default_factory=dict)
    summary_at_seconds: float | None = None


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What the leader knows about one data centre at one time.

    ``lapses_in_seconds`` is zero or less if no agent there can hold a live lease.
    ``summary_age_seconds`` is None if no tracker has reported to this leader.
    """

    name: str
    lapses_in_seconds: float
    tracker: str
    entries: list[EntryView]
    backends: dict[str, BackendSummary]
    summary_age_seconds: float | None

    @property
    def is_serving(self) -> bool:
        """Returns whether a tracker has reported a serving upstream."""
        has_report = self.summary_age_seconds is not None
        return has_report and any(summary.serving for summary in self.backends.values())


class ZoneLeases:
    """The leases that the leader grants; ``become_leader`` starts a term without any."""

    def __init__(self, lease_seconds: float) -> None:
        self.lease_seconds = lease_seconds
        self.entries: dict[str, EntryView] = {}
        self.directory_revision = 0
        self._zones: dict[str, _ZoneState] = {}
        self._last_number = 0
        self._settled_at_seconds: float = 0

    def become_leader(self, term: int, now_seconds: float) -> None:
        """Discards all state and starts to wait for the lapse of an earlier leader's grants."""
        self.entries.clear()
        self._zones.clear()
        # A leader that regains its lease within the same term must not reuse grant numbers.
        self._last_number = max(self._last_number, term << FENCE_TERM_SHIFT)
        self.directory_revision = max(self.directory_revision + 1, self._last_number)
        self._settled_at_seconds = now_seconds + self.lease_seconds

    def grant(
        self, request: LeaseRequest, entry: Identity, rule: ZoneRule, now_seconds: float
    ) -> LeaseGrant:
        """Returns the grant for a lease request; zero seconds if the zone is out of service."""
        self._record_request(request, entry, rule, now_seconds)
        zone = self._zone_state(entry.zone)
        is_tracker = self._choose_tracker(entry, zone, now_seconds)
        if is_tracker and now_seconds - zone.tracker_since_seconds >= TRACKER_SETTLE_SECONDS:
            zone.backends = request.backends
            zone.summary_at_seconds = now_seconds
        lease_seconds: float = 0
        if rule.in_service:
            lease_seconds = self.lease_seconds
            zone.lapse_at_seconds = now_seconds + self.lease_seconds
        self._last_number += 1
        return LeaseGrant(
            zone=entry.zone,
            sequence=request.sequence,
            lease_seconds=lease_seconds,
            number=self._last_number,
            is_tracker=is_tracker,
            directory_revision=self.directory_revision,
        )

    def drop_silent(self, now_seconds: float) -> None:
        """Drops the entries that have sent no request for longer than a lease."""
        silent_names = [
            name
            for name, view in self.entries.items()
            if now_seconds - view.received_seconds > self.lease_seconds
        ]
        for name in silent_names:
            self.entries.pop(name)
            self.directory_revision += 1

    def directory(self) -> list[DirectoryEntry]:
        """Returns the directory rows of all live entries, sorted by name."""
        return [self.entries[name].directory_entry() for name in sorted(self.entries)]

    def is_settled(self, now_seconds: float) -> bool:
        """Returns whether all grants of an earlier leader have lapsed."""
        return now_seconds >= self._settled_at_seconds

    def is_live(self, entry: str, incarnation: int) -> bool:
        """Returns whether the entry's last request is of this incarnation and was not dropped."""
        view = self.entries.get(entry)
        return view is not None and view.identity.incarnation == incarnation

    def view(self, zone_name: str, now_seconds: float) -> ZoneView:
        """Returns what is known about a data centre now."""
        zone = self._zone_state(zone_name)
        lapse_at_seconds = max(zone.lapse_at_seconds, self._settled_at_seconds)
        summary_at_seconds = zone.summary_at_seconds
        return ZoneView(
            name=zone_name,
            lapses_in_seconds=lapse_at_seconds - now_seconds,
            tracker=zone.tracker if zone.tracker_until_seconds > now_seconds else '',
            entries=[
                self.entries[name]
                for name in sorted(self.entries)
                if self.entries[name].identity.zone == zone_name
            ],
            backends=zone.backends,
            summary_age_seconds=(
                None if summary_at_seconds is None else now_seconds - summary_at_seconds
            ),
        )

    def _record_request(
        self, request: LeaseRequest, entry: Identity, rule: ZoneRule, now_seconds: float
    ) -> None:
        leaving = request.leaving or rule.host_out or not rule.in_service
        view = EntryView(entry, request, now_seconds, leaving)
        held = self.entries.get(entry.name)
        self.entries[entry.name] = view
        if held is None or held.directory_entry() != view.directory_entry():
            self.directory_revision += 1

    def _choose_tracker(self, entry: Identity, zone: _ZoneState, now_seconds: float) -> bool:
        # A tracker keeps its role while it sends requests. Another one is appointed only
        # after its last grant has lapsed, so that no two entries ever track one zone.
        if now_seconds < self._settled_at_seconds:
            return False
        must_yield = self.entries[entry.name].leaving and self._any_entry_stays(entry.zone)
        process = process_name(entry)
        if zone.tracker == process and not must_yield:
            zone.tracker_until_seconds = now_seconds + self.lease_seconds
            return True
        if zone.tracker_until_seconds > now_seconds or self._best_candidate(entry.zone) != process:
            return False
        zone.tracker = process
        zone.tracker_since_seconds = now_seconds
        zone.summary_at_seconds = None
        zone.tracker_until_seconds = now_seconds + self.lease_seconds
        return True

    def _any_entry_stays(self, zone_name: str) -> bool:
        zone_entries = [view for view in self.entries.values() if view.identity.zone == zone_name]
        return not all(view.leaving for view in zone_entries)

    def _best_candidate(self, zone_name: str) -> str:
        # Entries that stay are preferred to those that leave.
        ranked = [
            (view.leaving, rendezvous_rank(zone_name, view.identity.name), view.identity)
            for view in self.entries.values()
            if view.identity.zone == zone_name
        ]
        return process_name(min(ranked, key=lambda rank: rank[:2])[2])

    def _zone_state(self, name: str) -> _ZoneState:
        return self._zones.setdefault(name, _ZoneState(self._settled_at_seconds))


def process_name(entry: Identity) -> str:
    """Returns the name of one incarnation of an entry."""
    return f'{entry.name}#{entry.incarnation}'


def rendezvous_rank(zone_name: str, entry_name: str) -> bytes:
    """Returns the rendezvous hash of an entry for a zone; the lowest rank is preferred."""
    return sha256(f'{zone_name}/{entry_name}'.encode()).digest()
