"""Starts the fault-injecting proxy of a fleet and sets its rules."""

import dataclasses
from typing import TYPE_CHECKING, Any

import yaml

from bench.harness.child import Child
from bench.harness.http import get, post
from bench.harness.layout import CALLERS_ZONE, ProcessSpec
from bench.harness.plan import Shaping
from bench.harness.ports import LOOPBACK, free_ports
from bench.proxy.rules import Rule

if TYPE_CHECKING:
    from bench.harness.fleet import Fleet


class ProxyControl:
    """Client of a running proxy's control API: adds and removes rules.

    A rule names where bytes come from and where they go: a process, a zone, a
    region, ``origin``, ``callers`` or ``*``.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def add(self, rule: Rule) -> None:
        """Adds a rule, which applies to one direction only."""
        post(self.address, '/rules', dataclasses.asdict(rule))

    def partition(self, one: str, other: str, both_ways: bool = True) -> None:
        """Stalls all bytes from ``one`` to ``other``; the connections stay open."""
        self.add(Rule(source=one, target=other, stall=True))
        if both_ways:
            self.add(Rule(source=other, target=one, stall=True))

    def isolate(self, name: str) -> None:
        """Stalls all bytes between a process or zone and all others."""
        self.partition(name, '*')

    def heal(self) -> None:
        """Removes every rule that was added since the start."""
        post(self.address, '/heal', {})

    def counts(self) -> Any:
        """Returns the bytes forwarded, by ``"source zone>target zone"``."""
        return get(self.address, '/counts')


@dataclasses.dataclass(frozen=True)
class ProxyProcess:
    """The proxy process and the client of its control API."""

    child: Child
    control: ProxyControl


def make_proxy(fleet: 'Fleet') -> ProxyProcess:
    """Writes the settings of the proxy and creates its process without starting it."""
    port = free_ports(1)[0]
    path = fleet.folder / 'proxy.yaml'
    shaping = fleet.deployment.shaping
    settings = {
        'control_port': port,
        'shaping': dataclasses.asdict(shaping or Shaping()),
        'places': [_process_settings(spec) for spec in fleet.layout.processes.values()],
    }
    callers = {
        'name': CALLERS_ZONE,
        'zone': CALLERS_ZONE,
        'region': CALLERS_ZONE,
        'address': fleet.layout.callers_address,
        'advertised': '',
        'ports': [],
    }
    settings['places'].append(callers)
    path.write_text(yaml.safe_dump(settings), 'utf8')
    child = fleet.add_child('proxy', 'bench.proxy.main', ['--settings', str(path)])
    return ProxyProcess(child, ProxyControl(f'{LOOPBACK}:{port}'))


def _process_settings(spec: ProcessSpec) -> dict[str, Any]:
    return {
        'name': spec.name,
        'zone': spec.zone,
        'region': spec.region,
        'address': spec.address,
        'advertised': spec.advertised,
        'ports': list(spec.ports),
    }
