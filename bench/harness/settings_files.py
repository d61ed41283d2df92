"""Writes the base settings file and one overlay file for each process of a layout."""

import dataclasses
import hashlib
from pathlib import Path
from typing import Any

import yaml

from bench.harness.layout import Layout, ProcessKind, ProcessSpec
from bench.harness.plan import Deployment
from jackdawsail.settings.loader import merge

SITE_SECRET = 'bench-site-secret'
BOOTSTRAP_TOKEN = 'bench-operator'
ENTRIES_PER_AGENT = 3


def customer_token(name: str) -> str:
    """Returns the bearer token of a customer; the bench derives it from the name."""
    return f'bench-{name}'


def make_base(deployment: Deployment, layout: Layout) -> dict[str, Any]:
    """Returns the base settings document that all processes share."""
    origin = layout.processes['origin']
    base = {
        'deployment': 'bench',
        'log_level': deployment.log_level,
        'security': {'site_secret': SITE_SECRET},
        'zones': {name: {'region': region} for name, region in deployment.zones.items()},
        'backends': _backends(deployment),
        'customers': _customers(deployment),
        'weights': {
            'origin_url': f'http://{origin.public_address(0)}',
            'chunk_bytes': deployment.chunk_bytes,
            **deployment.weights,
        },
    }
    return merge(base, dict(deployment.overrides))  # type: ignore[no-any-return]


def _backends(deployment: Deployment) -> dict[str, Any]:
    share = deployment.max_switching_share
    return {
        deployment.engine_backend: {'kind': 'engine', 'max_switching_share': share},
        deployment.service_backend: {'kind': 'service', 'idempotent_methods': ['GET']},
    }


def _customers(deployment: Deployment) -> dict[str, Any]:
    customers = {}
    for name, customer in deployment.customers.items():
        digest = hashlib.sha256(customer_token(name).encode()).hexdigest()
        customers[name] = {**dataclasses.asdict(customer), 'token_digest': digest}
    return customers


class SettingsFolder:
    """Writes settings files into a folder and returns the flags that pass them."""

    def __init__(self, folder: Path, deployment: Deployment, layout: Layout) -> None:
        self.base_path = folder / 'base.yaml'
        self._folder = folder
        self._deployment = deployment
        self._layout = layout
        self._section_builders = {
            ProcessKind.control: self._control_section,
            ProcessKind.entry: self._entry_section,
            ProcessKind.agent: self._agent_section,
        }
        _write(self.base_path, make_base(deployment, layout))

    def arguments(self, spec: ProcessSpec) -> list[str]:
        """Writes the settings file of one process and returns its command line arguments."""
        path = self._folder / f'{spec.name}.yaml'
        build_section = self._section_builders.get(spec.kind)
        if build_section is None:
            _write(path, self._fake_settings(spec))
            return ['--settings', str(path)]
        _write(path, {'host': self._host_section(spec), **build_section(spec)})
        return ['--settings', str(self.base_path), '--settings', str(path)]

    def data_folder(self, spec: ProcessSpec) -> Path:
        """Returns the data folder of a process, which is kept across restarts."""
        return self._folder / 'data' / spec.name

    def record_path(self, name: str) -> Path:
        """Returns the path of the file to which a fake appends its records."""
        return self._folder / f'{name}.record.jsonl'

    def _host_section(self, spec: ProcessSpec) -> dict[str, Any]:
        return {
            'name': spec.name,
            'zone': spec.zone,
            'region': spec.region,
            'address': spec.address,
            'advertised_address': spec.advertised,
        }

    def _control_section(self, spec: ProcessSpec) -> dict[str, Any]:
        voters = self._layout.of_kind(ProcessKind.control)
        control = {
            'link_port': spec.ports[0],
            'admin_port': spec.ports[1],
            'data_folder': str(self.data_folder(spec)),
            'voters': [{'name': each.name, 'address': each.public_address(0)} for each in voters],
            'bootstrap_token': BOOTSTRAP_TOKEN,
        }
        return {'control': control}

    def _entry_section(self, spec: ProcessSpec) -> dict[str, Any]:
        voters = self._layout.of_kind(ProcessKind.control)
        entry = {
            'caller_port': spec.ports[0],
            'link_port': spec.ports[1],
            'control': [each.public_address(0) for each in voters],
        }
        return {'entry': entry}

    def _agent_section(self, spec: ProcessSpec) -> dict[str, Any]:
        upstream = self._layout.processes[spec.upstream]
        entries = self._layout.of_kind(ProcessKind.entry, spec.zone)[:ENTRIES_PER_AGENT]
        agent = {
            'backend': spec.backend,
            'upstream_kind': upstream.kind.value,
            'upstream_url': f'http://{upstream.listen_address(0)}',
            'chunk_port': spec.ports[0],
            'chunk_folder': str(self.data_folder(spec)),
            'entries': [entry.public_address(1) for entry in entries],
            'checks_fence': self._deployment.engine.checks_fence,
            'capacity': self._deployment.engine.capacity,
            'cold_limit': self._deployment.agent_cold_limit,
        }
        return {'agent': agent}

    def _fake_settings(self, spec: ProcessSpec) -> dict[str, Any]:
        common = {'name': spec.name, 'address': spec.address, 'port': spec.ports[0]}
        if spec.kind is ProcessKind.origin:
            rate = self._deployment.origin_bits_per_second
            return {**common, 'folder': str(self._folder / 'origin'), 'bits_per_second': rate}
        deployment = self._deployment
        options = deployment.engine if spec.kind is ProcessKind.engine else deployment.service
        record_path = str(self.record_path(spec.name))
        return {**dataclasses.asdict(options), **common, 'record_path': record_path}


def _write(path: Path, document: dict[str, Any]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(yaml.safe_dump(document, sort_keys=False), 'utf8')
