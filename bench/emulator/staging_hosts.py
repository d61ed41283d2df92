"""The hosts of a play of weights: their links, the engines, and the calls between them."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred

from bench.emulator.links import Link, Network, Transfer
from jackdawsail.http1.fetch import FetchedAnswer, FetchLimits, FindFault
from jackdawsail.http1.messages import HttpAnswer, HttpRequest
from jackdawsail.registry.registration import ModelVersion
from jackdawsail.staging.engine import EngineReport, LoadWeightsOrder, PieceList
from jackdawsail.staging.engine_calls import OrderFailure
from jackdawsail.staging.piece_fetcher import Transport
from jackdawsail.staging.sources import RELAY_PORT_OFFSET

MODEL = 'm'
ORIGIN = '172.20.0.3:1'
PORT = 7700
LAYERS = 16
CONNECT_SECONDS = 0.6  # until a connection to a host without power fails
DELAY_SECONDS = 0.001
LOAD_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class PieceShape:
    """How many pieces a version has, and how large each is."""

    count: int = 96
    size_bytes: int = 24_576

    @property
    def copy_bytes(self) -> int:
        """Returns the size of a version."""
        return self.count * self.size_bytes


@dataclass(slots=True, eq=False)
class Host:
    """A machine with its link; ``serve`` answers what arrives at it."""

    address: str
    region: str
    up: Link
    down: Link
    serve: Callable[[bytes, Callable[[HttpAnswer], None]], None] | None = None
    lost: bool = False


@dataclass(slots=True, eq=False)
class Exchange:
    """A request at a relay, as its server passes it on."""

    request: Any
    on_answer: Callable[[HttpAnswer], None]
    ended: bool = False

    def answer(self, answer: HttpAnswer) -> None:
        self.on_answer(answer)


@dataclass(slots=True, eq=False)
class StagingEngine:
    """An engine that keeps staged pieces and loads them on order."""

    clock: Any
    pieces: int
    staged: dict[int, bytes] = field(default_factory=dict)
    loaded: int = 1
    staged_seconds: dict[int, float] = field(default_factory=dict)
    orders: int = 0
    _versions: dict[int, int] = field(default_factory=dict)

    async def write_piece(self, model: str, index: int, body: bytes) -> Result[None, str]:
        self.staged[index] = body
        version = version_of(body)
        self._versions[index] = version
        if sum(each == version for each in self._versions.values()) == self.pieces:
            self.staged_seconds.setdefault(version, self.clock.seconds())
        return Success(None)

    async def read_piece(self, model: str, index: int) -> Result[bytes, str]:
        return Success(self.staged[index]) if index in self.staged else Failure('not staged')

    async def staged_pieces(self, model: str) -> Result[tuple[int, ...], str]:
        return Success(tuple(sorted(self.staged)))

    async def order_load(
        self, order: LoadWeightsOrder, send_by_seconds: float
    ) -> Result[None, OrderFailure]:
        self.orders += 1
        self.clock.callLater(LOAD_SECONDS, setattr, self, 'loaded', order.version)
        return Success(None)

    def report(self) -> EngineReport:
        models = (ModelVersion(MODEL, self.loaded),) if self.loaded else ()
        layers = LAYERS if self.loaded else 0
        return EngineReport(models, layers, False, self.orders, 0, 0, 0, 1.0, 1)


class HostNetwork:
    """The hosts of a site by address, and the borders between its regions."""

    def __init__(self, clock: Any, region_megabits_per_second: float) -> None:
        self.clock = clock
        self.network = Network(clock)
        self.hosts: dict[str, Host] = {}
        self.borders: dict[tuple[str, str], Link] = {}
        self.fetches: set[Fetch] = set()
        self._region_megabits_per_second = region_megabits_per_second

    def add(self, host: Host) -> None:
        """Adds a host."""
        self.hosts[host.address] = host

    def host_at(self, address: str) -> Host:
        """Returns the host that a source's address belongs to."""
        relay_port = f':{PORT + RELAY_PORT_OFFSET}'
        return self.hosts.get(address) or self.hosts[address.removesuffix(relay_port)]

    def links_between(self, sender: Host, receiver: Host) -> list[Link]:
        """Returns the links that an answer crosses."""
        links = [sender.up, receiver.down]
        if sender.region != receiver.region:
            border = (sender.region, receiver.region)
            rate = self._region_megabits_per_second
            links.append(self.borders.setdefault(border, Link(rate)))
        return links

    def transport_of(self, own: Host) -> Transport:
        """Returns what a piece fetcher on a host calls to send a request."""

        def fetch_from(
            _pool: Any,
            address: str,
            request: HttpRequest,
            limits: FetchLimits,
            _find_fault: FindFault,
        ) -> Deferred[Result[FetchedAnswer, str]]:
            return Fetch(self, own, address, limits).start(request)

        return fetch_from

    def probe(self, address: str, on_probed: Callable[[bool], None]) -> None:
        """Opens a connection to an address only to show whether that is possible."""
        host = self.host_at(address)
        if host.lost:
            self.clock.callLater(CONNECT_SECONDS, on_probed, False)
        else:
            self.clock.callLater(2 * DELAY_SECONDS, on_probed, True)

    def lose(self, host: Host) -> None:
        """Takes the power from a host; what it was sending stops where it is."""
        host.lost = True
        from_host = [fetch for fetch in self.fetches if fetch.peer is host]
        for fetch in from_host:
            fetch.fall_silent()

    def restore(self, host: Host) -> None:
        """Makes a host reachable again; answers that stopped stay cut off."""
        host.lost = False


