"""The faults of ``bench burst --fault NAME``, each caused during the burst."""

import resource
from collections.abc import Callable
from dataclasses import dataclass

from bench.harness.fleet import Fleet
from bench.harness.layout import ProcessKind
from bench.proxy.rules import Rule

CAUSE_AT_SHARE = 0.4
HEAL_AFTER_SECONDS = 6.0
SMALL_FILE_BYTES = 65536

FaultAction = Callable[[Fleet], None]


@dataclass(frozen=True)
class FaultSpec:
    """How a fault is caused and healed.

    ``reaches_all`` is false when the rollout must fail and no engine may load the model.
    The fault is caused once the share ``cause_at_share`` of the bytes is fetched.
    """

    cause: FaultAction
    heal: FaultAction | None = None
    reaches_all: bool = True
    lost_zone_share: float = 0
    cause_at_share: float = CAUSE_AT_SHARE


class Fault:
    """Causes one fault once enough bytes are fetched, and heals it after a fixed time."""

    def __init__(self, name: str, spec: FaultSpec) -> None:
        self.name = name
        self.reaches_all = spec.reaches_all
        self.lost_engines = 0
        self._spec = spec
        self._caused_at_seconds: float | None = None
        self._healed = spec.heal is None

    def step(self, fleet: Fleet, fetched_share: float, now_seconds: float) -> None:
        """Causes or heals the fault if it is due."""
        if self._caused_at_seconds is None:
            if fetched_share >= self._spec.cause_at_share:
                self._caused_at_seconds = now_seconds
                self._spec.cause(fleet)
                self.lost_engines = _count_lost_engines(fleet, self._spec)
        elif not self._healed and now_seconds - self._caused_at_seconds > HEAL_AFTER_SECONDS:
            self._healed = True
            if self._spec.heal is not None:
                self._spec.heal(fleet)

    def is_over(self) -> bool:
        """Returns whether the fault has been caused and healed."""
        return self._caused_at_seconds is not None and self._healed


def make_fault(name: str) -> Fault | None:
    """Makes a fault by name; returns None for an empty name."""
    return Fault(name, FAULTS[name]) if name else None


def _count_lost_engines(fleet: Fleet, spec: FaultSpec) -> int:
    if not spec.lost_zone_share:
        return 0
    zone = next(iter(fleet.deployment.zones))
    return _half(len(fleet.names(ProcessKind.engine, zone)))


def _half(count: int) -> int:
    return max(1, count // 2)


def _first_process(fleet: Fleet, kind: ProcessKind, zone_number: int = 0) -> str:
    zone = list(fleet.deployment.zones)[zone_number]
    return fleet.names(kind, zone)[0]


def _kill_agent(fleet: Fleet) -> None:
    fleet.kill(_first_process(fleet, ProcessKind.agent))


def _restart_agent(fleet: Fleet) -> None:
    fleet.restart(_first_process(fleet, ProcessKind.agent))


def _freeze_agent(fleet: Fleet) -> None:
    fleet.freeze(_first_process(fleet, ProcessKind.agent))


def _unfreeze_agent(fleet: Fleet) -> None:
    fleet.unfreeze(_first_process(fleet, ProcessKind.agent))


def _kill_half(fleet: Fleet) -> None:
    zone = next(iter(fleet.deployment.zones))
    engines = fleet.names(ProcessKind.engine, zone)
    for engine in engines[: _half(len(engines))]:
        fleet.kill(engine)
        fleet.kill(engine.replace('engine-', 'agent-', 1))


def _kill_tracker(fleet: Fleet) -> None:
    fleet.kill(_first_process(fleet, ProcessKind.entry))


def _restart_tracker(fleet: Fleet) -> None:
    fleet.restart(_first_process(fleet, ProcessKind.entry))


def _corrupt_peer(fleet: Fleet) -> None:
    zone = next(iter(fleet.deployment.zones))
    corrupting, *others = fleet.names(ProcessKind.agent, zone)
    for other in others:
        _add_rule(fleet, Rule(source=corrupting, target=other, corrupt_share=1))


def _isolate_zone(fleet: Fleet) -> None:
    if fleet.proxy is not None:
        fleet.proxy.isolate(list(fleet.deployment.zones)[1])


def _heal_links(fleet: Fleet) -> None:
    if fleet.proxy is not None:
        fleet.proxy.heal()


def _kill_leader(fleet: Fleet) -> None:
    status = fleet.admin('GET', '/v1/status').content
    fleet.kill(status.get('leader') or _first_process(fleet, ProcessKind.control))


def _restart_controls(fleet: Fleet) -> None:
    for name in fleet.names(ProcessKind.control):
        if not fleet.children[name].is_running():
            fleet.restart(name)


def _restart_engine(fleet: Fleet) -> None:
    fleet.restart(_first_process(fleet, ProcessKind.engine))


def _fill_disk(fleet: Fleet) -> None:
    _limit_file_size(fleet, SMALL_FILE_BYTES)


def _free_disk(fleet: Fleet) -> None:
    _limit_file_size(fleet, resource.RLIM_INFINITY)


def _limit_file_size(fleet: Fleet, limit_bytes: int) -> None:
    pid = fleet.children[_first_process(fleet, ProcessKind.agent)].pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit_bytes, resource.RLIM_INFINITY))


