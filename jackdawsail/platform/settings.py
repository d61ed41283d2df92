"""Decodes the settings file of a process: lines of ``a.b=value``.

Fields that are not known here are ignored, so that new ones stop nothing.
"""

import os
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from jackdawsail.platform.fields import MILLISECOND, Amount, Whole
from jackdawsail.site.node import ListenAddresses, NodeBounds, NodeSettings

PATH_VARIABLE = 'JACKDAWSAIL_NODE_FILE'
DEFAULT_PATH = '/etc/jackdawsail/boot.conf'


class _Limits(msgspec.Struct):
    memory_mb: Amount = 0
    # The share of one core; ``cores`` says how many times as fast it runs.
    cpu_share: Amount = 1
    link_mbps: Amount = 0
    max_fds: Whole = 1024


class _Tolerance(msgspec.Struct):
    machines: Whole = 0
    zones: Whole = 0


class _Bounds(msgspec.Struct):
    seed_lag_s: Amount = 3
    stability_window_ms: Amount = 3000
    ack_ms: Amount = 4000
    drain_ms: Amount = 2000
    grace_s: Amount = 8
    config_apply_ms: Amount = 2000
    retry_budget_ratio: Amount = 0.2
    budget_window_s: Amount = 10
    budget_slack: Amount = 0
    cold_multiplier: Amount = 1
    cold_slack: Amount = 0
    version_ms: Amount = 8000
    ttl_max_s: Amount = 5


class _Listen(msgspec.Struct):
    front: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str] = {}
    # First and last port that are free for the system's own connections.
    internal_ports: str = ''
    # Addresses of hosts that serve ``control``, as known when the file was written.
    seeds: str = ''
    bootstrap: bool = False
    data_dir: str = ''
    heartbeat_ms: Amount = 1200
    # The address of the engine that runs on this host, and the engine's service.
    app: str = ''
    service: str = ''
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Returns where the settings file of this process lies."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def decode_settings(text: str) -> Result[NodeSettings, str]:
    """Decodes the text of a settings file, or says what is wrong with it.

    Example::

        decode_settings(path.read_text('utf8')).unwrap().zone
    """
    try:
        return Success(_as_settings(msgspec.convert(_as_tree(text), _File, strict=False)))
    except (msgspec.ValidationError, ValueError) as error:
        return Failure(str(error))


def _as_tree(text: str) -> dict[str, object]:
    tree: dict[str, object] = {}
    for line in text.splitlines():
        key, separator, value = line.strip().partition('=')
        if separator and not key.startswith('#'):
            _put(tree, key.split('.'), value)
    return tree


def _put(tree: dict[str, object], path: list[str], value: str) -> None:
    *parents, last = path
    for parent in parents:
        inner = tree.setdefault(parent, {})
        if not isinstance(inner, dict):
            return
        tree = inner
    tree[last] = value


def _as_settings(found: _File) -> NodeSettings:
    return NodeSettings(
        name=found.node_name,
        address=found.ip,
        zone=found.zone,
        region=found.region,
        region_by_zone=dict(found.zones),
        link_port=int(found.internal_ports.partition(',')[0] or 0),
        seeds=tuple(seed for seed in found.seeds.split(',') if seed),
        may_bootstrap=found.bootstrap,
        data_folder=found.data_dir,
        heartbeat_seconds=found.heartbeat_ms * MILLISECOND,
        engine_address=found.app,
        engine_service=found.service,
        listening=ListenAddresses(
            callers=found.listen.front,
            readiness=found.listen.ready,
            control=found.listen.control,
            directory=found.listen.directory,
        ),
        bounds=_as_bounds(found),
    )


def _as_bounds(found: _File) -> NodeBounds:
    bounds = found.bounds
    return NodeBounds(
        tolerated_host_losses=found.fault_tolerance.machines,
        stop_seconds=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.budget_window_s,
        retry_slack=bounds.budget_slack,
        cold_ratio=bounds.cold_multiplier,
        cold_slack=bounds.cold_slack,
        weights_seconds=bounds.version_ms * MILLISECOND,
        addresses_max_seconds=bounds.ttl_max_s,
        link_megabits_per_second=found.limits.link_mbps,
    )