@dataclass(slots=True, eq=False)
class Fetch:
    """One request over the simulated network, with the product's limits on time."""

    net: HostNetwork
    own: Host
    address: str
    limits: FetchLimits
    done: Deferred[Result[FetchedAnswer, str]] = field(default_factory=Deferred)
    transfer: Transfer | None = None
    timer: Any = None
    peer: Host | None = None

    def start(self, request: HttpRequest) -> Deferred[Result[FetchedAnswer, str]]:
        host = self.net.host_at(self.address)
        clock = self.net.clock
        if host.lost:
            clock.callLater(CONNECT_SECONDS, self._finish, Failure('no connection'))
            return self.done
        self.peer = host
        self.net.fetches.add(self)
        self.timer = clock.callLater(self.limits.silent_seconds, self._give_up, 'silent')
        clock.callLater(DELAY_SECONDS, self._arrive, host, request.target)
        return self.done

    def _arrive(self, host: Host, target: bytes) -> None:
        if host.serve is not None and not host.lost and not self.done.called:
            host.serve(target, lambda answer: self._answer(host, answer))

    def _answer(self, host: Host, answer: HttpAnswer) -> None:
        if self.done.called or host.lost:
            return
        if self.timer.active():
            self.timer.reset(self.limits.total_seconds)
        links = self.net.links_between(host, self.own)
        body = FetchedAnswer(answer.status, answer.body)
        self.transfer = self.net.network.send(
            links, max(1, len(answer.body)), lambda: self._finish(Success(body))
        )

    def fall_silent(self) -> None:
        """Stops the answer where it is, without an end of the connection."""
        if self.transfer is not None:
            self.net.network.abort(self.transfer)
            self.transfer = None
            self.timer.reset(self.limits.silent_seconds)

    def _give_up(self, reason: str) -> None:
        if self.transfer is not None:
            self.net.network.abort(self.transfer)
        self._finish(Failure(reason))

    def _finish(self, outcome: Result[FetchedAnswer, str]) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.net.fetches.discard(self)
        if not self.done.called:
            self.done.callback(outcome)


def make_piece_list(version: int, shape: PieceShape) -> PieceList:
    """Returns the digests of a version's pieces."""
    bodies = (piece_body(version, index, shape) for index in range(shape.count))
    return PieceList(MODEL, version, tuple(hashlib.sha256(body).hexdigest() for body in bodies))


def piece_body(version: int, index: int, shape: PieceShape) -> bytes:
    """Returns the bytes of a piece, which begin with its version."""
    return f'{version}/{index}/'.encode().ljust(shape.size_bytes, b'.')


def version_of(body: bytes) -> int:
    return int(body.partition(b'/')[0])


def list_target(model: str, version: int) -> bytes:
    return f'{model}/{version}/list'.encode()


def piece_target(model: str, version: int, index: int) -> bytes:
    return f'{model}/{version}/{index}'.encode()
