"""Simulates one day of a deployment under a policy, with one seed."""

import math
import random
from dataclasses import dataclass, field

from bench.emulator.callers import CallerRequest, EmulatedCallers
from bench.emulator.deployment import Deployment, RequestKind, ScheduledChange, Zone
from bench.emulator.engine import EmulatedEngine, EmulatedService
from bench.emulator.entry import (
    ENGINES,
    MODEL,
    SERVICES,
    EmulatedEntry,
    Host,
    make_entry,
    registration_of,
)
from bench.emulator.policies import Policy
from bench.emulator.simulation import Simulation
from jackdawsail.proxy.datagrams import SEND_INTERVAL_SECONDS
from jackdawsail.proxy.watch import WATCH_INTERVAL_SECONDS
from jackdawsail.routing.named_limits import NamedLimit
from jackdawsail.routing.rest import RequestedRest
from jackdawsail.site.document import (
    CallKind,
    EngineClass,
    Route,
    Service,
    Share,
    SiteDocument,
)
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging.drain import DRAIN_SECONDS
from jackdawsail.staging.waves import may_change_over
from jackdawsail.wire.site_messages import (
    EngineLoad,
    MemberHost,
    NamedLimitsReported,
    SiteSummary,
)

HEARTBEAT_SECONDS = 1.2
CHANGEOVER_POLL_SECONDS = 0.1  # the interval at which an agent polls its engine


