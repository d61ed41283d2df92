"""Baselines of the burst: two simple ways to distribute a model over the same shaped links."""

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
    """Seconds until every host has the file, and bytes that the origin sent."""

    seconds: float
    origin_bytes: int


class _QuietHandler(SimpleHTTPRequestHandler):
    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Suppresses the access log."""


def fetch_directly(fleet: Fleet, path: str) -> Baseline:
    """Fetches the whole file from the origin to every engine's host, all at the same time."""
    agents = _engine_agents(fleet)
    return _measure(
        fleet, lambda: _fetch_all([(agent, _origin_address(fleet), path) for agent in agents])
    )


def fetch_by_seeds(fleet: Fleet, path: str) -> Baseline:
    """Fetches from the origin to one host of each zone, then copies to the others of the zone."""
    by_zone: dict[str, list[ProcessSpec]] = {}
    for agent in _engine_agents(fleet):
        by_zone.setdefault(agent.zone, []).append(agent)
    seeds = [agents[0] for agents in by_zone.values()]

    def distribute() -> None:
        _fetch_all([(seed, _origin_address(fleet), path) for seed in seeds])
        for agents in by_zone.values():
            _copy_within_zone(fleet, agents[0], agents[1:], path)

    return _measure(fleet, distribute)


def _measure(fleet: Fleet, action: Callable[[], None]) -> Baseline:
    before_bytes = fleet.get_from_fake('origin', '/admin/counts')['bytes']
    start = time.monotonic()
    action()
    seconds = time.monotonic() - start
    fetched_bytes = fleet.get_from_fake('origin', '/admin/counts')['bytes'] - before_bytes
    return Baseline(seconds, fetched_bytes)


def _engine_agents(fleet: Fleet) -> list[ProcessSpec]:
    agents = fleet.layout.of_kind(ProcessKind.agent)
    return [agent for agent in agents if agent.backend == fleet.deployment.engine_backend]


def _origin_address(fleet: Fleet) -> str:
    return fleet.layout.processes['origin'].public_address(0)


def _copy_within_zone(
    fleet: Fleet, seed: ProcessSpec, others: list[ProcessSpec], path: str
) -> None:
    """Serves the file from the seed's address; the other hosts of its zone fetch it there."""
    handler = partial(_QuietHandler, directory=str(fleet.folder / 'origin'))
    server = ThreadingHTTPServer((seed.address, 0), handler)
    server_thread = threading.Thread(target=server.serve_forever, daemon=True)
    server_thread.start()
    try:
        address = f'{seed.address}:{server.server_address[1]}'
        _fetch_all([(other, address, path) for other in others])
    finally:
        server.shutdown()
        server.server_close()


def _fetch_all(fetches: list[tuple[ProcessSpec, str, str]]) -> None:
    threads = [threading.Thread(target=_fetch, args=fetch) for fetch in fetches]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _fetch(receiver: ProcessSpec, address: str, path: str) -> None:
    host, _, port = address.rpartition(':')
    connection = HTTPConnection(host, int(port), TIMEOUT_SECONDS, (receiver.address, 0))
    connection.request('GET', path)
    response = connection.getresponse()
    blocks = iter(lambda: response.read(READ_BYTES), b'')
    deque(blocks, maxlen=0)
    connection.close()
