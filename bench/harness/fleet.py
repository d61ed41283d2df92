"""A running deployment: its processes, and operations to disturb and query them.

Example::

    with running_fleet(Deployment(engines_per_zone=2)) as fleet:
        fleet.kill('agent-zone-a-1')
        fleet.restart('agent-zone-a-1')
"""

import hashlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.harness.child import (
    Child,
    InterpreterStarter,
    ProcessStarter,
    TemplateStarter,
    make_environment,
)
from bench.harness.http import Reply, call, get, post
from bench.harness.layout import Layout, ProcessKind, ProcessSpec, make_layout
from bench.harness.plan import MEBIBYTE, Deployment
from bench.harness.proxy_control import ProxyControl, make_proxy
from bench.harness.settings_files import BOOTSTRAP_TOKEN, SettingsFolder, customer_token
from bench.harness.waiting import wait_until

PROGRAM_MODULES = {
    ProcessKind.control: 'jackdawsail.control.main',
    ProcessKind.entry: 'jackdawsail.entry.main',
    ProcessKind.agent: 'jackdawsail.agent.main',
    ProcessKind.engine: 'bench.fakes.engine',
    ProcessKind.service: 'bench.fakes.service',
    ProcessKind.origin: 'bench.fakes.origin',
}
KEEP_LOGS_VARIABLE = 'JACKDAWSAIL_KEEP_LOGS'
LEADER_TIMEOUT_SECONDS = 15.0
HTTP_MISDIRECTED_REQUEST = 421
ADMIN_TIMEOUT_SECONDS = 3.0


@dataclass(frozen=True)
class PublishedModel:
    """A model file that the origin serves, with its SHA-256 digest."""

    path: str
    file: Path
    size_bytes: int
    digest: str


