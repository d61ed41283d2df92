"""Plays one day of a deployment under a policy, from one seed."""

import random
from dataclasses import dataclass, field

from bench.emulator.callers import Asked, Callers
from bench.emulator.deployment import Change, Deployment, Kind, Zone
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
from jackdawsail.proxy.datagrams import REFUSALS_INTERVAL_SECONDS
from jackdawsail.proxy.watch import WATCH_INTERVAL_SECONDS
from jackdawsail.registry.registration import RegistrationTable
from jackdawsail.site.document import (
    CallKind,
    EngineClass,
    Route,
    Service,
    Share,
    SiteDocument,
)
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging.waves import may_change_over
from jackdawsail.wire.site_messages import EngineLoad, MemberHost, Members

HEARTBEAT_SECONDS = 1.2
CHANGEOVER_LOOK_SECONDS = 0.1  # as often as an agent looks at its engine


@dataclass(slots=True, eq=False)
class DaySimulation:
    """Owns all that is emulated, and lists every request in ``asked``."""

    deployment: Deployment
    policy: Policy
    seed: int
    simulation: Simulation = field(default_factory=Simulation)
    engines: list[EmulatedEngine] = field(default_factory=list)
    services: list[EmulatedService] = field(default_factory=list)
    entries: list[EmulatedEntry] = field(default_factory=list)
    views: list[SiteView] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    _hosts: dict[str, Host] = field(default_factory=dict)
    _reports: int = 0
    _beats: int = 0

    def run(self) -> list[Asked]:
        """Plays the day and returns every request that was asked after the warm-up."""
        for zone in self.deployment.zones:
            for _ in range(zone.engines):
                self._add_engine(zone, version=1)
            for _ in range(zone.services):
                self._add_service(zone)
        self._make_entries()
        self._beat()
        self._report()
        self._tell_refused()
        self._look()
        for number, zone in enumerate(self.deployment.zones):
            near = [entry for entry in self.entries if entry.zone is zone]
            rng = random.Random(f'{self.seed}/{number}')
            routes = {kind.name: _route(kind) for kind in self.deployment.kinds}
            Callers(self.simulation, self.deployment, zone, near, routes, rng, self.asked).start()
        for change in self.deployment.changes:
            self.simulation.after(change.at_seconds, self._change, change)
        self.simulation.run(self.deployment.length_seconds)
        self.simulation.run(self.deployment.length_seconds + 8)
        start, end = self.deployment.warm_up_seconds, self.deployment.length_seconds
        return [one for one in self.asked if start <= one.asked_seconds < end]

    def _make_entries(self) -> None:
        regions = {zone.name: zone.region for zone in self.deployment.zones}
        members = [
            MemberHost(f'10.{place}.0.{number}', zone.name, regions[zone.name])
            for place, zone in enumerate(self.deployment.zones)
            for number in range(zone.entries)
        ]
        document = _document(self.deployment)
        for number, member in enumerate(members):
            zone = next(one for one in self.deployment.zones if one.name == member.zone)
            view = SiteView()
            view.apply_document(document)
            view.apply_members('c', Members(['c'], members, []))
            self.views.append(view)
            seed = self.seed * 1000 + number
            made = make_entry(
                self.simulation, self.deployment, zone, view, self.policy, self._hosts, seed
            )
            self.entries.append(made)

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
        return engine

    def _add_service(self, zone: Zone) -> None:
        model = self.deployment.service
        name = f's-{len(self._hosts)}'
        made = EmulatedService(
            self.simulation, name, zone.name, zone.region, model.places, model.queue
        )
        self.services.append(made)
        self._hosts[name] = made

    def _beat(self) -> None:
        """Lets every upstream register with every entry."""
        self._beats += 1
        now_seconds = self.simulation.seconds()
        book = RegistrationTable()
        alive: list[tuple[Host, str]] = [(one, ENGINES) for one in self.engines if one.alive]
        alive.extend((one, SERVICES) for one in self.services)
        for host, service in alive:
            book.update(registration_of(host, service, self.deployment, self._beats), now_seconds)
        for entry, view in zip(self.entries, self.views, strict=True):
            view.control_received_seconds = now_seconds
            entry.parts.upstreams.refresh(book)
        self.simulation.after(HEARTBEAT_SECONDS / 4, self._beat)

    def _report(self) -> None:
        """Lets every agent send its engine's state to the entries."""
        self._reports += 1
        far = self._reports % self.policy.far_every == 0
        for engine in self.engines:
            if not engine.alive:
                continue
            load = EngineLoad(
                engine_address=f'{engine.name}:1',
                incarnation=1,
                sequence=self._reports,
                weight_version=engine.version,
                switching=bool(engine.switching_to),
                waiting=len(engine.waiting),
                running=engine.running,
                memory_share=0,
                pace=engine.pace,
            )
            for entry in self.entries:
                if far or entry.zone.region == engine.region:
                    delay = self.deployment.delay_seconds(engine.region, entry.zone.region)
                    self.simulation.after(delay, entry.take_load, load)
        self.simulation.after(self.policy.report_seconds, self._report)

    def _tell_refused(self) -> None:
        """Lets every entry tell the others of its refusals."""
        now_seconds = self.simulation.seconds()
        for entry in self.entries:
            for fingerprint in entry.parts.refused_calls.take_unsent():
                for other in self.entries:
                    other.parts.refused_calls.record(fingerprint, now_seconds)
        self.simulation.after(REFUSALS_INTERVAL_SECONDS, self._tell_refused)

    def _look(self) -> None:
        """Lets every entry look after its streams."""
        for entry in self.entries:
            entry.look()
        self.simulation.after(WATCH_INTERVAL_SECONDS, self._look)

    def _change(self, change: Change) -> None:
        if change.kind == 'engines':
            self._change_engines(change)
        elif change.kind == 'weights':
            self._name_weights(change.count)
        else:
            for view in self.views:
                emptied = {change.zone} if change.kind == 'empty' else set()
                view.emptied_zones = frozenset(emptied)

    def _change_engines(self, change: Change) -> None:
        zone = next(one for one in self.deployment.zones if one.name == change.zone)
        if change.count < 0:
            there = [one for one in self.engines if one.alive and one.zone == zone.name]
            for lost in there[change.count :]:
                lost.die()
            return
        for _ in range(change.count):
            added = self._add_engine(zone, version=0)
            self.simulation.after(self.deployment.engine.stage_seconds, added.switch, 1)

    def _name_weights(self, version: int) -> None:
        named_seconds = self.simulation.seconds()
        for view in self.views:
            target = WeightTarget(version, named_seconds)
            view.weights = {MODEL: (*view.weights.get(MODEL, ()), target)}
        stage_seconds = self.deployment.engine.stage_seconds
        for engine in self.engines:
            self.simulation.after(stage_seconds, self._change_over, engine, version, named_seconds)

    def _change_over(self, engine: EmulatedEngine, version: int, named_seconds: float) -> None:
        if not engine.alive:
            return
        agents = [one.name for one in self.engines if one.alive]
        age_seconds = self.simulation.seconds() - named_seconds
        within_seconds = self.deployment.weights_seconds
        if not may_change_over(engine.name, agents, age_seconds, within_seconds):
            later = (self._change_over, engine, version, named_seconds)
            self.simulation.after(CHANGEOVER_LOOK_SECONDS, *later)
            return
        engine.switch(version)


def _route(kind: Kind) -> Route:
    return Route(
        name=kind.name,
        host='h',
        path_prefix=f'/{kind.name}/',
        kind=CallKind.stream if kind.prompt_tokens else CallKind.idempotent,
        time_limit_seconds=kind.patience_ms / 1000,
        target_seconds=kind.target_ms / 1000,
        urgency_rank=1,
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
            cold_seconds=model.cold_seconds,
            cold_requests_per_second=model.cold_per_second,
            engine=engine,
        ),
        Service(SERVICES),
    )
    routes = tuple(_route(kind) for kind in deployment.kinds)
    return SiteDocument(version=1, routes=routes, services=services, customers=())
