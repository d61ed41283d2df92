"""The two plain ways to spread a model, on the same shaped links."""

import threading
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from http.client import HTTPConnection
from http.server import SimpleHTTPRequestHandler, ThreadingHTTPServer

from bench.harness.fleet import Fleet
from bench.harness.layout import ProcessKind, ProcessSpec

READ_BYTES = 65536
TIMEOUT_SECONDS = 300.0


@dataclass(frozen=True)
class Baseline:
    """How long it took, and what the origin sent."""

    seconds: float
    origin_bytes: int


class _QuietHandler(SimpleHTTPRequestHandler):
    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Writes no access log."""


def draw_directly(fleet: Fleet, path: str) -> Baseline:
    """Every engine's host draws the whole file from the origin at once."""
    agents = _engine_agents(fleet)
    return _timed(fleet, lambda: _draw_all([(agent, _origin(fleet), path) for agent in agents]))


def draw_by_seeds(fleet: Fleet, path: str) -> Baseline:
    """One host of each zone draws from the origin; then the others copy from it."""
    by_zone: dict[str, list[ProcessSpec]] = {}
    for agent in _engine_agents(fleet):
        by_zone.setdefault(agent.zone, []).append(agent)
    seeds = [agents[0] for agents in by_zone.values()]

    def spread() -> None:
        _draw_all([(seed, _origin(fleet), path) for seed in seeds])
        for agents in by_zone.values():
            _copy(fleet, agents[0], agents[1:], path)

    return _timed(fleet, spread)


def _timed(fleet: Fleet, action: Callable[[], None]) -> Baseline:
    before_bytes = fleet.get_from_fake('origin', '/admin/counts')['bytes']
    begin = time.monotonic()
    action()
    seconds = time.monotonic() - begin
    drawn_bytes = fleet.get_from_fake('origin', '/admin/counts')['bytes'] - before_bytes
    return Baseline(seconds, drawn_bytes)


def _engine_agents(fleet: Fleet) -> list[ProcessSpec]:
    agents = fleet.layout.of_kind(ProcessKind.agent)
    return [agent for agent in agents if agent.backend == fleet.deployment.engine_backend]


def _origin(fleet: Fleet) -> str:
    return fleet.layout.processes['origin'].public_address(0)


def _copy(fleet: Fleet, seed: ProcessSpec, others: list[ProcessSpec], path: str) -> None:
    """Serves the file at the seed's address to the other hosts of its zone."""
    handler = partial(_QuietHandler, directory=str(fleet.folder / 'origin'))
    server = ThreadingHTTPServer((seed.address, 0), handler)
    serving = threading.Thread(target=server.serve_forever, daemon=True)
    serving.start()
    try:
        address = f'{seed.address}:{server.server_address[1]}'
        _draw_all([(other, address, path) for other in others])
    finally:
        server.shutdown()
        server.server_close()


def _draw_all(draws: list[tuple[ProcessSpec, str, str]]) -> None:
    threads = [threading.Thread(target=_draw, args=draw) for draw in draws]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _draw(place: ProcessSpec, address: str, path: str) -> None:
    host, _, port = address.rpartition(':')
    connection = HTTPConnection(host, int(port), TIMEOUT_SECONDS, (place.address, 0))
    connection.request('GET', path)
    response = connection.getresponse()
    pieces = iter(lambda: response.read(READ_BYTES), b'')
    deque(pieces, maxlen=0)
    connection.close()