class Fleet:
    """Owns the processes of a deployment; created by ``running_fleet``."""

    def __init__(self, deployment: Deployment, folder: Path, starter: ProcessStarter) -> None:
        self._starter = starter
        self._leader_admin = ''
        self.deployment = deployment
        self.folder = folder
        self.layout: Layout = make_layout(deployment)
        self.files = SettingsFolder(folder, deployment, self.layout)
        self.children: dict[str, Child] = {}
        self.proxy: ProxyControl | None = None
        self.digests: dict[str, str] = {}
        (folder / 'origin').mkdir()

    def start(self) -> None:
        """Starts all processes and waits until each is ready."""
        if self.deployment.shaping is not None:
            self._start_proxy()
        for spec in self.layout.processes.values():
            self.make_child(spec).start()
        for child in self.children.values():
            child.wait_ready()

    def make_child(self, spec: ProcessSpec) -> Child:
        """Creates the child process of a spec without starting it."""
        return self.add_child(spec.name, PROGRAM_MODULES[spec.kind], self.files.arguments(spec))

    def add_child(self, name: str, module: str, arguments: list[str]) -> Child:
        """Creates a child process, without starting it, that ends with the fleet."""
        child = Child(name, module, arguments, self.folder / f'{name}.log', self._starter)
        self.children[name] = child
        return child

    def names(self, kind: ProcessKind, zone: str = '') -> list[str]:
        """Returns the names of the processes of a kind, in one zone or in all."""
        return [spec.name for spec in self.layout.of_kind(kind, zone)]

    def entry_addresses(self, zone: str = '') -> list[str]:
        """Returns the addresses at which the entries accept callers."""
        return [spec.public_address(0) for spec in self.layout.of_kind(ProcessKind.entry, zone)]

    def admin_addresses(self) -> list[str]:
        """Returns the addresses of the control hosts' administration API."""
        return [spec.public_address(1) for spec in self.layout.of_kind(ProcessKind.control)]

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL, as a crash would."""
        self.children[name].kill()

    def freeze(self, name: str) -> None:
        """Suspends a process with SIGSTOP; its connections stay open."""
        self.children[name].send(signal.SIGSTOP)

    def unfreeze(self, name: str) -> None:
        """Resumes a frozen process with SIGCONT."""
        self.children[name].send(signal.SIGCONT)

    def stop(self, name: str) -> int | None:
        """Stops a process gracefully and returns its exit code."""
        return self.children[name].stop()

    def restart(self, name: str) -> None:
        """Kills a process if it runs, starts it and waits until it is ready."""
        child = self.children[name]
        child.kill()
        child.start()
        child.wait_ready()

    def get_from_fake(self, name: str, path: str) -> Any:
        """Sends a GET request to a fake, bypassing the proxy, and returns the JSON body."""
        return get(self.layout.processes[name].listen_address(0), path)

    def post_to_fake(self, name: str, path: str, content: Any) -> Any:
        """Posts JSON to a fake, bypassing the proxy, and returns the JSON body."""
        return post(self.layout.processes[name].listen_address(0), path, content)

    def records(self, name: str, kind: str = 'run') -> list[dict[str, Any]]:
        """Returns the records of a kind that a fake has written, across its restarts."""
        path = self.files.record_path(name)
        if not path.exists():
            return []
        records = [json.loads(line) for line in path.read_text('utf8').splitlines()]
        return [line for line in records if line['kind'] == kind]

    def all_records(self, names: Iterable[str], kind: str = 'run') -> list[dict[str, Any]]:
        """Returns the records of several fakes, each with the fake's name as ``upstream``."""
        return [{'upstream': name, **line} for name in names for line in self.records(name, kind)]

    def publish(self, release: str, size_bytes: int = MEBIBYTE, seed: int = 0) -> PublishedModel:
        """Writes a model file of seeded random bytes into the origin's folder."""
        content = random.Random(f'{release}/{seed}').randbytes(size_bytes)
        file = self.folder / 'origin' / f'{release}.bin'
        file.write_bytes(content)
        digest = hashlib.sha256(content).hexdigest()
        self.digests[release] = digest
        self.digests_path.write_text(json.dumps(self.digests), 'utf8')
        return PublishedModel(f'/{release}.bin', file, size_bytes, digest)

    @property
    def digests_path(self) -> Path:
        """The JSON file that maps each published release to its digest."""
        return self.folder / 'digests.json'

    def admin(
        self, method: str, path: str, content: Any = None, token: str = BOOTSTRAP_TOKEN
    ) -> Reply:
        """Calls the administration API, trying the control hosts until the leader answers.

        Returns the last reply if none does.
        """
        headers = {'Authorization': f'Bearer {token}'}
        reply = Reply(0, b'no control host')
        addresses = self.admin_addresses()
        addresses.sort(key=lambda address: address != self._leader_admin)
        for address in addresses:
            reply = call(method, address, path, content, headers, ADMIN_TIMEOUT_SECONDS)
            if reply.status not in {0, HTTP_MISDIRECTED_REQUEST} and reply.status < 500:
                self._leader_admin = address
                return reply
        return reply

    def command(self, kind: str, **fields: Any) -> Reply:
        """Sends one administration command with a new request id."""
        request_id = f'bench-{kind}-{time.time_ns()}'
        content = {'request_id': request_id, 'expected_revision': None, 'kind': kind, **fields}
        return self.admin('POST', '/v1/commands', content)

    def wait_leader(self) -> Any:
        """Waits until a leader has applied the base settings; returns its status."""
        return wait_until(self._leader_status, LEADER_TIMEOUT_SECONDS, 'a control leader')

    def wait_in_force(self) -> None:
        """Waits until every entry and agent has applied the first settings."""
        wait_until(
            self._all_in_force, LEADER_TIMEOUT_SECONDS, 'the settings to be in force everywhere'
        )

    def run_cli(
        self, *arguments: str, timeout_seconds: float = 60
    ) -> subprocess.CompletedProcess[str]:
        """Runs the command line tool against this deployment."""
        environment = {
            **make_environment(),
            'JACKDAWSAIL_CONTROL': ','.join(self.admin_addresses()),
            'JACKDAWSAIL_TOKEN': BOOTSTRAP_TOKEN,
        }
        return subprocess.run(
            [sys.executable, '-m', 'jackdawsail.ui.main', *arguments],
            capture_output=True,
            text=True,
            env=environment,
            timeout=timeout_seconds,
            check=False,
        )

    def call_entry(
        self,
        address: str,
        customer: str,
        method: str,
        path: str,
        content: Any = None,
        timeout_seconds: float = 10,
        **headers: str,
    ) -> Reply:
        """Calls an entry with a customer's token; header names use underscores for hyphens."""
        sent_headers = {name.replace('_', '-'): text for name, text in headers.items()}
        sent_headers['Authorization'] = f'Bearer {customer_token(customer)}'
        return call(method, address, path, content, sent_headers, timeout_seconds)

    def close(self) -> None:
        """Resumes frozen processes and kills all that still run."""
        for child in self.children.values():
            child.send(signal.SIGCONT)
            child.send(signal.SIGKILL)
        for child in self.children.values():
            child.kill()

    def _leader_status(self) -> Any:
        reply = self.admin('GET', '/v1/status')
        # Until the base settings are applied (revision 0), commands get "not-settled".
        return reply.content if reply.status == 200 and reply.content['revision'] else None

    def _all_in_force(self) -> bool:
        status = self.wait_leader()
        entries = len(self.names(ProcessKind.entry))
        settled = not status['entries_lacking'] and not status['agents_lacking']
        return status['revision'] > 0 and len(status['entries']) == entries and settled

    def _start_proxy(self) -> None:
        proxy = make_proxy(self)
        self.proxy = proxy.control
        proxy.child.start()
        proxy.child.wait_ready()


@contextmanager
def running_fleet(
    deployment: Deployment, start: bool = True, starter: ProcessStarter | None = None
) -> Iterator[Fleet]:
    """Runs a deployment and kills its processes at the end.

    Its folder with the logs is kept after a failure, or if JACKDAWSAIL_KEEP_LOGS is set.
    """
    folder = Path(tempfile.mkdtemp(prefix='jackdawsail-bench-'))
    fleet = Fleet(deployment, folder, starter or InterpreterStarter())
    keep = bool(os.environ.get(KEEP_LOGS_VARIABLE))
    try:
        if start:
            fleet.start()
        yield fleet
    except KeyboardInterrupt:
        raise
    except BaseException:
        keep = True
        print(f'logs kept in {folder}', file=sys.stderr)
        raise
    finally:
        fleet.close()
        if not keep:
            shutil.rmtree(folder, ignore_errors=True)


@contextmanager
def template_starter() -> Iterator[TemplateStarter]:
    """Runs a template process from which many fleets can be started fast."""
    starter = TemplateStarter()
    try:
        yield starter
    finally:
        starter.close()
