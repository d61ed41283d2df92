"""The fault-injecting proxy: every link of a deployment passes through this process.

It identifies the connecting process by its source address, and the target by the
address on which the proxy listens for it. ``POST /rules`` adds a rule, ``POST /heal``
removes all rules, ``GET /counts`` returns the bytes forwarded between zones.
"""

import random
from collections import defaultdict, deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml
from cyclopts import App
from twisted.internet import protocol
from twisted.internet import reactor as installed_reactor
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from bench.fakes.web import JsonResource, read_json
from bench.proxy.rules import ANY, Effect, Party, Rule, SharedLink, combine, matching_rules
from jackdawsail import events

MAX_QUEUED_BYTES = 256 * 1024
CALLERS_PARTY = Party('callers', 'callers', 'callers')  # also any unknown source address


class ProxyNetwork:
    """The rules, the shared links between regions and the open connections."""

    def __init__(self, reactor: Any, shaping: dict[str, float], rng: random.Random) -> None:
        self.reactor = reactor
        self.rng = rng
        self.rules: list[Rule] = []
        self.parties: dict[str, Party] = {}
        self.counts: dict[str, int] = defaultdict(int)
        self.pipes: set[Pipe] = set()
        self._shaping = shaping
        self._links: dict[tuple[str, str], SharedLink] = {}

    def effect_on(self, source: Party, target: Party) -> Effect:
        """Returns the current effect on bytes in one direction."""
        rules = matching_rules(self.rules, source, target)
        base = Rule(ANY, ANY, delay_seconds=self._base_delay(source, target))
        return combine([base, *rules])

    def links_between(self, source: Party, target: Party) -> list[SharedLink]:
        """Returns the rate-limited links that bytes of one direction pass through."""
        links = []
        rate = self._shaping.get('region_bits_per_second', 0)
        if (
            rate
            and source.region != target.region
            and CALLERS_PARTY.zone not in {source.zone, target.zone}
        ):
            links.append(self._link(source.region, target.region, rate))
        for rule in matching_rules(self.rules, source, target):
            if rule.bits_per_second:
                links.append(self._link(rule.source, rule.target, rule.bits_per_second))
        return links

    def set_rules(self, rules: list[Rule]) -> None:
        """Replaces the rules and applies them to queued bytes and open connections."""
        self.rules = rules
        for pipe in list(self.pipes):
            pipe.refresh()

    def _link(self, source: str, target: str, rate: float) -> SharedLink:
        return self._links.setdefault((source, target), SharedLink(rate))

    def _base_delay(self, source: Party, target: Party) -> float:
        shaping = self._shaping
        if CALLERS_PARTY.zone in {source.zone, target.zone}:
            return shaping.get('caller_delay_seconds', 0)
        if source.region != target.region:
            return shaping.get('region_delay_seconds', 0)
        if source.zone != target.zone:
            return shaping.get('zone_delay_seconds', 0)
        return 0


@dataclass(frozen=True)
class Piece:
    """Received bytes and the earliest time at which to forward them."""

    due_seconds: float
    body: bytes


class Pipe:
    """One direction of a proxied connection."""

    def __init__(self, network: ProxyNetwork, source: Party, target: Party) -> None:
        self.reader: Any = None
        self.writer: Any = None
        self._network = network
        self._source = source
        self._target = target
        self._queued: deque[Piece] = deque()
        self._queued_bytes = 0
        self._timer: Any = None
        self._ended = False
        self._has_dropped_bytes = False
        network.pipes.add(self)

    def feed(self, body: bytes) -> None:
        """Applies the rules to received bytes and queues what is not dropped.

        Pauses reading while more than ``MAX_QUEUED_BYTES`` are queued.
        """
        effect = self._network.effect_on(self._source, self._target)
        now = self._network.reactor.seconds()
        if effect.drop:
            self._has_dropped_bytes = True
            return
        if self._network.rng.random() < effect.corrupt_share:
            body = _flip_bit(body, self._network.rng)
        links = self._network.links_between(self._source, self._target)
        passed_seconds = max((link.reserve(len(body), now) for link in links), default=now)
        self._queued.append(Piece(passed_seconds + effect.delay_seconds, body))
        self._queued_bytes += len(body)
        if self._queued_bytes > MAX_QUEUED_BYTES:
            self.reader.pauseProducing()
        self._flush()

    def end(self) -> None:
        """Handles the close of the sending side; closes the other after the last byte."""
        self._ended = True
        self._flush()

    def discard(self) -> None:
        """Drops all queued bytes, since the receiving side is closed."""
        self._network.pipes.discard(self)
        self._queued.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def refresh(self) -> None:
        """Applies changed rules to the connection and its queued bytes.

        Aborts a connection with dropped bytes once the rule that dropped them is removed.
        """
        effect = self._network.effect_on(self._source, self._target)
        if effect.cut or (self._has_dropped_bytes and not effect.drop):
            self._abort()
            return
        self._flush()

    def _abort(self) -> None:
        for transport in (self.reader, self.writer):
            if transport is not None:
                transport.abortConnection()

    def _flush(self) -> None:
        if self.writer is None or self._network.effect_on(self._source, self._target).stall:
            return
        now = self._network.reactor.seconds()
        while self._queued and self._queued[0].due_seconds <= now:
            self._write(self._queued.popleft())
        if self._queued:
            self._schedule_flush(self._queued[0].due_seconds - now)
        elif self._ended:
            self._network.pipes.discard(self)
            self.writer.loseConnection()

    def _write(self, piece: Piece) -> None:
        self._queued_bytes -= len(piece.body)
        self._network.counts[f'{self._source.zone}>{self._target.zone}'] += len(piece.body)
        self.writer.write(piece.body)
        if self._queued_bytes <= MAX_QUEUED_BYTES and self.reader is not None and not self._ended:
            self.reader.resumeProducing()

    def _schedule_flush(self, wait_seconds: float) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._network.reactor.callLater(wait_seconds, self._flush)