def _add_rule(fleet: Fleet, rule: Rule) -> None:
    if fleet.proxy is None:
        raise AssertionError('link faults need the proxy; this deployment has none')
    fleet.proxy.add(rule)


def _set_origin_fault(kind: str, share: float) -> FaultAction:
    def cause(fleet: Fleet) -> None:
        content = {'kind': kind, 'share': share, 'retry_after_seconds': 2}
        fleet.post_to_fake('origin', '/admin/fault', content)

    return cause


def _combine(first: FaultAction, second: FaultAction) -> FaultAction:
    def act(fleet: Fleet) -> None:
        first(fleet)
        second(fleet)

    return act


_CLEAR_ORIGIN_FAULT = _set_origin_fault('none', 0)

FAULTS = {
    'agent-killed': FaultSpec(_kill_agent, _restart_agent),
    'agent-frozen': FaultSpec(_freeze_agent, _unfreeze_agent),
    'half-zone-lost': FaultSpec(_kill_half, lost_zone_share=0.5),
    'tracker-killed': FaultSpec(_kill_tracker, _restart_tracker),
    'corrupt-peer': FaultSpec(_corrupt_peer),
    'zone-cut': FaultSpec(_isolate_zone, _heal_links),
    'origin-changed': FaultSpec(_set_origin_fault('change', 1), reaches_all=False),
    'origin-corrupt': FaultSpec(_set_origin_fault('corrupt', 0.1), _CLEAR_ORIGIN_FAULT),
    'origin-slow': FaultSpec(_set_origin_fault('slow', 0.3), _CLEAR_ORIGIN_FAULT),
    'origin-stall': FaultSpec(_set_origin_fault('stall', 0.2), _CLEAR_ORIGIN_FAULT),
    'origin-busy': FaultSpec(_set_origin_fault('429', 0.5), _CLEAR_ORIGIN_FAULT),
    'origin-failing': FaultSpec(_set_origin_fault('503', 1), _CLEAR_ORIGIN_FAULT),
    'origin-cut': FaultSpec(_set_origin_fault('cut', 0.5), _CLEAR_ORIGIN_FAULT),
    'origin-lies': FaultSpec(_set_origin_fault('lie-length', 0.5), _CLEAR_ORIGIN_FAULT),
    'leader-lost': FaultSpec(_kill_leader, _restart_controls),
    'engine-restarts': FaultSpec(_restart_engine, cause_at_share=0.99),
    'disk-full': FaultSpec(_fill_disk, _free_disk),
    'tracker-and-agent': FaultSpec(
        _combine(_kill_tracker, _kill_agent), _combine(_restart_tracker, _restart_agent)
    ),
    'zone-cut-and-agent': FaultSpec(
        _combine(_isolate_zone, _kill_agent), _combine(_heal_links, _restart_agent)
    ),
}
