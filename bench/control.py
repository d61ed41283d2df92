"""Changes at ten a second on five voters while leaders are killed, and what that costs.

Counts accepted, lost, reverted and doubled changes, the time until each is in
force at every data centre, the gap after each kill, processor, memory and bytes
per role at rest and under load, and the restart after 100,000 changes.

Example::

    python -m bench control --json
"""

import json
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from bench.control_changes import Changes, Watcher, start_watchers
from bench.control_restart import measure_restart
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment, Shaping
from bench.harness.waiting import wait_until

RATE = 10.0
REST_SECONDS = 15.0
LOAD_SECONDS = 20.0
KILLS_SECONDS = 60.0
KILL_EVERY_SECONDS = 18.0
DOWN_SECONDS = 5.0
GAP_SECONDS = 8.0
RESTART_CHANGES = 100_000
SNAPSHOT_EVERY = 20_000
AUDIT_PAGE = 1000
RESULT_PATH = Path('results/control.json')
LATENCIES = Shaping(
    zone_delay_seconds=0.0015,
    region_delay_seconds=0.003,
    caller_delay_seconds=0.003,
    region_bits_per_second=10_000_000,
)
METRICS_PORT = {ProcessKind.control: 1, ProcessKind.entry: 0}


@dataclass
class Killer:
    """Kills the leader now and then and starts it again a little later."""

    fleet: Fleet
    next_seconds: float = 0
    down: list[tuple[float, str]] = field(default_factory=list)
    kills: list[float] = field(default_factory=list)

    def step(self) -> None:
        """Kills or restarts when it is time."""
        now = time.monotonic()
        if not self.next_seconds:
            self.next_seconds = now + KILL_EVERY_SECONDS / 2
        for due, name in list(self.down):
            if now >= due:
                self.down.remove((due, name))
                self.fleet.children[name].start()
        if now >= self.next_seconds:
            self.next_seconds = now + KILL_EVERY_SECONDS
            leader = leader_of(self.fleet)
            if leader:
                self.fleet.kill(leader)
                self.kills.append(time.monotonic())
                self.down.append((now + DOWN_SECONDS, leader))


def leader_of(fleet: Fleet) -> str:
    """Names the control leader, or ''."""
    reply = fleet.admin('GET', '/v1/status')
    return str(reply.content['consensus']['leader']) if reply.status == 200 else ''


def read_traffic(fleet: Fleet, name: str) -> float:
    """Returns the message bytes that a process has sent and received so far."""
    place = fleet.layout.processes[name]
    reply = call('GET', place.public_address(METRICS_PORT[place.kind]), '/metrics')
    lines = reply.body.decode().splitlines()
    counted = [line for line in lines if line.startswith('jackdawsail_link_bytes_total{')]
    return sum(float(line.rpartition(' ')[2]) for line in counted)


def measure_usage(fleet: Fleet, during: Any) -> dict[str, Any]:
    """Returns the processor share, memory and KB/s of each role while something runs."""
    names = [place.name for kind in METRICS_PORT for place in fleet.layout.of_kind(kind)]
    leader = leader_of(fleet)
    before = {name: (fleet.children[name].usage(), read_traffic(fleet, name)) for name in names}
    started = time.monotonic()
    during()
    seconds = time.monotonic() - started
    found: dict[str, Any] = {}
    for name in names:
        usage, traffic = fleet.children[name].usage(), read_traffic(fleet, name)
        spent = usage.processor_seconds - before[name][0].processor_seconds
        figures = {
            'processor_share': round(spent / seconds, 4),
            'memory_mb': round(usage.resident_bytes / 1e6, 1),
            'kb_per_second': round((traffic - before[name][1]) / seconds / 1000, 2),
        }
        role = 'control-leader' if name == leader else fleet.layout.processes[name].kind.value
        kept = found.setdefault(role, figures)
        for key, figure in figures.items():
            kept[key] = max(kept[key], figure)
    return found


def read_audit(fleet: Fleet) -> Iterator[dict[str, Any]]:
    """Yields every audit record of the deployment."""
    after = 0
    while True:
        page = fleet.admin('GET', f'/v1/audit?after={after or "0"}&limit={AUDIT_PAGE}').content
        yield from page['items']
        if not page['items'] or page['items'][-1]['to_revision'] >= page['revision']:
            return
        after = page['items'][-1]['to_revision']


def count_faults(fleet: Fleet, changes: Changes, watchers: list[Watcher]) -> dict[str, int]:
    """Compares what was accepted with the audit trail and with what the sites hold."""
    trail = list(read_audit(fleet))
    times = Counter(record['request_id'] for record in trail)
    accepted = changes.accepted()
    in_order = sorted(accepted, key=lambda change: change.revision)
    latest = {change.customer: change for change in in_order}
    mine = [change for change in changes.made if times[change.request_id]]
    reverted = sum(watcher.went_back for watcher in watchers)
    for watcher in watchers:
        for customer, last in latest.items():
            held = watcher.replica.get('customer', customer) or {}
            reverted += held.get('weight') != last.weight
    return {
        'lost': sum(times[change.request_id] == 0 for change in accepted),
        'reverted': reverted,
        'doubled': sum(times[change.request_id] > 1 for change in changes.made),
        'applied_unanswered': len(mine) - len(accepted),
    }


