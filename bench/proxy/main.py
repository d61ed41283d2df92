"""The fault-injecting proxy: every link of a deployment passes through this process.

It knows the dialling host by its source address and the dialled one by the
address on which it listens for it. ``POST /rules`` adds a rule, ``POST /heal``
lifts all added ones, ``GET /counts`` tells the bytes passed.
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
from bench.proxy.rules import ANY, Effect, Party, Rule, SharedLink, applying, combine
from jackdawsail import events

MAX_HELD_BYTES = 256 * 1024
STRANGER = Party('callers', 'callers', 'callers')


class Net:
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

    def effect(self, source: Party, target: Party) -> Effect:
        """Returns what happens to bytes in one direction just now."""
        found = applying(self.rules, source, target)
        base = Rule(ANY, ANY, delay_seconds=self._base_delay(source, target))
        return combine([base, *found])

    def links(self, source: Party, target: Party) -> list[SharedLink]:
        """Returns the rate-limited links that bytes of one direction pass."""
        found = []
        rate = self._shaping.get('region_bits_per_second', 0)
        if (
            rate
            and source.region != target.region
            and STRANGER.zone not in {source.zone, target.zone}
        ):
            found.append(self._link(source.region, target.region, rate))
        for rule in applying(self.rules, source, target):
            if rule.bits_per_second:
                found.append(self._link(rule.source, rule.target, rule.bits_per_second))
        return found

    def change(self, rules: list[Rule]) -> None:
        """Puts rules in force, also on what is under way."""
        self.rules = rules
        for pipe in list(self.pipes):
            pipe.refresh()

    def _link(self, source: str, target: str, rate: float) -> SharedLink:
        return self._links.setdefault((source, target), SharedLink(rate))

    def _base_delay(self, source: Party, target: Party) -> float:
        shaping = self._shaping
        if STRANGER.zone in {source.zone, target.zone}:
            return shaping.get('caller_delay_seconds', 0)
        if source.region != target.region:
            return shaping.get('region_delay_seconds', 0)
        if source.zone != target.zone:
            return shaping.get('zone_delay_seconds', 0)
        return 0


@dataclass(frozen=True)
class Piece:
    """Bytes and the time at which they may leave the proxy."""

    due_seconds: float
    body: bytes


class Pipe:
    """One direction of one connection."""

    def __init__(self, net: Net, source: Party, target: Party) -> None:
        self.reader: Any = None
        self.writer: Any = None
        self._net = net
        self._source = source
        self._target = target
        self._held: deque[Piece] = deque()
        self._held_bytes = 0
        self._timer: Any = None
        self._ended = False
        self._hole = False
        net.pipes.add(self)

    def feed(self, body: bytes) -> None:
        """Takes bytes that have come in."""
        effect = self._net.effect(self._source, self._target)
        now = self._net.reactor.seconds()
        if effect.drop:
            self._hole = True
            return
        if self._net.rng.random() < effect.corrupt_share:
            body = _flip(body, self._net.rng)
        links = self._net.links(self._source, self._target)
        passed = max((link.passes_at(len(body), now) for link in links), default=now)
        self._held.append(Piece(passed + effect.delay_seconds, body))
        self._held_bytes += len(body)
        if self._held_bytes > MAX_HELD_BYTES:
            self.reader.pauseProducing()
        self._pump()

    def end(self) -> None:
        """The sending side has closed; the other side hears of it after the last byte."""
        self._ended = True
        self._pump()

    def discard(self) -> None:
        """Forgets what is held; the receiving side is gone."""
        self._net.pipes.discard(self)
        self._held.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def refresh(self) -> None:
        """Follows a change of the rules."""
        effect = self._net.effect(self._source, self._target)
        if effect.cut or (self._hole and not effect.drop):
            self._abort()
            return
        self._pump()

    def _abort(self) -> None:
        for transport in (self.reader, self.writer):
            if transport is not None:
                transport.abortConnection()

    def _pump(self) -> None:
        if self.writer is None or self._net.effect(self._source, self._target).stall:
            return
        now = self._net.reactor.seconds()
        while self._held and self._held[0].due_seconds <= now:
            self._write(self._held.popleft())
        if self._held:
            self._wake_at(self._held[0].due_seconds - now)
        elif self._ended:
            self._net.pipes.discard(self)
            self.writer.loseConnection()

    def _write(self, piece: Piece) -> None:
        self._held_bytes -= len(piece.body)
        self._net.counts[f'{self._source.zone}>{self._target.zone}'] += len(piece.body)
        self.writer.write(piece.body)
        if self._held_bytes <= MAX_HELD_BYTES and self.reader is not None and not self._ended:
            self.reader.resumeProducing()

    def _wake_at(self, wait_seconds: float) -> None:
        if self._timer is None or not self._timer.active():
            self._timer = self._net.reactor.callLater(wait_seconds, self._pump)


def _flip(body: bytes, rng: random.Random) -> bytes:
    damaged = bytearray(body)
    damaged[rng.randrange(len(damaged))] ^= 1
    return bytes(damaged)


class Side(protocol.Protocol):
    """One end of a proxied connection: reads into one pipe, is written by the other."""

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


class Dialled(protocol.ClientFactory):
    """Connects on to the real address."""

    noisy = False

    def __init__(self, side: Side, caller: Pipe) -> None:
        self._side = side
        self._caller = caller

    def buildProtocol(self, addr: Any) -> Side:
        return self._side

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._caller.reader.abortConnection()


class Listening(protocol.Factory):
    """Listens in place of one port of one host."""

    noisy = False

    def __init__(self, net: Net, target: Party, real: tuple[str, int]) -> None:
        self._net = net
        self._target = target
        self._real = real

    def buildProtocol(self, addr: Any) -> Side | None:
        source = self._net.parties.get(addr.host, STRANGER)
        if self._net.effect(source, self._target).cut:
            return None
        there = Pipe(self._net, source, self._target)
        back = Pipe(self._net, self._target, source)
        factory = Dialled(Side(back, there), there)
        self._net.reactor.connectTCP(*self._real, factory)
        return Side(there, back)


class Rules(JsonResource):
    """``POST /rules``."""

    def __init__(self, net: Net) -> None:
        super().__init__()
        self._net = net

    def on_post(self, request: Request) -> Any:
        self._net.change([*self._net.rules, Rule(**read_json(request))])
        return {'rules': len(self._net.rules)}


class Heal(JsonResource):
    """``POST /heal``."""

    def __init__(self, net: Net) -> None:
        super().__init__()
        self._net = net

    def on_post(self, _request: Request) -> Any:
        self._net.change([])
        return {}


class Counts(JsonResource):
    """``GET /counts``."""

    def __init__(self, net: Net) -> None:
        super().__init__()
        self._net = net

    def on_get(self, _request: Request) -> Any:
        return dict(self._net.counts)


app = App(help='A fault-injecting TCP proxy.')


@app.default
def main(*, settings: Path) -> None:
    """Runs the proxy."""
    document = yaml.safe_load(settings.read_text('utf8'))
    events.configure_logging('proxy', 'proxy')
    reactor: Any = installed_reactor
    net = Net(reactor, document['shaping'], random.Random(0))
    for place in document['places']:
        _listen(net, place)
    root = Resource()
    root.putChild(b'rules', Rules(net))
    root.putChild(b'heal', Heal(net))
    root.putChild(b'counts', Counts(net))
    port = reactor.listenTCP(document['control_port'], Site(root), interface='127.0.0.1')
    events.log(events.PROCESS_READY, port=port.getHost().port)
    reactor.run()


def _listen(net: Net, place: dict[str, Any]) -> None:
    party = Party(place['name'], place['zone'], place['region'])
    net.parties[place['address']] = party
    for port in place['ports']:
        factory = Listening(net, party, (place['address'], port))
        net.reactor.listenTCP(port, factory, interface=place['advertised'], backlog=512)


if __name__ == '__main__':
    app()
