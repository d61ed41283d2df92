"""Plays the distribution of weights to the engines of a site, with links that are shared.

Relays, fetchers and changeovers are those of the product; connections, the origin and the
engines are simulated. All processes hold the same view of the site.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from returns.result import Result, Success
from twisted.internet.task import Clock

from bench.emulator.links import BITS_PER_BYTE, BITS_PER_MEGABIT, Link
from bench.emulator.staging_hosts import (
    LAYERS,
    MODEL,
    ORIGIN,
    PORT,
    Exchange,
    Host,
    HostNetwork,
    PieceShape,
    StagingEngine,
    list_target,
    make_piece_list,
    piece_body,
    piece_target,
)
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.loops import start_loop
from jackdawsail.routing.weight_rules import weight_rule
from jackdawsail.site.document import EngineClass, Service, SiteDocument
from jackdawsail.site.node import NodeBounds, NodeSettings
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging.changeover import Changeover, make_changeover
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.origin_watch import OriginWatch
from jackdawsail.staging.piece_fetcher import PieceFetcher
from jackdawsail.staging.relay import RETRY_SECONDS, PieceRelay
from jackdawsail.staging.sources import (
    OriginCodec,
    Source,
    sources_for,
    sources_for_relay,
)
from jackdawsail.wire.site_messages import MemberHost, Members

REPORT_SECONDS = 0.1
ANNOUNCED_SECONDS = 1.0
ListSources = Callable[[NodeSettings, SiteView, str], list[Source]]
ENGINE = EngineClass(
    slots=12,
    memory_tokens=1_640_000,
    step_seconds=0.00673,
    step_per_request_seconds=0.0000219,
    prompt_tokens_per_second=30_600,
    steps_per_pass=6,
    usual_prompt_tokens=964,
    usual_answer_tokens=119,
    layers=LAYERS,
    layer_megabytes=4540,
    memory_megabytes=282_000,
    chunks=PieceShape().count,
    chunk_bytes=PieceShape().size_bytes,
    models=(MODEL,),
)


@dataclass(frozen=True, slots=True)
class StagingScenario:
    """A site and what happens to it; rates of links hold for each direction.

    ``lost_relay_seconds`` is when the relay that has sent most loses power, counted from the
    announcement; ``next_version_seconds`` is when a further version is announced. The origin is
    unreachable for ``outage_seconds`` from ``outage_from_seconds`` on. ``cold_engines`` start
    without weights.
    """

    name: str
    entries: int
    engines: int
    regions: int = 3
    entry_megabits_per_second: float = 20
    engine_megabits_per_second: float = 3.65
    region_megabits_per_second: float = 13.5
    origin_megabits_per_second: float = 7.3
    within_seconds: float = 10
    lost_relay_seconds: float = math.inf
    next_version_seconds: float = math.inf
    outage_from_seconds: float = math.inf
    outage_seconds: float = 0
    cold_engines: int = 0
    shape: PieceShape = PieceShape()


@dataclass(slots=True)
class StagingFigures:
    """What one play showed.

    Times are seconds from the announcement of the last version until an engine had all its
    pieces. ``border_copies`` is the largest number of copies that crossed a border between
    two regions, ``origin_copies`` what the origin sent, ``busiest_copies`` what the busiest
    entry sent. ``unserved_seconds`` is for how long a mean engine had no version that calls may
    use, until it had loaded the last one.
    """

    staged_seconds: list[float] = field(default_factory=list)
    bound_seconds: float = 0
    border_copies: float = 0
    origin_copies: float = 0
    busiest_copies: float = 0
    unserved_seconds: float = 0


class StagingPlay:
    """One play of a scenario."""

    def __init__(self, scenario: StagingScenario) -> None:
        self.scenario = scenario
        self.clock = Clock()
        self.net = HostNetwork(self.clock, scenario.region_megabits_per_second)
        self.view = SiteView()
        self.engines: list[StagingEngine] = []
        self.changeovers: list[Changeover] = []
        self.relays: dict[str, PieceRelay] = {}
        self.entries: list[MemberHost] = []
        self.agents: list[MemberHost] = []
        self._pieces = {version: make_piece_list(version, scenario.shape) for version in (2, 3)}
        self._unserved_seconds: float = 0
        self._add_hosts()

    def run(self) -> StagingFigures:
        """Plays until all engines have the last version staged, or twice its time has passed."""
        scenario = self.scenario
        versions = [(2, ANNOUNCED_SECONDS)]
        if math.isfinite(scenario.next_version_seconds):
            versions.append((3, ANNOUNCED_SECONDS + scenario.next_version_seconds))
        for version, announced_seconds in versions:
            self.clock.callLater(announced_seconds, self._announce, version)
        if math.isfinite(scenario.lost_relay_seconds):
            lost_seconds = ANNOUNCED_SECONDS + scenario.lost_relay_seconds
            self.clock.callLater(lost_seconds, self._lose_busiest_relay)
        if scenario.outage_seconds:
            outage_from_seconds = ANNOUNCED_SECONDS + scenario.outage_from_seconds
            origin = self.net.hosts[ORIGIN]
            self.clock.callLater(outage_from_seconds, self.net.lose, origin)
            outage_end_seconds = outage_from_seconds + scenario.outage_seconds
            self.clock.callLater(outage_end_seconds, self.net.restore, origin)
        start_loop(self.clock, self._check_relays, RETRY_SECONDS)
        start_loop(self.clock, self._report_engines, REPORT_SECONDS)
        last_version, last_seconds = versions[-1]
        end_seconds = last_seconds + 2 * scenario.within_seconds + scenario.outage_seconds
        is_ended = self._is_loaded if scenario.outage_seconds else self._is_staged
        while self.clock.seconds() < end_seconds and not is_ended(last_version):
            self._step()
        return self._figures(last_version, last_seconds)

    def _add_hosts(self) -> None:
        scenario = self.scenario
        self.net.hosts[ORIGIN] = Host(
            ORIGIN,
            'r0',
            Link(scenario.origin_megabits_per_second),
            Link(scenario.origin_megabits_per_second),
            self._serve_origin,
        )
        document = SiteDocument(
            version=1,
            services=(
                Service('models', engine=ENGINE),
                Service('store', origin_address=ORIGIN, origin_zone='z0'),
            ),
        )
        self.view.apply_document(document)
        for number in range(scenario.entries):
            self.entries.append(self._add_host('10.0', number, scenario.entry_megabits_per_second))
        for number in range(scenario.engines):
            self.agents.append(self._add_host('10.9', number, scenario.engine_megabits_per_second))
        self.view.apply_members('control', Members(['control'], self.entries, self.agents))
        for entry in self.entries:
            self._add_relay(entry)
        for agent in self.agents:
            self._add_agent(agent)
        for engine in self.engines[: scenario.cold_engines]:
            engine.loaded = 0

    def _add_host(self, prefix: str, number: int, rate: float) -> MemberHost:
        region = number % self.scenario.regions
        member = MemberHost(f'{prefix}.{number // 250}.{number % 250}', f'z{region}', f'r{region}')
        self.net.hosts[member.address] = Host(
            member.address, member.region, Link(rate), Link(rate)
        )
        return member

    def _settings(self, member: MemberHost) -> NodeSettings:
        zones = {f'z{number}': f'r{number}' for number in range(self.scenario.regions)}
        bounds = NodeBounds(weights_seconds=self.scenario.within_seconds)
        return NodeSettings(
            member.address,
            member.address,
            member.zone,
            member.region,
            zones,
            link_port=PORT,
            bounds=bounds,
        )

    def _add_relay(self, member: MemberHost) -> None:
        settings = self._settings(member)
        process: Any = SimpleNamespace(settings=settings, reactor=self.clock)
        relay = PieceRelay(process, self.view, self._fetcher(settings, sources_for_relay))
        self.relays[member.address] = relay
        self.net.hosts[member.address].serve = lambda target, done: relay.handle_request(
            Exchange(SimpleNamespace(target=target), done)  # type: ignore[arg-type]
        )

    def _add_agent(self, member: MemberHost) -> None:
        settings = self._settings(member)
        engine = StagingEngine(self.clock, self.scenario.shape.count)
        self.engines.append(engine)
        calls: Any = engine
        self.changeovers.append(
            make_changeover(
                self.clock, self.view, calls, self._fetcher(settings, sources_for), settings
            )
        )

    def _fetcher(self, settings: NodeSettings, list_sources: ListSources) -> PieceFetcher:
        codec = OriginCodec(list_target, self._decode_list, piece_target)
        own = self.net.hosts[settings.address]
        pool: Any = SimpleNamespace(clock=self.clock)

        return PieceFetcher(
            pool,
            codec,
            lambda key: list_sources(settings, self.view, key),
            transport=self.net.transport_of(own),
            watch=OriginWatch(self.clock, self.net.probe),
        )

    def _serve_origin(self, target: bytes, done: Callable[[HttpAnswer], None]) -> None:
        _, version, item = target.decode().split('/')
        if item == 'list':
            done(HttpAnswer(200, version.encode().ljust(64 * self.scenario.shape.count)))
        else:
            done(HttpAnswer(200, piece_body(int(version), int(item), self.scenario.shape)))

    def _decode_list(self, body: bytes) -> Result[PieceList, str]:
        text = body.decode()
        if text.startswith('{'):
            version = 2 if '"version": 2' in text else 3
        else:
            version = int(text)
        return Success(self._pieces[version])

    def _announce(self, version: int) -> None:
        held = self.view.weights.get(MODEL, ())
        self.view.weights[MODEL] = (*held, WeightTarget(version, self.clock.seconds()))

    def _lose_busiest_relay(self) -> None:
        busiest = max(
            self.entries, key=lambda entry: self.net.hosts[entry.address].up.carried_bytes
        )
        host = self.net.hosts[busiest.address]
        self.net.lose(host)
        self.clock.callLater(1.7, self._remove_member, busiest)

    def _remove_member(self, lost: MemberHost) -> None:
        self.entries = [entry for entry in self.entries if entry is not lost]
        self.view.apply_members('control', Members(['control'], self.entries, self.agents))

    def _step(self) -> None:
        """Advances the clock to its next call."""
        next_seconds = self.clock.getDelayedCalls()[0].getTime()
        self.clock.advance(max(0, next_seconds - self.clock.seconds()))

    def _check_relays(self) -> None:
        for address, relay in self.relays.items():
            if not self.net.hosts[address].lost:
                relay.site_changed()

    def _report_engines(self) -> None:
        targets = self.view.weights.get(MODEL)
        if not targets:
            return  # an engine without weights would ask for those of before
        within_seconds = self.scenario.within_seconds
        rule = weight_rule(MODEL, targets, within_seconds, self.clock.seconds())
        least_version = max(1, rule.least_version)
        for engine, changeover in zip(self.engines, self.changeovers, strict=True):
            if engine.loaded < least_version:
                self._unserved_seconds += REPORT_SECONDS
            changeover.handle_report(engine.report(), ENGINE)

    def _is_staged(self, version: int) -> bool:
        return all(version in engine.staged_seconds for engine in self.engines)

    def _is_loaded(self, version: int) -> bool:
        return all(engine.loaded >= version for engine in self.engines)

    def _figures(self, version: int, announced_seconds: float) -> StagingFigures:
        copy_bytes = self.scenario.shape.copy_bytes * (version - 1)
        staged = [
            engine.staged_seconds.get(version, math.inf) - announced_seconds
            for engine in self.engines
        ]
        entries = [self.net.hosts[address] for address in self.relays]
        return StagingFigures(
            sorted(staged),
            bound_seconds(self.scenario),
            max(
                (link.carried_bytes / copy_bytes for link in self.net.borders.values()), default=0
            ),
            self.net.hosts[ORIGIN].up.carried_bytes / copy_bytes,
            max(entry.up.carried_bytes for entry in entries) / copy_bytes,
            self._unserved_seconds / len(self.engines),
        )


def bound_seconds(scenario: StagingScenario) -> float:
    """Returns the time of one copy over the narrowest link that each engine's copy crosses.

    While the origin is unreachable, what it has not sent of the last version is missing.
    """
    rates = [scenario.engine_megabits_per_second, scenario.origin_megabits_per_second]
    if scenario.regions > 1:
        rates.append(scenario.region_megabits_per_second)
    copy_bits = scenario.shape.copy_bytes * BITS_PER_BYTE
    narrowest_seconds = copy_bits / (min(rates) * BITS_PER_MEGABIT)
    if not scenario.outage_seconds:
        return narrowest_seconds
    origin_seconds = copy_bits / (scenario.origin_megabits_per_second * BITS_PER_MEGABIT)
    last_seconds = scenario.next_version_seconds
    announced_seconds = last_seconds if math.isfinite(last_seconds) else 0
    outage_start_seconds = max(0, scenario.outage_from_seconds - announced_seconds)
    outage_end_seconds = scenario.outage_from_seconds + scenario.outage_seconds - announced_seconds
    sent_share = min(1, outage_start_seconds / origin_seconds)
    if sent_share == 1 or outage_end_seconds <= 0:
        return narrowest_seconds
    after_seconds = outage_end_seconds + (1 - sent_share) * narrowest_seconds
    return max(narrowest_seconds, after_seconds)


SCENARIOS = (
    StagingScenario(
        '9 x 6',
        9,
        6,
        entry_megabits_per_second=1000,
        region_megabits_per_second=10.5,
        within_seconds=8,
    ),
    StagingScenario('27 x 46', 27, 46),
    StagingScenario('27 x 46, a relay lost', 27, 46, lost_relay_seconds=2),
    StagingScenario('27 x 46, two versions', 27, 46, next_version_seconds=3),
    StagingScenario('97 x 54', 97, 54, regions=5),
    StagingScenario('97 x 54, a relay lost', 97, 54, regions=5, lost_relay_seconds=2),
    StagingScenario('97 x 54, two versions', 97, 54, regions=5, next_version_seconds=3),
    StagingScenario('760 machines', 480, 270, regions=5),
)
