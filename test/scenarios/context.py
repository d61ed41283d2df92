"""State that the steps of a scenario share: the fleet, its callers and marked times."""

import shutil
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from bench.fakes.engine import EngineOptions
from bench.harness.callers import CallersProcess, CustomerLoad, start_callers
from bench.harness.child import TemplateStarter
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment, Shaping
from bench.harness.releases import (
    create_release,
    require_accepted,
    start_release,
    wait_engines_serving,
)
from bench.harness.waiting import wait_until

ZONES = {'attica-a': 'attica', 'macedonia-a': 'macedonia', 'crete-a': 'crete'}
CUSTOMERS = ('studio-one', 'studio-two', 'label-one')
MODEL_BYTES = 512 * 1024
LOAD_DURATION_SECONDS = 60.0
ROLLOUT_TIMEOUT_SECONDS = 30
STOP_TIMEOUT_SECONDS = 20
NOT_RUN = 'not-run'
KEPT_LOGS_FOLDER = Path('results') / 'scenarios'


class ScenarioContext:
    """A running deployment, with one operation for each kind of step."""

    def __init__(self, starter: TemplateStarter) -> None:
        self._starter = starter
        self.stack = ExitStack()
        self.fleet: Fleet
        self.callers: CallersProcess | None = None
        self.mark_seconds = time.time()
        self.cut_off_process = ''
        self.exit_codes: list[int | None] = []

    def start(self, **plan: Any) -> None:
        plan.setdefault('zones', ZONES)
        plan.setdefault('shaping', Shaping())
        deployment = Deployment(chunk_bytes=32768, log_level='info', **plan)
        self.fleet = self.stack.enter_context(running_fleet(deployment, starter=self._starter))
        self.fleet.wait_in_force()

    def roll_out(self, name: str, wait_seconds: float = ROLLOUT_TIMEOUT_SECONDS) -> None:
        create_release(self.fleet, name, MODEL_BYTES)
        start_release(self.fleet, name)
        if wait_seconds:
            wait_engines_serving(self.fleet, name, timeout_seconds=wait_seconds)

    def start_load(self, kind: str = 'generate', requests_per_second: float = 6) -> None:
        options = {} if kind == 'book' else {'max_tokens': 64}
        loads = [
            CustomerLoad(name, requests_per_second / len(ZONES), kind, options, zone)
            for name in CUSTOMERS[:2]
            for zone in ZONES
        ]
        self.callers = start_callers(self.fleet, loads, LOAD_DURATION_SECONDS)
        wait_until(self.callers.records, 15, 'the first request has ended')

    def keep_logs(self, name: str) -> None:
        """Copies the logs and records of a failed scenario, since its folder is deleted."""
        target = KEPT_LOGS_FOLDER / f'{name}-{int(time.time())}'
        shutil.copytree(self.fleet.folder, target, ignore=shutil.ignore_patterns('data', '*.bin'))
        print(f'logs of {name} kept in {target}')  # noqa: T201

    def heal(self) -> None:
        assert self.fleet.proxy is not None
        self.fleet.proxy.heal()

    def finish_load(self) -> list[dict[str, Any]]:
        """Stops the callers, waits for requests in flight and returns all records."""
        assert self.callers is not None
        self.callers.stop()
        records = self.callers.records()
        assert records
        return records

    def mark_time(self) -> None:
        self.mark_seconds = time.time()

    def wait_leader(self) -> str:
        return str(self.fleet.wait_leader()['consensus']['leader'])

    def restart(self, name: str) -> None:
        self.mark_time()
        self.fleet.kill(name)
        self.fleet.restart(name)

    def stop_gracefully(self, names: list[str]) -> None:
        self.mark_time()
        for name in names:
            self.fleet.children[name].terminate()
        children = [self.fleet.children[name] for name in names]
        self.exit_codes = [child.wait_ended(STOP_TIMEOUT_SECONDS) for child in children]

    def runs_since(self, engines: list[str], after_seconds: float) -> list[dict[str, Any]]:
        limit = self.mark_seconds + after_seconds
        runs = self.fleet.all_records(engines)
        return [run for run in runs if run['time_seconds'] > limit]

    def wait_new_requests(self, engines: list[str], timeout_seconds: float) -> None:
        since = time.time()
        find_runs = lambda: [  # noqa: E731
            run for run in self.fleet.all_records(engines) if run['time_seconds'] > since
        ]
        wait_until(find_runs, timeout_seconds, f'new requests at {engines}')

    def engines_named(self, words: str = '') -> list[str]:
        """Returns the engines that the words of a step name: one, those in a zone, or all."""
        if words.startswith('engine-'):
            return [words]
        return self.fleet.names(ProcessKind.engine, words.rpartition('engine in ')[2])

    def all_entries_refuse(self, customer: str) -> bool:
        """Returns whether every entry refuses a customer; the proxy is bypassed."""
        entries = self.fleet.layout.of_kind(ProcessKind.entry)
        path = f'/v1/backends/{self.fleet.deployment.service_backend}/call/look'
        addresses = [entry.listen_address(0) for entry in entries]
        replies = [self.fleet.call_entry(each, customer, 'GET', path) for each in addresses]
        return all(reply.status in {401, 403} for reply in replies)

    def wait_release(self, release: str, timeout_seconds: float) -> None:
        wait_engines_serving(self.fleet, release, timeout_seconds=timeout_seconds)

    def failed_release(self, name: str) -> Any:
        shown = self.fleet.admin('GET', f'/v1/releases/{name}').content
        return shown if shown.get('status') == 'failed' else None

    def run_counts(self) -> Counter[str]:
        return Counter(run['slot'] for run in self.fleet.all_records(['service-1']))

    def remove_customer(self, name: str) -> None:
        require_accepted(self.fleet.command('customer-remove', name=name))

    def former_leader_status(self) -> int:
        spec = self.fleet.layout.processes[self.cut_off_process]
        headers = {'Authorization': 'Bearer bench-operator'}
        return call('GET', spec.listen_address(1), '/v1/status', None, headers).status


def cold_engines(warm_seconds: float, cold_limit: int) -> EngineOptions:
    """Returns options of engines that collapse above ``cold_limit`` requests while cold."""
    return EngineOptions(warm_seconds=warm_seconds, cold_limit=cold_limit)
