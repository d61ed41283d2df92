"""Decodes the settings file of a process: lines of ``a.b=value``.

Unknown fields are ignored, so that a process starts with a file that has new ones.
"""

import os
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from jackdawsail.platform.fields import MILLISECOND, NonNegativeFloat, NonNegativeInt
from jackdawsail.site.node import ListenAddresses, NodeBounds, NodeSettings

PATH_VARIABLE = 'JACKDAWSAIL_NODE_FILE'
DEFAULT_PATH = '/etc/jackdawsail/boot.conf'


class _Limits(msgspec.Struct):
    memory_mb: NonNegativeFloat = 0
    max_fds: NonNegativeInt = 0


class _FaultTolerance(msgspec.Struct):
    machines: NonNegativeInt = 0
    zones: NonNegativeInt = 0


class _Bounds(msgspec.Struct):
    seed_lag_s: NonNegativeFloat = 3
    stability_window_ms: NonNegativeFloat = 3000
    ack_ms: NonNegativeFloat = 4000
    drain_ms: NonNegativeFloat = 2000
    grace_s: NonNegativeFloat = 8
    config_apply_ms: NonNegativeFloat = 2000
    retry_budget_ratio: NonNegativeFloat = 0.2
    budget_window_s: NonNegativeFloat = 10
    budget_slack: NonNegativeFloat = 0
    cold_multiplier: NonNegativeFloat = 1
    cold_slack: NonNegativeFloat = 0
    version_ms: NonNegativeFloat = 8000
    ttl_max_s: NonNegativeFloat = 5


class _Listen(msgspec.Struct):
    front: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


class _SettingsFile(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str] = {}
    # The first and last port reserved for connections between the processes.
    internal_ports: str = ''
    # Addresses of the hosts that served ``control`` when the file was written.
    seeds: str = ''
    bootstrap: bool = False
    data_dir: str = ''
    heartbeat_ms: NonNegativeFloat = 1200
    # The address and the service of the engine on this host.
    app: str = ''
    service: str = ''
    listen: _Listen = msgspec.field(default_factory=_Listen)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> Path:
    """Returns the path of this process's settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def decode_settings(text: str) -> Result[NodeSettings, str]:
    """Decodes the text of a settings file, or returns why it is invalid.

    Example::

        decode_settings(path.read_text('utf8')).unwrap().zone
    """
    try:
        return Success(
            _as_settings(msgspec.convert(_parse_tree(text), _SettingsFile, strict=False))
        )
    except (msgspec.ValidationError, ValueError) as error:
        return Failure(str(error))


def _parse_tree(text: str) -> dict[str, object]:
    tree: dict[str, object] = {}
    for line in text.splitlines():
        key, separator, value = line.strip().partition('=')
        if separator and not key.startswith('#'):
            _insert_value(tree, key.split('.'), value)
    return tree


def _insert_value(tree: dict[str, object], path: list[str], value: str) -> None:
    *parents, last = path
    for parent in parents:
        inner = tree.setdefault(parent, {})
        if not isinstance(inner, dict):
            return
        tree = inner
    tree[last] = value


def _as_settings(decoded: _SettingsFile) -> NodeSettings:
    return NodeSettings(
        name=decoded.node_name,
        address=decoded.ip,
        zone=decoded.zone,
        region=decoded.region,
        region_by_zone=dict(decoded.zones),
        link_port=int(decoded.internal_ports.partition(',')[0] or 0),
        seeds=tuple(seed for seed in decoded.seeds.split(',') if seed),
        may_bootstrap=decoded.bootstrap,
        data_folder=decoded.data_dir,
        heartbeat_seconds=decoded.heartbeat_ms * MILLISECOND,
        engine_address=decoded.app,
        engine_service=decoded.service,
        listening=ListenAddresses(
            callers=decoded.listen.front,
            readiness=decoded.listen.ready,
            control=decoded.listen.control,
            directory=decoded.listen.directory,
        ),
        bounds=_as_bounds(decoded),
    )


def _as_bounds(decoded: _SettingsFile) -> NodeBounds:
    bounds = decoded.bounds
    return NodeBounds(
        tolerated_host_losses=decoded.fault_tolerance.machines,
        stop_seconds=bounds.grace_s,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.budget_window_s,
        retry_slack=bounds.budget_slack,
        cold_ratio=bounds.cold_multiplier,
        cold_slack=bounds.cold_slack,
        weights_seconds=bounds.version_ms * MILLISECOND,
        addresses_max_seconds=bounds.ttl_max_s,
        memory_megabytes=decoded.limits.memory_mb,
        max_descriptors=decoded.limits.max_fds,
    )