@dataclass(slots=True, eq=False)
class DaySimulation:
    """Owns the emulated processes, and lists every request in ``requests``."""

    deployment: Deployment
    policy: Policy
    seed: int
    simulation: Simulation = field(default_factory=Simulation)
    engines: list[EmulatedEngine] = field(default_factory=list)
    services: list[EmulatedService] = field(default_factory=list)
    entries: list[EmulatedEntry] = field(default_factory=list)
    views: list[SiteView] = field(default_factory=list)
    requests: list[CallerRequest] = field(default_factory=list)
    _hosts: dict[str, Host] = field(default_factory=dict)
    _report_count: int = 0
    _heartbeat_count: int = 0

    def run(self) -> list[CallerRequest]:
        """Simulates the day; returns every request that was first sent after the warm-up."""
        for zone in self.deployment.zones:
            for _ in range(zone.engines):
                self._add_engine(zone, version=1)
            for _ in range(zone.services):
                self._add_service(zone)
        self._make_entries()
        self._send_heartbeats()
        self._send_reports()
        self._share_reports()
        self._check_streams()
        for number, zone in enumerate(self.deployment.zones):
            zone_entries = [entry for entry in self.entries if entry.zone is zone]
            rng = random.Random(f'{self.seed}/{number}')
            routes = {kind.name: _route(kind) for kind in self.deployment.kinds}
            EmulatedCallers(
                self.simulation, self.deployment, zone, zone_entries, routes, rng, self.requests
            ).start()
        for change in self.deployment.changes:
            self.simulation.call_later(change.at_seconds, self._apply_change, change)
        self.simulation.run(self.deployment.length_seconds)
        # Gives requests sent near the end of the day 8 s to finish.
        self.simulation.run(self.deployment.length_seconds + 8)
        start, end = self.deployment.warm_up_seconds, self.deployment.length_seconds
        return [request for request in self.requests if start <= request.start_seconds < end]

    def _make_entries(self) -> None:
        regions = {zone.name: zone.region for zone in self.deployment.zones}
        members = [
            MemberHost(f'10.{zone_number}.0.{number}', zone.name, regions[zone.name])
            for zone_number, zone in enumerate(self.deployment.zones)
            for number in range(zone.entries)
        ]
        document = _document(self.deployment)
        for member in members:
            view = SiteView()
            view.apply_document(document)
            view.apply_sharing_entries(SiteSummary(1, 0, [], [], members))
            self.views.append(view)
            self.entries.append(self._make_entry(len(self.entries), member, view))

    def _make_entry(
        self, number: int, member: MemberHost, view: SiteView, started_seconds: float = -math.inf
    ) -> EmulatedEntry:
        return make_entry(
            self.simulation,
            self.deployment,
            next(zone for zone in self.deployment.zones if zone.name == member.zone),
            member.address,
            view,
            self.policy,
            self._hosts,
            self.seed * 1000 + number,
            started_seconds,
        )

    def _add_engine(self, zone: Zone, version: int) -> EmulatedEngine:
        name = f'i-{len(self._hosts)}'
        engine = EmulatedEngine(
            self.simulation, self.deployment.engine, name, zone.name, zone.region, version
        )
        if self.simulation.seconds() > 0:
            cold_seconds = self.deployment.engine.cold_seconds
            engine.cold_until_seconds = self.simulation.seconds() + cold_seconds
        self.engines.append(engine)
        self._hosts[name] = engine
        if self.deployment.engine.slow_share:
            self._end_slow_spell(engine, random.Random(f'{self.seed}/{name}'))
        return engine

    def _end_slow_spell(self, engine: EmulatedEngine, rng: random.Random) -> None:
        """Returns an engine to its usual pace until its next slow spell."""
        model = self.deployment.engine
        engine.pace = 1.0
        mean_seconds = model.slow_seconds * (1 - model.slow_share) / model.slow_share
        usual_seconds = rng.expovariate(1 / mean_seconds)
        self.simulation.call_later(usual_seconds, self._start_slow_spell, engine, rng)

    def _start_slow_spell(self, engine: EmulatedEngine, rng: random.Random) -> None:
        engine.pace = self.deployment.engine.slow_factor
        slow_seconds = self.deployment.engine.slow_seconds
        self.simulation.call_later(slow_seconds, self._end_slow_spell, engine, rng)

    def _add_service(self, zone: Zone) -> None:
        model = self.deployment.service
        name = f's-{len(self._hosts)}'
        service = EmulatedService(
            self.simulation, name, zone.name, zone.region, model.places, model.queue
        )
        self.services.append(service)
        self._hosts[name] = service

    def _send_heartbeats(self) -> None:
        """Registers every live upstream with every entry, as heartbeats do.

        Runs four times in ``HEARTBEAT_SECONDS``.
        """
        self._heartbeat_count += 1
        now_seconds = self.simulation.seconds()
        live_hosts: list[tuple[Host, str]] = [
            (each, ENGINES) for each in self.engines if each.alive
        ]
        live_hosts.extend((each, SERVICES) for each in self.services)
        live_names = {host.name for host, _service in live_hosts}
        registrations = [
            registration_of(host, service, self.deployment, self._heartbeat_count)
            for host, service in live_hosts
            if not (isinstance(host, EmulatedEngine) and host.is_silent)
        ]
        for entry, view in zip(self.entries, self.views, strict=True):
            view.control_received_seconds = now_seconds
            for received in view.registrations.all():
                if received.registration.upstream not in live_names:
                    view.registrations.mark_gone(received.registration.upstream, now_seconds)
            for registration in registrations:
                view.registrations.update(registration, now_seconds)
            entry.context.upstreams.refresh(view.registrations)
        self.simulation.call_later(HEARTBEAT_SECONDS / 4, self._send_heartbeats)

    def _send_reports(self) -> None:
        """Sends the load of every live engine to the entries of its region.

        Every ``far_every``-th report goes to the entries of all regions.
        """
        self._report_count += 1
        sends_far = self._report_count % self.policy.far_every == 0
        for engine in self.engines:
            if not engine.alive or engine.is_silent:
                continue
            load = EngineLoad(
                engine_address=f'{engine.name}:1',
                incarnation=1,
                sequence=self._report_count,
                weight_version=engine.version,
                switching=engine.is_draining or bool(engine.switching_to),
                waiting=len(engine.waiting),
                running=engine.running,
                memory_share=0,
                pace=engine.pace,
            )
            for entry in self.entries:
                if sends_far or entry.zone.region == engine.region:
                    delay_seconds = self.deployment.delay_seconds(engine.region, entry.zone.region)
                    self.simulation.call_later(delay_seconds, entry.apply_load, load)
        self.simulation.call_later(self.policy.report_seconds, self._send_reports)

    def _share_reports(self) -> None:
        """Sends what entries tell each other: refusals, named limits and demand by urgency."""
        now_seconds = self.simulation.seconds()
        for entry in self.entries:
            limits = entry.context.limits.take_pending()
            fingerprints = entry.context.refused_calls.take_unsent()
            demands = entry.context.ranks.take_reports()
            others = [] if entry.is_cut_off else self.entries
            for other in others:
                for fingerprint in fingerprints:
                    other.context.refused_calls.record(fingerprint, now_seconds)
                if other.is_cut_off:
                    continue
                for demand in demands:
                    other.context.ranks.receive(demand)
                if limits:
                    other.context.limits.receive(NamedLimitsReported(limits))
        self.simulation.call_later(SEND_INTERVAL_SECONDS, self._share_reports)

    def _check_streams(self) -> None:
        """Makes every entry check its streams."""
        for entry in self.entries:
            entry.check_streams()
        self.simulation.call_later(WATCH_INTERVAL_SECONDS, self._check_streams)

    def _apply_change(self, change: ScheduledChange) -> None:
        apply = {
            'engines': self._change_engine_count,
            'weights': self._announce_weights,
            'limit': self._change_limit,
            'no-limit': self._change_limit,
            'rest': self._close_engines,
            'leave': self._close_engines,
            'restart': self._disturb_entries,
            'cut': self._disturb_entries,
            'silence': self._silence_engines,
        }
        apply.get(change.kind, self._change_service_state)(change)

    def _change_service_state(self, change: ScheduledChange) -> None:
        """Takes a data centre out of service, or back into it."""
        for view in self.views:
            emptied = {change.zone} if change.kind == 'empty' else set()
            view.emptied_zones = frozenset(emptied)

    def _change_engine_count(self, change: ScheduledChange) -> None:
        zone = next(each for each in self.deployment.zones if each.name == change.zone)
        if change.count < 0:
            zone_engines = [each for each in self.engines if each.alive and each.zone == zone.name]
            for engine in zone_engines[change.count :]:
                engine.crash()
            return
        for _ in range(change.count):
            added_engine = self._add_engine(zone, version=0)
            self.simulation.call_later(
                self.deployment.engine.stage_seconds, added_engine.start_changeover, 1
            )

    def _change_limit(self, change: ScheduledChange) -> None:
        limit = NamedLimit(change.calls_per_second) if change.kind == 'limit' else None
        zone_engines = [each for each in self.engines if each.zone == change.zone]
        for engine in zone_engines[: change.count]:
            engine.limit = limit

    def _close_engines(self, change: ScheduledChange) -> None:
        """Lets engines turn calls away and ask for rest, or say that they are leaving."""
        zone_engines = [each for each in self.engines if each.zone == change.zone]
        for engine in zone_engines[: change.count]:
            if change.kind == 'leave':
                engine.leaving = True
            else:
                is_closed = change.rest_seconds >= 0
                engine.rest = RequestedRest(change.rest_seconds) if is_closed else None

    def _silence_engines(self, change: ScheduledChange) -> None:
        live = [each for each in self.engines if each.alive and each.zone == change.zone]
        for engine in live[: change.count]:
            engine.fall_silent(change.for_seconds, reads_first=change.reads_first)

    def _disturb_entries(self, change: ScheduledChange) -> None:
        """Restarts entries, or separates them from the others; callers keep using them."""
        zone_entries = [each for each in self.entries if each.zone.name == change.zone]
        for entry in zone_entries[: change.count]:
            if change.kind == 'cut':
                entry.is_cut_off = True
                continue
            number = self.entries.index(entry)
            members = entry.context.view.sharing_entries
            member = next(
                each for each in members if each.address == entry.context.settings.address
            )
            started = self._make_entry(
                number, member, self.views[number], self.simulation.seconds()
            )
            entry.context = started.context

    def _announce_weights(self, change: ScheduledChange) -> None:
        version = change.count
        announced_seconds = self.simulation.seconds()
        for view in self.views:
            target = WeightTarget(version, announced_seconds)
            view.weights = {MODEL: (*view.weights.get(MODEL, ()), target)}
        drain_seconds = self.deployment.engine.stage_seconds - DRAIN_SECONDS
        for engine in self.engines:
            self.simulation.call_later(
                drain_seconds, self._try_changeover, engine, version, announced_seconds
            )

    def _try_changeover(
        self, engine: EmulatedEngine, version: int, announced_seconds: float
    ) -> None:
        if not engine.alive:
            return
        agents = [each.name for each in self.engines if each.alive]
        age_seconds = self.simulation.seconds() - announced_seconds
        within_seconds = self.deployment.weights_seconds
        if not may_change_over(engine.name, agents, age_seconds, within_seconds):
            retry = (self._try_changeover, engine, version, announced_seconds)
            self.simulation.call_later(CHANGEOVER_POLL_SECONDS, *retry)
            return
        engine.is_draining = True
        staged_seconds = self.deployment.engine.stage_seconds - age_seconds
        self.simulation.call_later(max(0, staged_seconds), engine.start_changeover, version)


