"""Plays the distribution of weights to the engines of a site, with links that are shared.

Relays, fetchers and changeovers are those of the product; connections, the origin and the
engines are simulated. All processes hold the same view of the site.
"""

import hashlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bench.emulator.links import Link, Network, Transfer
from jackdawsail.http1.fetch import FetchedAnswer, FetchLimits, FindFault
from jackdawsail.http1.messages import HttpAnswer, HttpRequest
from jackdawsail.registry.registration import ModelVersion
from jackdawsail.site.document import EngineClass, Service, SiteDocument
from jackdawsail.site.loops import start_loop
from jackdawsail.site.node import NodeBounds, NodeSettings
from jackdawsail.site.view import SiteView, WeightTarget
from jackdawsail.staging.changeover import Changeover
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder, PieceList
from jackdawsail.staging.piece_fetcher import PieceFetcher
from jackdawsail.staging.relay import RETRY_SECONDS, PieceRelay
from jackdawsail.staging.sources import (
    RELAY_PORT_OFFSET,
    OriginCodec,
    Source,
    sources_for,
    sources_for_relay,
)
from jackdawsail.wire.site_messages import MemberHost, Members

MODEL = 'm'
ORIGIN = '172.20.0.3:1'
PORT = 7700
PIECES = 96
PIECE_BYTES = 24_576
CONNECT_SECONDS = 0.6  # until a connection to a host without power fails
REPORT_SECONDS = 0.1
ANNOUNCED_SECONDS = 1.0
LOAD_SECONDS = 0.3
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
    layers=16,
    layer_megabytes=4540,
    memory_megabytes=282_000,
    chunks=PIECES,
    chunk_bytes=PIECE_BYTES,
    models=(MODEL,),
)


@dataclass(frozen=True, slots=True)
class StagingScenario:
    """A site and what happens to it; rates are megabits a second of each direction.

    ``lost_relay_seconds`` is when the relay that has sent most loses power, counted from the
    announcement; ``next_version_seconds`` is when a further version is announced.
    """

    name: str
    entries: int
    engines: int
    regions: int = 3
    entry_rate: float = 20
    engine_rate: float = 3.65
    region_rate: float = 13.5
    origin_rate: float = 7.3
    origin_connections: int = 48
    delay_seconds: float = 0.001
    within_seconds: float = 10
    lost_relay_seconds: float = math.inf
    next_version_seconds: float = math.inf


@dataclass(slots=True)
class StagingFigures:
    """What one play showed.

    Times are seconds from the announcement of the last version until an engine had all its
    pieces. ``border_copies`` is the largest number of copies that crossed a border between
    two regions, ``origin_copies`` what the origin sent, ``busiest_copies`` what the busiest
    entry sent.
    """

    staged_seconds: list[float] = field(default_factory=list)
    bound_seconds: float = 0
    border_copies: float = 0
    origin_copies: float = 0
    busiest_copies: float = 0


@dataclass(slots=True, eq=False)
class _Host:
    """A machine with its link; ``serve`` answers what arrives at it."""

    address: str
    region: str
    up: Link
    down: Link
    serve: Callable[[bytes, Callable[[HttpAnswer], None]], None] | None = None
    lost: bool = False


@dataclass(slots=True, eq=False)
class _Exchange:
    """A request at a relay, as its server passes it on."""

    request: Any
    on_answer: Callable[[HttpAnswer], None]
    ended: bool = False

    def answer(self, answer: HttpAnswer) -> None:
        self.on_answer(answer)


@dataclass(slots=True, eq=False)
class _Engine:
    """An engine that keeps staged pieces and loads them on order."""

    clock: Any
    staged: dict[int, bytes] = field(default_factory=dict)
    loaded: int = 1
    staged_seconds: dict[int, float] = field(default_factory=dict)
    orders: int = 0
    _versions: dict[int, int] = field(default_factory=dict)

    async def write_piece(self, model: str, index: int, body: bytes) -> Result[None, str]:
        self.staged[index] = body
        version = _version_of(body)
        self._versions[index] = version
        if sum(each == version for each in self._versions.values()) == PIECES:
            self.staged_seconds.setdefault(version, self.clock.seconds())
        return Success(None)

    async def read_piece(self, model: str, index: int) -> Result[bytes, str]:
        return Success(self.staged[index]) if index in self.staged else Failure('not staged')

    async def staged_pieces(self, model: str) -> Result[tuple[int, ...], str]:
        return Success(tuple(sorted(self.staged)))

    async def order_load(self, order: LoadWeightsOrder) -> Result[None, str]:
        self.orders += 1
        self.clock.callLater(LOAD_SECONDS, setattr, self, 'loaded', order.version)
        return Success(None)

    def report(self) -> EngineReport:
        models = (ModelVersion(MODEL, self.loaded),)
        return EngineReport(models, ENGINE.layers, False, self.orders, 0, 0, 0, 1.0, 1)


