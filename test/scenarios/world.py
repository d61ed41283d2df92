"""What the steps of a scenario share: the fleet, its callers and the moments noted."""

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
LOAD_SECONDS = 60.0
RELEASE_SECONDS = 30
STOP_SECONDS = 20
NOT_RUN = 'not-run'
KEPT_LOGS = Path('results') / 'scenarios'


class World:
    """One running deployment in the words of the steps."""

    def __init__(self, starter: TemplateStarter) -> None:
        self._starter = starter
        self.stack = ExitStack()
        self.fleet: Fleet
        self.callers: CallersProcess | None = None
        self.mark_seconds = time.time()
        self.cut_off = ''
        self.exit_codes: list[int | None] = []

    def start(self, **plan: Any) -> None:
        plan.setdefault('zones', ZONES)
        plan.setdefault('shaping', Shaping())
        deployment = Deployment(chunk_bytes=32768, log_level='info', **plan)
        self.fleet = self.stack.enter_context(running_fleet(deployment, starter=self._starter))
        self.fleet.wait_in_force()

    def release(self, name: str, wait_seconds: float = RELEASE_SECONDS) -> None:
        create_release(self.fleet, name, MODEL_BYTES)
        start_release(self.fleet, name)
        if wait_seconds:
            wait_engines_serving(self.fleet, name, timeout_seconds=wait_seconds)

    def ask(self, kind: str = 'generate', requests_per_second: float = 6) -> None:
        options = {} if kind == 'book' else {'max_tokens': 64}
        loads = [
            CustomerLoad(name, requests_per_second / len(ZONES), kind, options, zone)
            for name in CUSTOMERS[:2]
            for zone in ZONES
        ]
        self.callers = start_callers(self.fleet, loads, LOAD_SECONDS)
        wait_until(self.callers.records, 15, 'the first request has ended')

    def keep_logs(self, name: str) -> None:
        """Copies the logs and records of a scenario that failed, as its folder goes."""
        target = KEPT_LOGS / f'{name}-{int(time.time())}'
        shutil.copytree(self.fleet.folder, target, ignore=shutil.ignore_patterns('data', '*.bin'))
        print(f'logs of {name} are kept in {target}')  # noqa: T201

    def heal(self) -> None:
        assert self.fleet.proxy is not None
        self.fleet.proxy.heal()

    def lines(self) -> list[dict[str, Any]]:
        """Stops the callers, lets their requests end, and returns what they met."""
        assert self.callers is not None
        self.callers.stop()
        found = self.callers.records()
        assert found
        return found

    def mark(self) -> None:
        self.mark_seconds = time.time()

    def leader(self) -> str:
        return str(self.fleet.wait_leader()['consensus']['leader'])

    def restart(self, name: str) -> None:
        self.mark()
        self.fleet.kill(name)
        self.fleet.restart(name)

    def stop_gracefully(self, names: list[str]) -> None:
        self.mark()
        for name in names:
            self.fleet.children[name].terminate()
        children = [self.fleet.children[name] for name in names]
        self.exit_codes = [child.wait_ended(STOP_SECONDS) for child in children]

    def runs_since(self, engines: list[str], after_seconds: float) -> list[dict[str, Any]]:
        limit = self.mark_seconds + after_seconds
        runs = self.fleet.all_records(engines)
        return [run for run in runs if run['time_seconds'] > limit]

    def wait_new_work(self, engines: list[str], timeout_seconds: float) -> None:
        since = time.time()
        found = lambda: [  # noqa: E731
            run for run in self.fleet.all_records(engines) if run['time_seconds'] > since
        ]
        wait_until(found, timeout_seconds, f'new work at {engines}')

    def engines(self, words: str = '') -> list[str]:
        """Returns the engines that words name: one, those ``in <zone>``, or all."""
        if words.startswith('engine-'):
            return [words]
        return self.fleet.names(ProcessKind.engine, words.rpartition('engine in ')[2])

    def refuses(self, customer: str) -> bool:
        """Tells whether every entry refuses a customer, past the proxy."""
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

    def ask_leader_that_was(self) -> int:
        place = self.fleet.layout.processes[self.cut_off]
        headers = {'Authorization': 'Bearer bench-operator'}
        return call('GET', place.listen_address(1), '/v1/status', None, headers).status


def cold_engines(warm_seconds: float, cold_limit: int) -> EngineOptions:
    """Returns engines that collapse when they are given too much while cold."""
    return EngineOptions(warm_seconds=warm_seconds, cold_limit=cold_limit)
