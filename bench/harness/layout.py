"""Places every process of a deployment: its name, zone, addresses and ports.

Each run has two loopback networks of its own. With the proxy, each host listens
on an address of the first and is reached through the proxy at one of the second,
so that the proxy knows who dials whom. Without it all share one address.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from bench.harness.plan import Deployment
from bench.harness.ports import Nets, free_ports, random_nets

ORIGIN_PLACE = 'origin'
CALLERS_PLACE = 'callers'
CALLERS_HOST = 250


class ProcessKind(StrEnum):
    """What a process is."""

    control = 'control'
    entry = 'entry'
    agent = 'agent'
    engine = 'engine'
    service = 'service'
    origin = 'origin'


@dataclass(frozen=True)
class ProcessSpec:
    """One process: two ports at most, and the upstream of an agent."""

    name: str
    kind: ProcessKind
    zone: str
    region: str
    address: str
    advertised: str
    ports: tuple[int, int]
    upstream: str = ''
    backend: str = ''

    def public_address(self, index: int) -> str:
        """Returns the ``host:port`` that others use for the first or second port."""
        return f'{self.advertised}:{self.ports[index]}'

    def listen_address(self, index: int) -> str:
        """Returns the ``host:port`` on which the process itself listens."""
        return f'{self.address}:{self.ports[index]}'


class Layout:
    """All places of a deployment, by name and by kind."""

    def __init__(self, places: list[ProcessSpec], callers_address: str) -> None:
        self.callers_address = callers_address
        self.processes = {place.name: place for place in places}

    def of_kind(self, kind: ProcessKind, zone: str = '') -> list[ProcessSpec]:
        """Returns the places of a kind, in one zone or in all."""
        found = [place for place in self.processes.values() if place.kind is kind]
        return [place for place in found if not zone or place.zone == zone]

    def upstreams_of(self, backend: str) -> list[str]:
        """Returns the names of the upstreams of a back end."""
        agents = self.of_kind(ProcessKind.agent)
        return [agent.upstream for agent in agents if agent.backend == backend]


@dataclass(frozen=True)
class _Wanted:
    name: str
    kind: ProcessKind
    zone: str
    upstream: str = ''
    backend: str = ''


@dataclass(frozen=True)
class _Spot:
    nets: Nets
    host: int


def make_layout(deployment: Deployment) -> Layout:
    """Chooses names, addresses and free ports."""
    wanted = [*_control(deployment), *_entries(deployment), *_upstreams(deployment)]
    wanted.append(_Wanted('origin', ProcessKind.origin, ORIGIN_PLACE))
    nets = random_nets()
    ports = iter(free_ports(len(wanted) * 2, nets.listening(0, 1)))
    hosts = itertools.count(1)
    places = [_place(deployment, each, _Spot(nets, next(hosts)), ports) for each in wanted]
    callers_address = nets.listening(0, CALLERS_HOST) if deployment.shaping else ''
    return Layout(places, callers_address)


def _place(
    deployment: Deployment, wanted: _Wanted, spot: _Spot, ports: Iterator[int]
) -> ProcessSpec:
    zones = [ORIGIN_PLACE, *deployment.zones]
    zone_number = zones.index(wanted.zone)
    proxied = deployment.shaping is not None
    nets = spot.nets
    shared = nets.listening(0, 1)
    return ProcessSpec(
        name=wanted.name,
        kind=wanted.kind,
        zone=wanted.zone,
        region=deployment.zones.get(wanted.zone, ORIGIN_PLACE),
        address=nets.listening(zone_number, spot.host) if proxied else shared,
        advertised=nets.advertised(zone_number, spot.host) if proxied else shared,
        ports=(next(ports), next(ports)),
        upstream=wanted.upstream,
        backend=wanted.backend,
    )


def _control(deployment: Deployment) -> Iterator[_Wanted]:
    zones = itertools.cycle(deployment.zones)
    for number in range(1, deployment.voters + 1):
        yield _Wanted(f'control-{number}', ProcessKind.control, next(zones))


def _entries(deployment: Deployment) -> Iterator[_Wanted]:
    for zone in deployment.zones:
        for number in range(1, deployment.entries_per_zone + 1):
            yield _Wanted(f'entry-{zone}-{number}', ProcessKind.entry, zone)


def _upstreams(deployment: Deployment) -> Iterator[_Wanted]:
    for zone in deployment.zones:
        for number in range(1, deployment.engines_per_zone + 1):
            engine = f'engine-{zone}-{number}'
            agent = f'agent-{zone}-{number}'
            yield _Wanted(engine, ProcessKind.engine, zone)
            yield _Wanted(agent, ProcessKind.agent, zone, engine, deployment.engine_backend)
    yield from _services(deployment)


def _services(deployment: Deployment) -> Iterator[_Wanted]:
    zones = itertools.cycle(deployment.zones)
    for number in range(1, deployment.services + 1):
        home = next(zones)
        service = f'service-{number}'
        agent = f'agent-service-{number}'
        yield _Wanted(service, ProcessKind.service, home)
        yield _Wanted(agent, ProcessKind.agent, home, service, deployment.service_backend)