def _route(kind: RequestKind) -> Route:
    return Route(
        name=kind.name,
        host='h',
        path_prefix=f'/{kind.name}/',
        kind=CallKind.stream if kind.prompt_tokens else CallKind.idempotent,
        time_limit_seconds=kind.patience_ms / 1000,
        target_seconds=kind.target_ms / 1000,
        urgency_rank=kind.rank,
        shares=(Share(ENGINES if kind.prompt_tokens else SERVICES, 1),),
        max_upstreams=2,
        resumable=bool(kind.prompt_tokens),
        longest_pause_seconds=kind.longest_pause_ms / 1000,
    )


def _document(deployment: Deployment) -> SiteDocument:
    model = deployment.engine
    streams = [kind for kind in deployment.kinds if kind.prompt_tokens]
    rate = sum(kind.per_second for kind in streams)
    prompt = sum(kind.prompt_tokens * kind.per_second for kind in streams) / rate
    events = sum(kind.events * kind.per_second for kind in streams) / rate
    engine = EngineClass(
        slots=model.places,
        memory_tokens=10**9,
        step_seconds=model.step_ms / 1000,
        step_per_request_seconds=model.step_per_stream_ms / 1000,
        prompt_tokens_per_second=model.prompt_tokens_per_ms * 1000,
        steps_per_pass=model.steps_per_pass,
        usual_prompt_tokens=prompt,
        usual_answer_tokens=events * model.steps_per_pass,
        layers=1,
        layer_megabytes=1,
        memory_megabytes=1,
        chunks=1,
        chunk_bytes=1,
        models=(MODEL,),
    )
    services = (
        Service(
            ENGINES,
            cold_requests_per_second=model.cold_per_second,
            engine=engine,
        ),
        Service(SERVICES),
    )
    routes = tuple(_route(kind) for kind in deployment.kinds)
    return SiteDocument(version=1, routes=routes, services=services, customers=())
