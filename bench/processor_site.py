"""Stand-ins around one process of a site: control hosts, an engine, agents and callers."""

import json
import math
import random
import zlib
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import protocol
from twisted.internet import reactor as installed_reactor

from jackdawsail.loops import start_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.registry.registration import ModelVersion, Registration
from jackdawsail.wire.codec import encode
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.link import Link, LinkServerFactory, LinkSettings
from jackdawsail.wire.site_messages import (
    AgedRegistration,
    AnnouncedWeights,
    DocumentPushed,
    DocumentWanted,
    EngineLoad,
    EntryStatus,
    MemberHost,
    Members,
    Registrations,
    SiteSummary,
)
from jackdawsail.wire.trait_messages import TraitEvidence

REACTOR: Any = installed_reactor
LINK_PORT = 47_300
ENGINE_ADDRESS = '127.0.0.1:47390'
CALLER_PORT = 47_391
CONTROLS = tuple(f'127.0.9.{number}' for number in range(1, 7))
ENTRIES = tuple(f'127.0.8.{number}' for number in range(1, 39))
ENGINES = 26
ANNOUNCED_AGE_SECONDS = 100.0  # so old that no relay fetches it
HEARTBEAT_SECONDS = 1.2
BATCH_SECONDS = 0.1
SUMMARY_SECONDS = 0.5
EVENTS_PER_CALL = 18
EVENT_SECONDS = 0.052
DOCUMENT = {
    'version': 1,
    'routes': [
        {'host': 'a.example', 'path_prefix': '/g/', 'timeout_ms': 6000, 'name': 'g', 'kind': 'streaming',
         'target_latency_ms': 405, 'service': 's', 'public': True, 'target_gap_ms': 400}
    ],
    'services': [
        {'name': 's', 'max_connections': 598, 'cold_start_s': 4,
         'engine': {'slots': 12, 'kv_capacity_tokens': 685_000, 'step_ms': 7.4, 'read_per_s': 31_900,
                    'stride': 7, 'usual': {'prompt': 900, 'answer': 119}, 'layers': 16, 'chunks': 48,
                    'chunk_bytes': 49_152, 'models': [{'name': 'm'}]}}
    ],
}  # fmt: skip
WEIGHTS = [AnnouncedWeights('m', 1, ANNOUNCED_AGE_SECONDS)]


def make_engine() -> 'EngineStandIn':
    """Makes the stand-in of all engines."""
    return EngineStandIn()


@dataclass(slots=True)
class Site:
    """The stand-ins, the rates of what they send, and how much they have sent or answered."""

    router: MessageRouter = field(default_factory=MessageRouter)
    engine: 'EngineStandIn' = field(default_factory=make_engine)
    counts: dict[str, int] = field(default_factory=dict)
    loops: list[Any] = field(default_factory=list)
    _socket: Any = None
    _sequence: int = 0

    def listen(self) -> None:
        """Opens the ports of the control hosts and of the engine."""
        self.router.register_handler(DocumentWanted, _send_document)
        for ignored in (EntryStatus, Registrations, TraitEvidence):
            self.router.register_handler(ignored, lambda link, received: None)
        self.router.watch_links(_send_state, lambda link: None)
        for address in CONTROLS:
            identity = Identity(Role.control, address, 'z1', 'r1', 1)
            settings = LinkSettings(identity, b'', address, silence_seconds=30)
            factory: Any = LinkServerFactory(settings, self.router, REACTOR)
            REACTOR.listenTCP(LINK_PORT, factory, interface=address)
        self._socket = REACTOR.listenUDP(0, protocol.DatagramProtocol(), '127.0.0.1')
        engine: Any = self.engine
        REACTOR.listenTCP(int(ENGINE_ADDRESS.rpartition(':')[2]), engine)

    def send(self, kind: str, per_second: float, send: Any) -> None:
        """Calls ``send`` at a rate until ``quiet`` and counts what it returns."""
        self.counts[kind] = 0

        def act() -> None:
            self.counts[kind] += send()

        self.loops.append(start_loop(REACTOR, act, 1 / per_second))

    def quiet(self) -> None:
        """Ends all sending."""
        for loop in self.loops:
            loop.stop()
        self.loops.clear()
        self.counts.clear()

    def send_summary(self) -> int:
        """Sends a heartbeat of each control host."""
        links = self.router.links_to(Role.entry, Role.agent)
        for link in links:
            link.send(SiteSummary(1, 1, [], WEIGHTS))
        return len(links)

    def send_registrations(self) -> int:
        """Sends one batch of the engines' heartbeats from each control host."""
        self._sequence += 1
        size = math.ceil(ENGINES * BATCH_SECONDS / HEARTBEAT_SECONDS)
        first = self._sequence * size
        links = self.router.links_to(Role.entry)
        batch = [
            _registration(number % ENGINES, self._sequence)
            for number in range(first, first + size)
        ]
        for link in links:
            link.send(Registrations(batch))
        return len(links)

    def send_load(self, entry: str) -> int:
        """Sends a changed state of each engine to the entry."""
        self._sequence += 1
        for number in range(ENGINES):
            load = EngineLoad(
                engine_address(number),
                1,
                self._sequence,
                1,
                False,
                0,
                self._sequence % 12,
                0.5,
                1.0,
            )
            self._socket.write(encode(load), (entry, LINK_PORT))
        return ENGINES

    def call(self, address: str) -> int:
        """Starts one call of a caller that reads the whole stream."""
        REACTOR.connectTCP(address, CALLER_PORT, CallerStandIn())
        return 1


