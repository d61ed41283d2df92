"""Assigns a name, zone, addresses and ports to every process of a deployment.

Each run has two loopback networks of its own. With the proxy, each process listens
on its own address in the first network, and the proxy listens for it on an address in
the second, so that the proxy can tell both ends of a connection from their addresses.
Without the proxy all processes share one address.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from bench.harness.plan import Deployment
from bench.harness.ports import LoopbackNetworks, free_ports, random_networks

ORIGIN_ZONE = 'origin'
CALLERS_ZONE = 'callers'
CALLERS_HOST_NUMBER = 250


class ProcessKind(StrEnum):
    """The program that a process runs."""

    control = 'control'
    entry = 'entry'
    agent = 'agent'
    engine = 'engine'
    service = 'service'
    origin = 'origin'


@dataclass(frozen=True)
class ProcessSpec:
    """One process with two ports at most; ``upstream`` and ``backend`` are set for agents.

    ``address`` is where it listens, ``advertised`` where others connect to it.
    """

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
        """Returns the ``host:port`` at which others reach the first or second port."""
        return f'{self.advertised}:{self.ports[index]}'

    def listen_address(self, index: int) -> str:
        """Returns the ``host:port`` on which the process itself listens, behind the proxy."""
        return f'{self.address}:{self.ports[index]}'


class Layout:
    """All processes of a deployment, by name and by kind."""

    def __init__(self, specs: list[ProcessSpec], callers_address: str) -> None:
        self.callers_address = callers_address
        self.processes = {spec.name: spec for spec in specs}

    def of_kind(self, kind: ProcessKind, zone: str = '') -> list[ProcessSpec]:
        """Returns the processes of a kind, in one zone or in all."""
        of_kind = [spec for spec in self.processes.values() if spec.kind is kind]
        return [spec for spec in of_kind if not zone or spec.zone == zone]

    def upstreams_of(self, backend: str) -> list[str]:
        """Returns the names of the engines or services of a back end."""
        agents = self.of_kind(ProcessKind.agent)
        return [agent.upstream for agent in agents if agent.backend == backend]


@dataclass(frozen=True)
class _PlannedProcess:
    name: str
    kind: ProcessKind
    zone: str
    upstream: str = ''
    backend: str = ''


@dataclass(frozen=True)
class _Host:
    networks: LoopbackNetworks
    number: int


def make_layout(deployment: Deployment) -> Layout:
    """Chooses names, addresses and free ports for the processes of a deployment."""
    planned = [*_control(deployment), *_entries(deployment), *_upstreams(deployment)]
    planned.append(_PlannedProcess('origin', ProcessKind.origin, ORIGIN_ZONE))
    networks = random_networks()
    ports = iter(free_ports(len(planned) * 2, networks.host_address(0, 1)))
    numbers = itertools.count(1)
    specs = [
        _make_spec(deployment, each, _Host(networks, next(numbers)), ports) for each in planned
    ]
    callers_address = networks.host_address(0, CALLERS_HOST_NUMBER) if deployment.shaping else ''
    return Layout(specs, callers_address)


def _make_spec(
    deployment: Deployment, planned: _PlannedProcess, host: _Host, ports: Iterator[int]
) -> ProcessSpec:
    zones = [ORIGIN_ZONE, *deployment.zones]
    zone_number = zones.index(planned.zone)
    proxied = deployment.shaping is not None
    networks = host.networks
    shared = networks.host_address(0, 1)
    return ProcessSpec(
        name=planned.name,
        kind=planned.kind,
        zone=planned.zone,
        region=deployment.zones.get(planned.zone, ORIGIN_ZONE),
        address=networks.host_address(zone_number, host.number) if proxied else shared,
        advertised=networks.proxy_address(zone_number, host.number) if proxied else shared,
        ports=(next(ports), next(ports)),
        upstream=planned.upstream,
        backend=planned.backend,
    )


def _control(deployment: Deployment) -> Iterator[_PlannedProcess]:
    zones = itertools.cycle(deployment.zones)
    for number in range(1, deployment.voters + 1):
        yield _PlannedProcess(f'control-{number}', ProcessKind.control, next(zones))


def _entries(deployment: Deployment) -> Iterator[_PlannedProcess]:
    for zone in deployment.zones:
        for number in range(1, deployment.entries_per_zone + 1):
            yield _PlannedProcess(f'entry-{zone}-{number}', ProcessKind.entry, zone)


def _upstreams(deployment: Deployment) -> Iterator[_PlannedProcess]:
    for zone in deployment.zones:
        for number in range(1, deployment.engines_per_zone + 1):
            engine = f'engine-{zone}-{number}'
            agent = f'agent-{zone}-{number}'
            yield _PlannedProcess(engine, ProcessKind.engine, zone)
            yield _PlannedProcess(
                agent, ProcessKind.agent, zone, engine, deployment.engine_backend
            )
    yield from _services(deployment)


def _services(deployment: Deployment) -> Iterator[_PlannedProcess]:
    zones = itertools.cycle(deployment.zones)
    for number in range(1, deployment.services + 1):
        zone = next(zones)
        service = f'service-{number}'
        agent = f'agent-service-{number}'
        yield _PlannedProcess(service, ProcessKind.service, zone)
        yield _PlannedProcess(agent, ProcessKind.agent, zone, service, deployment.service_backend)
