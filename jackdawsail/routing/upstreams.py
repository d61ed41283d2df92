"""What one entry knows of each upstream: registrations, reports, its own calls.

Pure: the entry's shell feeds it with the time of each event. Placement and
limits read it; nothing here decides.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsail.registry.registration import (
    SILENCE_BEATS,
    ReceivedRegistration,
    Registration,
    RegistrationTable,
)
from jackdawsail.wire.site_messages import EngineLoad

LATENCY_WEIGHT = 0.2  # of the newest answer in the running mean
FAILURE_WEIGHT = 0.15
FIRST_WEIGHT = 0.3
FIRST_FADE_SECONDS = 2.0  # a slow engine is tried again after a few of these
FIRST_SUSPENSION_SECONDS = 0.5  # an upstream that restarts is back after about a second
LONGEST_SUSPENSION_SECONDS = 4.0
REPORT_VALID_SECONDS = 1.0  # ten times the longest time between reports of an agent
SENDS_KEPT_SECONDS = 1.0  # the span of the bound on cold upstreams


@dataclass(slots=True)
class LoadSeen:
    """An engine's load as its agent last reported it."""

    load: EngineLoad
    received_seconds: float


@dataclass(slots=True)
class Upstream:
    """One incarnation of an upstream as this entry sees it.

    ``calls`` are this entry's own calls that are running there now,
    ``sent_seconds`` when the last calls were sent, and ``first_mean_seconds``
    how long first events have taken lately.
    """

    registration: Registration
    received_seconds: float
    region: str = ''
    seen: LoadSeen | None = None
    calls: int = 0
    answered_seconds: float = 0
    cold_until_seconds: float = 0
    suspended_until_seconds: float = 0
    mean_seconds: float = 0
    failure_share: float = 0
    suspensions: int = 0
    sent_seconds: deque[float] = field(default_factory=deque)
    first_mean_seconds: float = 0
    first_noted_seconds: float = 0

    @property
    def name(self) -> str:
        """Returns the id of the incarnation."""
        return self.registration.upstream

    def load_at(self, now_seconds: float) -> EngineLoad | None:
        """Returns the engine's load if a recent report tells it."""
        if self.seen is None or now_seconds - self.seen.received_seconds > REPORT_VALID_SECONDS:
            return None
        return self.seen.load

    def call_sent(self, now_seconds: float) -> None:
        """Notes that a call is sent."""
        self.calls += 1
        self.sent_seconds.append(now_seconds)
        self._forget_sends(now_seconds)

    def sends_since(self, since_seconds: float) -> int:
        """Counts the calls that were sent after a time, at most a second ago."""
        return sum(sent > since_seconds for sent in self.sent_seconds)

    def active_calls(self, now_seconds: float, entries: int = 1) -> float:
        """Estimates the calls at an engine: its last report and what was sent since.

        Without a report the other ``entries`` are taken to send as much as this one.
        """
        load = self.load_at(now_seconds)
        if load is None or self.seen is None:
            return self.calls * entries
        return load.running + load.waiting + self.sends_since(self.seen.received_seconds)

    def call_answered(self, took_seconds: float, now_seconds: float, *, failed: bool) -> None:
        """Notes a whole answer."""
        self.answered_seconds = now_seconds
        if failed:
            self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
            return
        self.failure_share -= FAILURE_WEIGHT * self.failure_share
        self.suspensions = 0
        before = self.mean_seconds or took_seconds
        self.mean_seconds = before + LATENCY_WEIGHT * (took_seconds - before)

    def first_event(self, took_seconds: float, now_seconds: float) -> None:
        """Notes how long the first event of a stream took."""
        before = self.first_mean_at(now_seconds) or took_seconds
        self.first_mean_seconds = before + FIRST_WEIGHT * (took_seconds - before)
        self.first_noted_seconds = now_seconds

    def first_mean_at(self, now_seconds: float) -> float:
        """Returns the recent time to a first event; it fades while none is noted."""
        faded = 0.5 ** ((now_seconds - self.first_noted_seconds) / FIRST_FADE_SECONDS)
        return self.first_mean_seconds * faded

    def call_failed(self, now_seconds: float) -> None:
        """Notes that a call has failed without a whole answer: it rests for a while."""
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        rest_seconds = FIRST_SUSPENSION_SECONDS * 2**self.suspensions
        self.suspensions += 1
        self.suspended_until_seconds = now_seconds + min(LONGEST_SUSPENSION_SECONDS, rest_seconds)

    def is_suspended(self, now_seconds: float) -> bool:
        """Tells whether it rests after a failure."""
        return now_seconds < self.suspended_until_seconds

    def is_cold(self, now_seconds: float) -> bool:
        """Tells whether it says that it has just started."""
        return now_seconds < self.cold_until_seconds

    def is_switching(self, now_seconds: float) -> bool:
        """Tells whether it takes nothing new because it will load other weights."""
        load = self.load_at(now_seconds)
        return load is not None and load.switching

    def version_of(self, model: str, now_seconds: float) -> int:
        """Returns the weight version that it serves, 0 for none."""
        load = self.load_at(now_seconds)
        if load is not None:
            return load.weight_version
        versions = [one.version for one in self.registration.models if one.model == model]
        return max(versions, default=0)

    def _forget_sends(self, now_seconds: float) -> None:
        while self.sent_seconds and now_seconds - self.sent_seconds[0] > SENDS_KEPT_SECONDS:
            self.sent_seconds.popleft()