def in_force_seconds(changes: Changes, watchers: list[Watcher]) -> tuple[list[float], list[float]]:
    """Returns the times from the answer, and from the first sending, until all sites hold it."""
    after_answer, after_sending = [], []
    for change in changes.accepted():
        held = max(watcher.seconds_at(change.revision) for watcher in watchers)
        after_answer.append(max(0, held - change.answered_seconds))
        after_sending.append(held - change.sent_seconds)
    return sorted(after_answer), sorted(after_sending)


def longest_gap(changes: Changes, kill_seconds: float) -> float:
    """Returns the longest time without an accepted change after a kill."""
    answered = sorted(change.answered_seconds for change in changes.accepted())
    near = [at for at in answered if kill_seconds - 1 <= at <= kill_seconds + GAP_SECONDS]
    gaps = [later - earlier for earlier, later in zip(near, near[1:], strict=False)]
    return max(gaps, default=GAP_SECONDS)


def percentile(ordered: list[float], share: float) -> float:
    """Returns a percentile of an ordered list."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else float('nan')


def settle(fleet: Fleet, watchers: list[Watcher]) -> None:
    """Waits until every site holds the last revision."""

    def settled() -> bool:
        reply = fleet.admin('GET', '/v1/status')
        if reply.status != 200:
            return False
        return all(watcher.replica.revision == reply.content['revision'] for watcher in watchers)

    wait_until(settled, 20, 'all sites at the last revision')


def run_changes(voters: int) -> dict[str, Any]:
    """Runs rest, load and load with kills on one deployment."""
    deployment = Deployment(voters=voters, engines_per_zone=1, services=0, shaping=LATENCIES)
    with running_fleet(deployment) as fleet:
        fleet.wait_leader()
        watchers = start_watchers(fleet)
        changes = Changes(fleet.admin_addresses())
        time.sleep(3)
        rest = measure_usage(fleet, lambda: time.sleep(REST_SECONDS))
        load = measure_usage(fleet, lambda: changes.run(RATE, LOAD_SECONDS))
        killer = Killer(fleet)
        changes.run(RATE, KILLS_SECONDS, killer.step)
        changes.finish()
        for _due, name in killer.down:
            fleet.children[name].start()
        settle(fleet, watchers)
        after_answer, after_sending = in_force_seconds(changes, watchers)
        gaps = [longest_gap(changes, kill) for kill in killer.kills]
        return {
            'changes': len(changes.made),
            'accepted': len(changes.accepted()),
            'refused': sum(bool(change.refusal) for change in changes.made),
            'resent': sum(change.sendings > 1 for change in changes.made),
            **count_faults(fleet, changes, watchers),
            'in_force_p99_seconds': round(percentile(after_answer, 0.99), 3),
            'in_force_max_seconds': round(after_answer[-1], 3),
            'sent_to_in_force_p50_seconds': round(percentile(after_sending, 0.5), 3),
            'sent_to_in_force_p99_seconds': round(percentile(after_sending, 0.99), 3),
            'leader_kills': len(killer.kills),
            'unavailable_seconds': [round(gap, 3) for gap in gaps],
            'unavailable_seconds_max': round(max(gaps, default=0), 3),
            'usage_at_rest': rest,
            'usage_under_load': load,
            'slopes': slopes_of(rest, load),
        }


def slopes_of(rest: dict[str, Any], load: dict[str, Any]) -> dict[str, Any]:
    """Returns what one change costs each role beyond rest."""
    return {
        role: {
            'processor_ms_per_change': round(
                (load[role]['processor_share'] - figures['processor_share']) / RATE * 1000, 3
            ),
            'bytes_per_change': round(
                (load[role]['kb_per_second'] - figures['kb_per_second']) / RATE * 1000
            ),
        }
        for role, figures in rest.items()
        if role in load
    }


def succeeded(found: dict[str, Any]) -> bool:
    """Tells whether the figures meet the targets of the project."""
    return all(
        (
            found['accepted'] == found['changes'],
            found['lost'] == found['reverted'] == found['doubled'] == 0,
            found['in_force_p99_seconds'] <= 2,
            found['unavailable_seconds_max'] <= 3,
            found['restart_seconds'] <= 5,
        )
    )


def run(json: bool = False, voters: int = 5, restart_changes: int = RESTART_CHANGES) -> int:
    """Runs the experiment; the exit status tells whether the targets are met."""
    found = run_changes(voters)
    restart = measure_restart(restart_changes, SNAPSHOT_EVERY)
    replay = measure_restart(restart_changes, 0)
    found['restart_seconds'] = restart['seconds']
    found['restart'] = restart
    found['restart_without_snapshot'] = replay
    late = restart_changes + SNAPSHOT_EVERY - 500
    found['restart_before_a_snapshot'] = measure_restart(late, SNAPSHOT_EVERY)
    found['ok'] = succeeded(found)
    write(found, json)
    return 0 if found['ok'] else 1


def write(found: dict[str, Any], as_json: bool) -> None:
    """Prints the figures and keeps them in the results folder."""
    line = json.dumps(found)
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(f'{line}\n', 'utf8')
    if as_json:
        print(line)
        return
    for name, figure in found.items():
        print(f'{name}: {figure}')