def _flip_bit(body: bytes, rng: random.Random) -> bytes:
    corrupted = bytearray(body)
    corrupted[rng.randrange(len(corrupted))] ^= 1
    return bytes(corrupted)


class ConnectionEnd(protocol.Protocol):
    """One end of a proxied connection: feeds ``inward`` and is written to by ``outward``."""

    transport: Any

    def __init__(self, inward: Pipe, outward: Pipe) -> None:
        self._inward = inward
        self._outward = outward

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._inward.reader = self.transport
        self._outward.writer = self.transport
        self._outward.refresh()

    def dataReceived(self, received: bytes) -> None:
        self._inward.feed(received)

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:
        self._outward.discard()
        self._inward.end()


class TargetFactory(protocol.ClientFactory):
    """Connects the proxy to the real address of the target."""

    noisy = False

    def __init__(self, end: ConnectionEnd, forward: Pipe) -> None:
        self._end = end
        self._forward = forward

    def buildProtocol(self, addr: Any) -> ConnectionEnd:
        return self._end

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._forward.reader.abortConnection()


class ListenerFactory(protocol.Factory):
    """Accepts connections on behalf of one port of one process."""

    noisy = False

    def __init__(
        self, network: ProxyNetwork, target: Party, target_address: tuple[str, int]
    ) -> None:
        self._network = network
        self._target = target
        self._target_address = target_address

    def buildProtocol(self, addr: Any) -> ConnectionEnd | None:
        source = self._network.parties.get(addr.host, CALLERS_PARTY)
        if self._network.effect_on(source, self._target).cut:
            return None
        forward = Pipe(self._network, source, self._target)
        backward = Pipe(self._network, self._target, source)
        factory = TargetFactory(ConnectionEnd(backward, forward), forward)
        self._network.reactor.connectTCP(*self._target_address, factory)
        return ConnectionEnd(forward, backward)


class Rules(JsonResource):
    """``POST /rules``."""

    def __init__(self, network: ProxyNetwork) -> None:
        super().__init__()
        self._network = network

    def on_post(self, request: Request) -> Any:
        self._network.set_rules([*self._network.rules, Rule(**read_json(request))])
        return {'rules': len(self._network.rules)}


class Heal(JsonResource):
    """``POST /heal``."""

    def __init__(self, network: ProxyNetwork) -> None:
        super().__init__()
        self._network = network

    def on_post(self, _request: Request) -> Any:
        self._network.set_rules([])
        return {}


class Counts(JsonResource):
    """``GET /counts``."""

    def __init__(self, network: ProxyNetwork) -> None:
        super().__init__()
        self._network = network

    def on_get(self, _request: Request) -> Any:
        return dict(self._network.counts)


app = App(help='A fault-injecting TCP proxy.')


@app.default
def main(*, settings: Path) -> None:
    """Runs the proxy that a settings file describes."""
    document = yaml.safe_load(settings.read_text('utf8'))
    events.configure_logging('proxy', 'proxy')
    reactor: Any = installed_reactor
    network = ProxyNetwork(reactor, document['shaping'], random.Random(0))
    for process in document['places']:
        _listen(network, process)
    root = Resource()
    root.putChild(b'rules', Rules(network))
    root.putChild(b'heal', Heal(network))
    root.putChild(b'counts', Counts(network))
    port = reactor.listenTCP(document['control_port'], Site(root), interface='127.0.0.1')
    events.log(events.PROCESS_READY, port=port.getHost().port)
    reactor.run()


def _listen(network: ProxyNetwork, process: dict[str, Any]) -> None:
    party = Party(process['name'], process['zone'], process['region'])
    network.parties[process['address']] = party
    for port in process['ports']:
        factory = ListenerFactory(network, party, (process['address'], port))
        network.reactor.listenTCP(port, factory, interface=process['advertised'], backlog=512)


if __name__ == '__main__':
    app()