class StagingPlay:
    """One play of a scenario."""

    def __init__(self, scenario: StagingScenario) -> None:
        self.scenario = scenario
        self.clock = Clock()
        self.network = Network(self.clock)
        self.view = SiteView()
        self.hosts: dict[str, _Host] = {}
        self.borders: dict[tuple[str, str], Link] = {}
        self.engines: list[_Engine] = []
        self.changeovers: list[Changeover] = []
        self.relays: dict[str, PieceRelay] = {}
        self.fetches: set[_Fetch] = set()
        self.entries: list[MemberHost] = []
        self.agents: list[MemberHost] = []
        self._pieces = {version: make_piece_list(version) for version in (2, 3)}
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
        start_loop(self.clock, self._check_relays, RETRY_SECONDS)
        start_loop(self.clock, self._report_engines, REPORT_SECONDS)
        last_version, last_seconds = versions[-1]
        end_seconds = last_seconds + 2 * scenario.within_seconds
        while self.clock.seconds() < end_seconds and not self._is_staged(last_version):
            self._step()
        return self._figures(last_version, last_seconds)

    def _add_hosts(self) -> None:
        scenario = self.scenario
        self.hosts[ORIGIN] = _Host(
            ORIGIN,
            'r0',
            Link(scenario.origin_rate),
            Link(scenario.origin_rate),
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
            self.entries.append(self._add_host('10.0', number, scenario.entry_rate))
        for number in range(scenario.engines):
            self.agents.append(self._add_host('10.9', number, scenario.engine_rate))
        self.view.apply_members('control', Members(['control'], self.entries, self.agents))
        for entry in self.entries:
            self._add_relay(entry)
        for agent in self.agents:
            self._add_agent(agent)

    def _add_host(self, prefix: str, number: int, rate: float) -> MemberHost:
        region = number % self.scenario.regions
        member = MemberHost(f'{prefix}.{number // 250}.{number % 250}', f'z{region}', f'r{region}')
        self.hosts[member.address] = _Host(member.address, member.region, Link(rate), Link(rate))
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
        self.hosts[member.address].serve = lambda target, done: relay.handle_request(
            _Exchange(SimpleNamespace(target=target), done)  # type: ignore[arg-type]
        )

    def _add_agent(self, member: MemberHost) -> None:
        settings = self._settings(member)
        engine = _Engine(self.clock)
        self.engines.append(engine)
        calls: Any = engine
        self.changeovers.append(
            Changeover(
                self.clock, self.view, calls, self._fetcher(settings, sources_for), settings
            )
        )

    def _fetcher(self, settings: NodeSettings, list_sources: ListSources) -> PieceFetcher:
        codec = OriginCodec(_list_target, self._decode_list, _piece_target)
        own = self.hosts[settings.address]
        pool: Any = SimpleNamespace(clock=self.clock)

        def fetch_from(
            _pool: Any,
            address: str,
            request: HttpRequest,
            limits: FetchLimits,
            _find_fault: FindFault,
        ) -> Deferred[Result[FetchedAnswer, str]]:
            return _Fetch(self, own, address, limits).start(request)

        return PieceFetcher(
            pool,
            codec,
            lambda key: list_sources(settings, self.view, key),
            transport=fetch_from,
        )

    def host_at(self, address: str) -> _Host:
        """Returns the host that a source's address belongs to."""
        return (
            self.hosts.get(address)
            or self.hosts[address.removesuffix(f':{PORT + RELAY_PORT_OFFSET}')]
        )

    def links_between(self, sender: _Host, receiver: _Host) -> list[Link]:
        """Returns the links that an answer crosses."""
        links = [sender.up, receiver.down]
        if sender.region != receiver.region:
            border = (sender.region, receiver.region)
            rate = self.scenario.region_rate
            links.append(self.borders.setdefault(border, Link(rate)))
        return links

    def _serve_origin(self, target: bytes, done: Callable[[HttpAnswer], None]) -> None:
        _, version, item = target.decode().split('/')
        if item == 'list':
            done(HttpAnswer(200, version.encode().ljust(64 * PIECES)))
        else:
            done(HttpAnswer(200, piece_body(int(version), int(item))))

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
        busiest = max(self.entries, key=lambda entry: self.hosts[entry.address].up.carried_bytes)
        host = self.hosts[busiest.address]
        host.lost = True
        from_host = [fetch for fetch in self.fetches if fetch.peer is host]
        for fetch in from_host:
            fetch.fall_silent()
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
            if not self.hosts[address].lost:
                relay.site_changed()

    def _report_engines(self) -> None:
        for engine, changeover in zip(self.engines, self.changeovers, strict=True):
            changeover.handle_report(engine.report(), ENGINE)

    def _is_staged(self, version: int) -> bool:
        return all(version in engine.staged_seconds for engine in self.engines)

    def _figures(self, version: int, announced_seconds: float) -> StagingFigures:
        copy_bytes = PIECES * PIECE_BYTES * (version - 1)
        staged = [
            engine.staged_seconds.get(version, math.inf) - announced_seconds
            for engine in self.engines
        ]
        entries = [self.hosts[address] for address in self.relays]
        return StagingFigures(
            sorted(staged),
            bound_seconds(self.scenario),
            max((link.carried_bytes / copy_bytes for link in self.borders.values()), default=0),
            self.hosts[ORIGIN].up.carried_bytes / copy_bytes,
            max(entry.up.carried_bytes for entry in entries) / copy_bytes,
        )


@dataclass(slots=True, eq=False)
class _Fetch:
    """One request over the simulated network, with the product's limits on time."""

    play: StagingPlay
    own: _Host
    address: str
    limits: FetchLimits
    done: Deferred[Result[FetchedAnswer, str]] = field(default_factory=Deferred)
    transfer: Transfer | None = None
    timer: Any = None
    peer: _Host | None = None

    def start(self, request: HttpRequest) -> Deferred[Result[FetchedAnswer, str]]:
        host = self.play.host_at(self.address)
        clock = self.play.clock
        if host.lost:
            clock.callLater(CONNECT_SECONDS, self._finish, Failure('no connection'))
            return self.done
        self.peer = host
        self.play.fetches.add(self)
        self.timer = clock.callLater(self.limits.silent_seconds, self._give_up, 'silent')
        clock.callLater(self.play.scenario.delay_seconds, self._arrive, host, request.target)
        return self.done

    def _arrive(self, host: _Host, target: bytes) -> None:
        if host.serve is not None and not host.lost and not self.done.called:
            host.serve(target, lambda answer: self._answer(host, answer))

    def _answer(self, host: _Host, answer: HttpAnswer) -> None:
        if self.done.called or host.lost:
            return
        if self.timer.active():
            self.timer.reset(self.limits.total_seconds)
        links = self.play.links_between(host, self.own)
        body = FetchedAnswer(answer.status, answer.body)
        self.transfer = self.play.network.send(
            links, max(1, len(answer.body)), lambda: self._finish(Success(body))
        )

    def fall_silent(self) -> None:
        """Stops the answer where it is, without an end of the connection."""
        if self.transfer is not None:
            self.play.network.abort(self.transfer)
            self.transfer = None
            self.timer.reset(self.limits.silent_seconds)

    def _give_up(self, reason: str) -> None:
        if self.transfer is not None:
            self.play.network.abort(self.transfer)
        self._finish(Failure(reason))

    def _finish(self, outcome: Result[FetchedAnswer, str]) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.play.fetches.discard(self)
        if not self.done.called:
            self.done.callback(outcome)


def bound_seconds(scenario: StagingScenario) -> float:
    """Returns the time of one copy over the narrowest link that each engine's copy crosses."""
    rates = [scenario.engine_rate, scenario.origin_rate]
    if scenario.regions > 1:
        rates.append(scenario.region_rate)
    return PIECES * PIECE_BYTES * 8 / (min(rates) * 1e6)


def make_piece_list(version: int) -> PieceList:
    """Returns the digests of a version's pieces."""
    bodies = (piece_body(version, index) for index in range(PIECES))
    return PieceList(MODEL, version, tuple(hashlib.sha256(body).hexdigest() for body in bodies))


def piece_body(version: int, index: int) -> bytes:
    """Returns the bytes of a piece, which begin with its version."""
    return f'{version}/{index}/'.encode().ljust(PIECE_BYTES, b'.')


def _version_of(body: bytes) -> int:
    return int(body.partition(b'/')[0])


def _list_target(model: str, version: int) -> bytes:
    return f'{model}/{version}/list'.encode()


def _piece_target(model: str, version: int, index: int) -> bytes:
    return f'{model}/{version}/{index}'.encode()


SCENARIOS = (
    StagingScenario('9 x 6', 9, 6, entry_rate=1000, region_rate=10.5, within_seconds=8),
    StagingScenario('27 x 46', 27, 46),
    StagingScenario('27 x 46, a relay lost', 27, 46, lost_relay_seconds=2),
    StagingScenario('27 x 46, two versions', 27, 46, next_version_seconds=3),
    StagingScenario('97 x 54', 97, 54, regions=5),
    StagingScenario('97 x 54, a relay lost', 97, 54, regions=5, lost_relay_seconds=2),
    StagingScenario('97 x 54, two versions', 97, 54, regions=5, next_version_seconds=3),
    StagingScenario('760 machines', 480, 270, regions=5),
)
