"""Places every process of a deployment: its name, zone, addresses and ports.

With the proxy, each host listens on an address of its own (127.1.zone.host) and
is reached through the proxy at 127.2.zone.host, so that the proxy knows who
dials whom. Without it all share 127.0.0.1.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from bench.harness.plan import Deployment
from bench.harness.ports import free_ports

LOOPBACK = '127.0.0.1'
ORIGIN_PLACE = 'origin'
CALLERS_PLACE = 'callers'
CALLERS_ADDRESS = '127.1.0.250'


class Kind(StrEnum):
    """What a process is."""

    control = 'control'
    entry = 'entry'
    agent = 'agent'
    engine = 'engine'
    service = 'service'
    origin = 'origin'


@dataclass(frozen=True)
class Place:
    """One process: two ports at most, and the upstream of an agent."""

    name: str
    kind: Kind
    zone: str
    region: str
    address: str
    advertised: str
    ports: tuple[int, int]
    upstream: str = ''
    backend: str = ''

    def reached_at(self, index: int) -> str:
        """Returns the ``host:port`` that others use for the first or second port."""
        return f'{self.advertised}:{self.ports[index]}'

    def listens_at(self, index: int) -> str:
        """Returns the ``host:port`` on which the process itself listens."""
        return f'{self.address}:{self.ports[index]}'


class Layout:
    """All places of a deployment, by name and by kind."""

    def __init__(self, places: list[Place]) -> None:
        self.places = {place.name: place for place in places}

    def of_kind(self, kind: Kind, zone: str = '') -> list[Place]:
        """Returns the places of a kind, in one zone or in all."""
        found = [place for place in self.places.values() if place.kind is kind]
        return [place for place in found if not zone or place.zone == zone]

    def upstreams_of(self, backend: str) -> list[str]:
        """Returns the names of the upstreams of a back end."""
        agents = self.of_kind(Kind.agent)
        return [agent.upstream for agent in agents if agent.backend == backend]


@dataclass(frozen=True)
class _Wanted:
    name: str
    kind: Kind
    zone: str
    upstream: str = ''
    backend: str = ''


def make_layout(deployment: Deployment) -> Layout:
    """Chooses names, addresses and free ports."""
    wanted = [*_control(deployment), *_entries(deployment), *_upstreams(deployment)]
    wanted.append(_Wanted('origin', Kind.origin, ORIGIN_PLACE))
    ports = iter(free_ports(len(wanted) * 2))
    hosts = itertools.count(1)
    return Layout([_place(deployment, each, next(hosts), ports) for each in wanted])


def _place(deployment: Deployment, wanted: _Wanted, host: int, ports: Iterator[int]) -> Place:
    zones = [ORIGIN_PLACE, *deployment.zones]
    zone_number = zones.index(wanted.zone)
    proxied = deployment.shaping is not None
    return Place(
        name=wanted.name,
        kind=wanted.kind,
        zone=wanted.zone,
        region=deployment.zones.get(wanted.zone, ORIGIN_PLACE),
        address=f'127.1.{zone_number}.{host}' if proxied else LOOPBACK,
        advertised=f'127.2.{zone_number}.{host}' if proxied else LOOPBACK,
        ports=(next(ports), next(ports)),
        upstream=wanted.upstream,
        backend=wanted.backend,
    )


def _control(deployment: Deployment) -> Iterator[_Wanted]:
    zones = itertools.cycle(deployment.zones)
    for number in range(1, deployment.voters + 1):
        yield _Wanted(f'control-{number}', Kind.control, next(zones))


def _entries(deployment: Deployment) -> Iterator[_Wanted]:
    for zone in deployment.zones:
        for number in range(1, deployment.entries_per_zone + 1):
            yield _Wanted(f'entry-{zone}-{number}', Kind.entry, zone)


def _upstreams(deployment: Deployment) -> Iterator[_Wanted]:
    for zone in deployment.zones:
        for number in range(1, deployment.engines_per_zone + 1):
            engine = f'engine-{zone}-{number}'
            agent = f'agent-{zone}-{number}'
            yield _Wanted(engine, Kind.engine, zone)
            yield _Wanted(agent, Kind.agent, zone, engine, deployment.engine_backend)
    yield from _services(deployment)


def _services(deployment: Deployment) -> Iterator[_Wanted]:
    zones = itertools.cycle(deployment.zones)
    for number in range(1, deployment.services + 1):
        home = next(zones)
        service = f'service-{number}'
        agent = f'agent-service-{number}'
        yield _Wanted(service, Kind.service, home)
        yield _Wanted(agent, Kind.agent, home, service, deployment.service_backend)
