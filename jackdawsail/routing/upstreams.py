"""State of each upstream as one entry knows it: registration, load report, own calls.

There is no I/O here: the entry's I/O layer passes events with their times. Placement and
limits read this state; no decisions are made here.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from jackdawsail.registry.registration import (
    SILENCE_HEARTBEATS,
    ReceivedRegistration,
    Registration,
    RegistrationTable,
)
from jackdawsail.routing.named_limits import LimitRecord
from jackdawsail.routing.rest import RestRecord
from jackdawsail.routing.sends import SendRecord
from jackdawsail.routing.sizes import SentSizes
from jackdawsail.wire.site_messages import EngineLoad

MEAN_WEIGHT = 0.2  # of the newest answer in the running mean
FAILURE_WEIGHT = 0.15  # of the newest call in the share of failures
FIRST_EVENT_WEIGHT = 0.3  # of the newest first event in the running mean
FIRST_EVENT_HALF_LIFE_SECONDS = 2.0  # a slow engine is used again after a few of these
FIRST_SUSPENSION_SECONDS = 0.5  # a restarting upstream serves again after about a second
MAX_SUSPENSION_SECONDS = 4.0
MAX_RESTS = 1024  # remembered incarnations, twice the engines of a large site
REPORT_VALID_SECONDS = 1.0  # ten times the longest interval between reports of an agent


@dataclass(slots=True)
class ReceivedLoad:
    """The load of an engine as its agent reported it, and when the report was received."""

    load: EngineLoad
    received_seconds: float


@dataclass(slots=True)
class Upstream:
    """One incarnation of an upstream as this entry sees it.

    ``calls`` is the number of this entry's calls that were sent there and have not ended,
    ``sends`` records its last sends, ``sent_sizes`` the sizes of those for models, and
    ``first_event_mean_seconds`` is the recent mean time to a first event. ``limit`` is the limit on its calls that it names, ``rest`` the time for
    which it wants none from this entry.
    """

    registration: Registration
    received_seconds: float
    region: str = ''
    last_report: ReceivedLoad | None = None
    calls: int = 0
    last_answer_seconds: float = 0
    cold_until_seconds: float = 0
    suspended_until_seconds: float = 0
    mean_answer_seconds: float = 0
    failure_share: float = 0
    suspensions: int = 0
    sends: SendRecord = field(default_factory=SendRecord)
    sent_sizes: SentSizes = field(default_factory=SentSizes)
    first_event_mean_seconds: float = 0
    first_event_recorded_seconds: float = 0
    limit: LimitRecord = field(default_factory=LimitRecord)
    rest: RestRecord = field(default_factory=RestRecord)

    @property
    def name(self) -> str:
        """Returns the id of the incarnation."""
        return self.registration.upstream

    @property
    def incarnation(self) -> str:
        """Returns a name that no other incarnation has, also if this one kept its id."""
        return f'{self.name}/{self.registration.born_milliseconds}'

    def load_at(self, now_seconds: float) -> EngineLoad | None:
        """Returns the load of the engine; None without a recent report."""
        if (
            self.last_report is None
            or now_seconds - self.last_report.received_seconds > REPORT_VALID_SECONDS
        ):
            return None
        return self.last_report.load

    def call_sent(self, now_seconds: float) -> None:
        """Counts a call that is sent now."""
        self.calls += 1
        self.sends.record(now_seconds)

    def active_calls(self, now_seconds: float, entries: int = 1) -> float:
        """Estimates the calls at an engine from its last report and the sends since then.

        Without a report all ``entries`` are assumed to send as much as this one.
        """
        load = self.load_at(now_seconds)
        if load is None or self.last_report is None:
            return self.calls * entries
        return (
            load.running + load.waiting + self.sends.count_since(self.last_report.received_seconds)
        )

    def call_answered(self, took_seconds: float, now_seconds: float, *, failed: bool) -> None:
        """Records a complete answer and whether it was a failure."""
        self.last_answer_seconds = now_seconds
        if failed:
            self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
            return
        self.failure_share -= FAILURE_WEIGHT * self.failure_share
        self.suspensions = 0
        self.rest.call_answered(now_seconds)
        previous_mean_seconds = self.mean_answer_seconds or took_seconds
        self.mean_answer_seconds = previous_mean_seconds + MEAN_WEIGHT * (
            took_seconds - previous_mean_seconds
        )

    def record_first_event(self, took_seconds: float, now_seconds: float) -> None:
        """Records how long the first event of a stream took."""
        previous_mean_seconds = self.first_event_mean_at(now_seconds) or took_seconds
        self.first_event_mean_seconds = previous_mean_seconds + FIRST_EVENT_WEIGHT * (
            took_seconds - previous_mean_seconds
        )
        self.first_event_recorded_seconds = now_seconds

    def first_event_mean_at(self, now_seconds: float) -> float:
        """Returns the mean time to a first event; it decays while none is recorded."""
        decay = 0.5 ** (
            (now_seconds - self.first_event_recorded_seconds) / FIRST_EVENT_HALF_LIFE_SECONDS
        )
        return self.first_event_mean_seconds * decay

    def call_failed(self, now_seconds: float) -> None:
        """Records a call without a complete answer and suspends the upstream for a while.

        The suspension doubles with each failure, up to MAX_SUSPENSION_SECONDS. An answer that
        is no failure resets it.
        """
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        suspension_seconds = FIRST_SUSPENSION_SECONDS * 2**self.suspensions
        self.suspensions += 1
        self.suspended_until_seconds = now_seconds + min(
            MAX_SUSPENSION_SECONDS, suspension_seconds
        )

    def end_suspension(self, now_seconds: float) -> None:
        """Ends the suspension of an upstream that had only been silent."""
        self.suspensions = 0
        self.suspended_until_seconds = min(self.suspended_until_seconds, now_seconds)

    def is_suspended(self, now_seconds: float) -> bool:
        """Returns whether the upstream is suspended after a failure."""
        return now_seconds < self.suspended_until_seconds

    def accepts_calls(self, now_seconds: float) -> bool:
        """Returns whether the upstream is neither leaving nor resting."""
        return not self.registration.leaving and not self.rest.is_resting(now_seconds)

    def is_cold(self, now_seconds: float) -> bool:
        """Returns whether the upstream has reported that it is still cold after its start."""
        return now_seconds < self.cold_until_seconds

    def is_switching(self, now_seconds: float) -> bool:
        """Returns whether the engine accepts no new calls because it will load other weights."""
        load = self.load_at(now_seconds)
        return load is not None and load.switching

    def version_of(self, model: str, now_seconds: float) -> int:
        """Returns the weight version of a model that the upstream serves, 0 for none.

        A recent load report has precedence over the registration, whatever the model.
        """
        load = self.load_at(now_seconds)
        if load is not None:
            return load.weight_version
        versions = [held.version for held in self.registration.models if held.model == model]
        return max(versions, default=0)


@dataclass(slots=True)
class UpstreamTable:
    """All registered upstreams, by id and by address."""

    heartbeat_seconds: float
    region_by_zone: dict[str, str] = field(default_factory=dict)
    _upstreams: dict[str, Upstream] = field(default_factory=dict)
    _by_address: dict[str, Upstream] = field(default_factory=dict)
    _rests: OrderedDict[str, RestRecord] = field(default_factory=OrderedDict)

    def refresh(self, registrations: RegistrationTable) -> None:
        """Applies all registrations; an address belongs to its youngest incarnation."""
        previous = self._upstreams
        self._upstreams = {}
        for received in registrations.all():
            self._upstreams[received.registration.upstream] = self._merge(previous, received)
        holders = registrations.holders()
        self._by_address = {
            address: self._upstreams[holder.upstream] for address, holder in holders.items()
        }

    def apply_load(self, load: EngineLoad, now_seconds: float) -> None:
        """Stores an agent's load report, unless a later one of the same incarnation is held."""
        upstream = self._by_address.get(load.engine_address)
        if upstream is None:
            return
        last_report = upstream.last_report
        same_incarnation = (
            last_report is not None and last_report.load.incarnation == load.incarnation
        )
        if (
            same_incarnation
            and last_report is not None
            and last_report.load.sequence >= load.sequence
        ):
            return
        upstream.last_report = ReceivedLoad(load, now_seconds)

    def usable(self, service: str, control_received_seconds: float) -> Iterator[Upstream]:
        """Yields the upstreams of a service that may get new calls.

        An upstream is silent if it has neither sent a heartbeat nor answered a call for
        SILENCE_HEARTBEATS intervals. Its silence is measured up to the last message from
        any control host, so that a lost connection to control does not count as silence.
        """
        silence_seconds = SILENCE_HEARTBEATS * self.heartbeat_seconds
        for upstream in self._by_address.values():
            registration = upstream.registration
            alive_seconds = max(upstream.received_seconds, upstream.last_answer_seconds)
            silent = control_received_seconds - alive_seconds > silence_seconds
            if registration.service == service and not registration.leaving and not silent:
                yield upstream

    def all(self) -> Iterator[Upstream]:
        """Yields all registered upstreams."""
        yield from self._upstreams.values()

    def get(self, name: str) -> Upstream | None:
        """Returns an upstream by its id."""
        return self._upstreams.get(name)

    def _rest_of(self, incarnation: str) -> RestRecord:
        """Returns the record of an incarnation, also if it was forgotten for a while."""
        rest = self._rests.setdefault(incarnation, RestRecord())
        self._rests.move_to_end(incarnation)
        if len(self._rests) > MAX_RESTS:
            self._rests.popitem(last=False)
        return rest

    def _merge(self, previous: dict[str, Upstream], received: ReceivedRegistration) -> Upstream:
        registration = received.registration
        upstream = previous.get(registration.upstream)
        if (
            upstream is None
            or upstream.registration.born_milliseconds != registration.born_milliseconds
        ):
            region = self.region_by_zone.get(registration.zone, '')
            # An incarnation under the id of its predecessor may receive calls sent to that one.
            sends = SendRecord() if upstream is None else upstream.sends
            upstream = Upstream(registration, received.received_seconds, region, sends=sends)
            upstream.rest = self._rest_of(upstream.incarnation)
        upstream.registration = registration
        upstream.received_seconds = received.received_seconds
        if registration.cold_seconds > 0:
            upstream.cold_until_seconds = received.received_seconds + registration.cold_seconds
        return upstream
