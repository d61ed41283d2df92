"""Starts the fault-injecting proxy of a fleet and sets its rules."""

import dataclasses
from typing import TYPE_CHECKING, Any

import yaml

from bench.harness.child import Child
from bench.harness.http import get, post
from bench.harness.layout import CALLERS_PLACE, ProcessSpec
from bench.harness.plan import Shaping
from bench.harness.ports import LOOPBACK, free_ports
from bench.proxy.rules import Rule

if TYPE_CHECKING:
    from bench.harness.fleet import Fleet


class ProxyControl:
    """Sets and lifts the rules of a running proxy.

    A rule names where bytes come from and where they go: a process, a zone, a
    region, ``origin``, ``callers`` or ``*``.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def add(self, rule: Rule) -> None:
        """Adds a rule for one direction."""
        post(self.address, '/rules', dataclasses.asdict(rule))

    def partition(self, one: str, other: str, both_ways: bool = True) -> None:
        """Holds back every byte from one to the other, silently."""
        self.add(Rule(source=one, target=other, stall=True))
        if both_ways:
            self.add(Rule(source=other, target=one, stall=True))

    def isolate(self, name: str) -> None:
        """Cuts a process or zone off from all others, silently."""
        self.partition(name, '*')

    def heal(self) -> None:
        """Lifts every rule that was added after the start."""
        post(self.address, '/heal', {})

    def counts(self) -> Any:
        """Returns the bytes passed, by ``"source zone>target zone"``."""
        return get(self.address, '/counts')


@dataclasses.dataclass(frozen=True)
class Proxy:
    """The process and its control."""

    child: Child
    control: ProxyControl


def make_proxy(fleet: 'Fleet') -> Proxy:
    """Writes the settings of the proxy and makes its process."""
    port = free_ports(1)[0]
    path = fleet.folder / 'proxy.yaml'
    shaping = fleet.deployment.shaping
    settings = {
        'control_port': port,
        'shaping': dataclasses.asdict(shaping or Shaping()),
        'places': [_describe(place) for place in fleet.layout.processes.values()],
    }
    callers = {
        'name': CALLERS_PLACE,
        'zone': CALLERS_PLACE,
        'region': CALLERS_PLACE,
        'address': fleet.layout.callers_address,
        'advertised': '',
        'ports': [],
    }
    settings['places'].append(callers)
    path.write_text(yaml.safe_dump(settings), 'utf8')
    child = fleet.add_child('proxy', 'bench.proxy.main', ['--settings', str(path)])
    return Proxy(child, ProxyControl(f'{LOOPBACK}:{port}'))


def _describe(place: ProcessSpec) -> dict[str, Any]:
    return {
        'name': place.name,
        'zone': place.zone,
        'region': place.region,
        'address': place.address,
        'advertised': place.advertised,
        'ports': list(place.ports),
    }