@dataclass(slots=True)
class UpstreamTable:
    """Every upstream that has registered, by its id."""

    heartbeat_seconds: float
    region_by_zone: dict[str, str] = field(default_factory=dict)
    _upstreams: dict[str, Upstream] = field(default_factory=dict)
    _by_address: dict[str, Upstream] = field(default_factory=dict)

    def refresh(self, book: RegistrationTable) -> None:
        """Takes what the book holds; an address belongs to its youngest incarnation."""
        held = self._upstreams
        self._upstreams = {}
        for heard in book.all():
            self._upstreams[heard.registration.upstream] = self._merged(held, heard)
        holders = book.holders()
        self._by_address = {
            address: self._upstreams[one.upstream] for address, one in holders.items()
        }

    def apply_load(self, load: EngineLoad, now_seconds: float) -> None:
        """Takes a report of an agent, unless a later one of the same agent is held."""
        upstream = self._by_address.get(load.engine_address)
        if upstream is None:
            return
        seen = upstream.seen
        same = seen is not None and seen.load.incarnation == load.incarnation
        if same and seen is not None and seen.load.sequence >= load.sequence:
            return
        upstream.seen = LoadSeen(load, now_seconds)

    def usable(self, service: str, control_received_seconds: float) -> Iterator[Upstream]:
        """Yields the upstreams of a service that may get new calls.

        Silence counts only up to when any control was heard, and not against an
        upstream that has answered since.
        """
        silence_seconds = SILENCE_BEATS * self.heartbeat_seconds
        for upstream in self._by_address.values():
            one = upstream.registration
            alive_seconds = max(upstream.received_seconds, upstream.answered_seconds)
            silent = control_received_seconds - alive_seconds > silence_seconds
            if one.service == service and not one.leaving and not silent:
                yield upstream

    def get(self, name: str) -> Upstream | None:
        """Returns an upstream by its id."""
        return self._upstreams.get(name)

    def _merged(self, held: dict[str, Upstream], heard: ReceivedRegistration) -> Upstream:
        one = heard.registration
        upstream = held.get(one.upstream)
        if upstream is None or upstream.registration.born_milliseconds != one.born_milliseconds:
            region = self.region_by_zone.get(one.zone, '')
            upstream = Upstream(one, heard.received_seconds, region)
        upstream.registration = one
        upstream.received_seconds = heard.received_seconds
        if one.cold_seconds > 0:
            upstream.cold_until_seconds = heard.received_seconds + one.cold_seconds
        return upstream
