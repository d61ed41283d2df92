"""The faults of ``bench burst --fault NAME``, each caused in the middle of the burst."""

import resource
from collections.abc import Callable
from dataclasses import dataclass

from bench.harness.fleet import Fleet
from bench.harness.layout import ProcessKind
from bench.proxy.rules import Rule

CAUSE_AT_SHARE = 0.4
HEAL_AFTER_SECONDS = 6.0
SMALL_FILE_BYTES = 65536

Act = Callable[[Fleet], None]


@dataclass(frozen=True)
class Recipe:
    """What a fault does and how it ends; ``reaches_all`` is false when nothing may be loaded."""

    cause: Act
    heal: Act | None = None
    reaches_all: bool = True
    lost_per_zone_share: float = 0
    at_share: float = CAUSE_AT_SHARE


class Fault:
    """Causes one recipe once the burst has come far enough, and heals it later."""

    def __init__(self, name: str, recipe: Recipe) -> None:
        self.name = name
        self.reaches_all = recipe.reaches_all
        self.lost = 0
        self._recipe = recipe
        self._caused_at_seconds: float | None = None
        self._healed = recipe.heal is None

    def step(self, fleet: Fleet, drawn_share: float, now_seconds: float) -> None:
        """Looks whether it is time."""
        if self._caused_at_seconds is None:
            if drawn_share >= self._recipe.at_share:
                self._caused_at_seconds = now_seconds
                self._recipe.cause(fleet)
                self.lost = _lost(fleet, self._recipe)
        elif not self._healed and now_seconds - self._caused_at_seconds > HEAL_AFTER_SECONDS:
            self._healed = True
            if self._recipe.heal is not None:
                self._recipe.heal(fleet)

    def is_over(self) -> bool:
        """Tells whether it has been caused and healed."""
        return self._caused_at_seconds is not None and self._healed


def make_fault(name: str) -> Fault | None:
    """Makes a fault by name; an empty name is none."""
    return Fault(name, FAULTS[name]) if name else None


def _lost(fleet: Fleet, recipe: Recipe) -> int:
    if not recipe.lost_per_zone_share:
        return 0
    zone = next(iter(fleet.deployment.zones))
    return _half(len(fleet.names(ProcessKind.engine, zone)))


def _half(count: int) -> int:
    return max(1, count // 2)


def _first(fleet: Fleet, kind: ProcessKind, zone_number: int = 0) -> str:
    zone = list(fleet.deployment.zones)[zone_number]
    return fleet.names(kind, zone)[0]


def _kill_agent(fleet: Fleet) -> None:
    fleet.kill(_first(fleet, ProcessKind.agent))


def _restart_agent(fleet: Fleet) -> None:
    fleet.restart(_first(fleet, ProcessKind.agent))


def _freeze_agent(fleet: Fleet) -> None:
    fleet.freeze(_first(fleet, ProcessKind.agent))


def _thaw_agent(fleet: Fleet) -> None:
    fleet.unfreeze(_first(fleet, ProcessKind.agent))


def _kill_half(fleet: Fleet) -> None:
    zone = next(iter(fleet.deployment.zones))
    engines = fleet.names(ProcessKind.engine, zone)
    for engine in engines[: _half(len(engines))]:
        fleet.kill(engine)
        fleet.kill(engine.replace('engine-', 'agent-', 1))


def _kill_tracker(fleet: Fleet) -> None:
    fleet.kill(_first(fleet, ProcessKind.entry))


def _restart_tracker(fleet: Fleet) -> None:
    fleet.restart(_first(fleet, ProcessKind.entry))


def _corrupt_peer(fleet: Fleet) -> None:
    zone = next(iter(fleet.deployment.zones))
    bad, *others = fleet.names(ProcessKind.agent, zone)
    for other in others:
        _add(fleet, Rule(source=bad, target=other, corrupt_share=1))


def _cut_zone(fleet: Fleet) -> None:
    if fleet.proxy is not None:
        fleet.proxy.isolate(list(fleet.deployment.zones)[1])


def _heal_links(fleet: Fleet) -> None:
    if fleet.proxy is not None:
        fleet.proxy.heal()


def _kill_leader(fleet: Fleet) -> None:
    status = fleet.admin('GET', '/v1/status').content
    fleet.kill(status.get('leader') or _first(fleet, ProcessKind.control))


def _restart_controls(fleet: Fleet) -> None:
    for name in fleet.names(ProcessKind.control):
        if not fleet.children[name].is_running():
            fleet.restart(name)


def _restart_engine(fleet: Fleet) -> None:
    fleet.restart(_first(fleet, ProcessKind.engine))


def _fill_disk(fleet: Fleet) -> None:
    _limit_files(fleet, SMALL_FILE_BYTES)


def _free_disk(fleet: Fleet) -> None:
    _limit_files(fleet, resource.RLIM_INFINITY)


def _limit_files(fleet: Fleet, limit_bytes: int) -> None:
    pid = fleet.children[_first(fleet, ProcessKind.agent)].pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit_bytes, resource.RLIM_INFINITY))


def _add(fleet: Fleet, rule: Rule) -> None:
    if fleet.proxy is None:
        raise AssertionError('links are faulted by the proxy')
    fleet.proxy.add(rule)


def _origin(kind: str, share: float) -> Act:
    def cause(fleet: Fleet) -> None:
        content = {'kind': kind, 'share': share, 'retry_after_seconds': 2}
        fleet.post_to_fake('origin', '/admin/fault', content)

    return cause


def _both(one: Act, other: Act) -> Act:
    def act(fleet: Fleet) -> None:
        one(fleet)
        other(fleet)

    return act


_WELL = _origin('none', 0)

FAULTS = {
    'agent-killed': Recipe(_kill_agent, _restart_agent),
    'agent-frozen': Recipe(_freeze_agent, _thaw_agent),
    'half-zone-lost': Recipe(_kill_half, lost_per_zone_share=0.5),
    'tracker-killed': Recipe(_kill_tracker, _restart_tracker),
    'corrupt-peer': Recipe(_corrupt_peer),
    'zone-cut': Recipe(_cut_zone, _heal_links),
    'origin-changed': Recipe(_origin('change', 1), reaches_all=False),
    'origin-corrupt': Recipe(_origin('corrupt', 0.1), _WELL),
    'origin-slow': Recipe(_origin('slow', 0.3), _WELL),
    'origin-stall': Recipe(_origin('stall', 0.2), _WELL),
    'origin-busy': Recipe(_origin('429', 0.5), _WELL),
    'origin-failing': Recipe(_origin('503', 1), _WELL),
    'origin-cut': Recipe(_origin('cut', 0.5), _WELL),
    'origin-lies': Recipe(_origin('lie-length', 0.5), _WELL),
    'leader-lost': Recipe(_kill_leader, _restart_controls),
    'engine-restarts': Recipe(_restart_engine, at_share=0.99),
    'disk-full': Recipe(_fill_disk, _free_disk),
    'tracker-and-agent': Recipe(
        _both(_kill_tracker, _kill_agent), _both(_restart_tracker, _restart_agent)
    ),
    'zone-cut-and-agent': Recipe(
        _both(_cut_zone, _kill_agent), _both(_heal_links, _restart_agent)
    ),
}