def engine_address(number: int) -> str:
    """Returns the address of an engine; all of them are one stand-in."""
    return f'127.0.7.{number + 1}:{ENGINE_ADDRESS.rpartition(":")[2]}'


def _registration(number: int, sequence: int) -> AgedRegistration:
    registration = Registration(
        f'e{number}',
        's',
        engine_address(number),
        'z1',
        12,
        False,
        0,
        1,
        sequence,
        (ModelVersion('m', 1),),
    )
    return AgedRegistration(registration, 0.05)


def _send_document(link: Link, wanted: DocumentWanted) -> None:
    link.send(DocumentPushed(1, 1, zlib.compress(json.dumps(DOCUMENT).encode())))


def _send_state(link: Link) -> None:
    entries = [MemberHost(address, 'z1', 'r1') for address in ENTRIES]
    agents = [MemberHost(f'127.0.6.{number}', 'z1', 'r1') for number in range(ENGINES)]
    link.send(SiteSummary(1, 1, [], WEIGHTS, entries))
    if link.peer is not None and link.peer.role is Role.entry:
        link.send(Registrations([_registration(number, 0) for number in range(ENGINES)]))
    link.send(Members(list(CONTROLS), entries, agents))


class EngineStandIn(protocol.Factory):
    """An engine: its report, and an event stream for any other request."""

    noisy = False

    def __init__(self) -> None:
        self.running = 0
        self.reports = 0

    def change_state(self) -> int:
        """Changes the number of running requests."""
        self.running = random.Random(self.running).randint(0, 11) if self.running else 1
        return 1

    def buildProtocol(self, addr: Any) -> 'EngineConnection':  # noqa: N802 - Twisted's name
        """Returns the engine's end of a connection."""
        return EngineConnection(self)


class EngineConnection(protocol.Protocol):
    """Answers one request after the other."""

    transport: Any

    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Answers a request, which arrives in one piece."""
        if received.startswith(b'GET /api/report'):
            self._engine.reports += 1
            self._answer_report()
        elif b'\r\n\r\n' in received:
            attempt = received.partition(b'Attempt-Id: ')[2].partition(b'\r\n')[0]
            self.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: '
                + attempt
                + b'\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
            )
            self._send_event(1)

    def _answer_report(self) -> None:
        report = {
            'models': [{'name': 'm', 'version': 1}], 'layers': {'from': 0, 'target': 16, 'version': 1},
            'waiting': 0, 'running': self._engine.running, 'kv_used': 1000.0, 'kv_total': 685000.0,
            'born': 1, 'pace': 1.0, 'sequence': 1,
        }  # fmt: skip
        body = json.dumps(report).encode()
        head = f'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n'
        self.transport.write(head.encode() + body)

    def _send_event(self, number: int) -> None:
        event = f'id: {number}\ndata: {{"text": "seven tokens of an answer, about so long"}}\n\n'.encode()
        last = b'0\r\n\r\n' if number == EVENTS_PER_CALL else b''
        self.transport.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n' + last)
        if not last:
            REACTOR.callLater(EVENT_SECONDS, self._send_event, number + 1)


class CallerStandIn(protocol.ClientFactory):
    """A caller that sends one request and closes its connection after the answer."""

    noisy = False
    answered = 0
    refused = 0

    def buildProtocol(self, addr: Any) -> 'CallerConnection':  # noqa: N802 - Twisted's name
        """Returns the caller's end of the connection."""
        return CallerConnection()


class CallerConnection(protocol.Protocol):
    """One call."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Sends the request."""
        attempt = f'{random.getrandbits(60):x}'
        body = b'{"prompt": "what is to be told"}'
        head = (
            f'POST /g/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n'
            f'Request-Deadline: 6000\r\nToken-Usage: 787,126\r\nPrompt-Prefix: s:40,{attempt}:747\r\n'
            f'Length-Hint: 119\r\nContent-Length: {len(body)}\r\nContent-Type: application/json\r\n\r\n'
        )
        self.transport.write(head.encode() + body)

    def dataReceived(self, received: bytes) -> None:  # noqa: N802
        """Ends the call after the last chunk."""
        if not received.startswith(b'HTTP/1.1 200') and received.startswith(b'HTTP/'):
            CallerStandIn.refused += 1
        if received.endswith(b'0\r\n\r\n'):
            CallerStandIn.answered += 1
            self.transport.loseConnection()
