"""Measures configuration changes at ten a second on five voters while leaders are killed.

Counts accepted, lost, reverted and doubled (applied twice) changes. Measures the time
until each change is in force at every data centre, the gap without accepted changes
after each kill, processor, memory and link bytes of each role at rest and under load,
and the restart of a control host after 100,000 changes.

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

from bench.control_changes import ChangeSender, RevisionWatcher, start_watchers
from bench.control_restart import measure_restart
from bench.harness.fleet import Fleet, running_fleet
from bench.harness.http import call
from bench.harness.layout import ProcessKind
from bench.harness.plan import Deployment, Shaping
from bench.harness.waiting import wait_until

CHANGES_PER_SECOND = 10.0
REST_SECONDS = 15.0
LOAD_SECONDS = 20.0
KILL_PHASE_SECONDS = 60.0
KILL_INTERVAL_SECONDS = 18.0
RESTART_DELAY_SECONDS = 5.0
GAP_SEARCH_SECONDS = 8.0
RESTART_CHANGES = 100_000
SNAPSHOT_EVERY_ENTRIES = 20_000
AUDIT_PAGE_RECORDS = 1000
RESULT_PATH = Path('results/control.json')
NETWORK_SHAPING = Shaping(
    zone_delay_seconds=0.0015,
    region_delay_seconds=0.003,
    caller_delay_seconds=0.003,
    region_bits_per_second=10_000_000,
)
METRICS_PORT_INDEX = {ProcessKind.control: 1, ProcessKind.entry: 0}


@dataclass
class LeaderKiller:
    """Kills the leader every ``KILL_INTERVAL_SECONDS`` and restarts it after a delay.

    ``pending_restarts`` holds the due time and name of each killed control host.
    """

    fleet: Fleet
    next_kill_seconds: float = 0
    pending_restarts: list[tuple[float, str]] = field(default_factory=list)
    kills: list[float] = field(default_factory=list)

    def step(self) -> None:
        """Kills the leader and restarts killed hosts when due; called after every change."""
        now = time.monotonic()
        if not self.next_kill_seconds:
            self.next_kill_seconds = now + KILL_INTERVAL_SECONDS / 2
        for due, name in list(self.pending_restarts):
            if now >= due:
                self.pending_restarts.remove((due, name))
                self.fleet.children[name].start()
        if now >= self.next_kill_seconds:
            self.next_kill_seconds = now + KILL_INTERVAL_SECONDS
            leader = find_leader(self.fleet)
            if leader:
                self.fleet.kill(leader)
                self.kills.append(time.monotonic())
                self.pending_restarts.append((now + RESTART_DELAY_SECONDS, leader))


def find_leader(fleet: Fleet) -> str:
    """Returns the name of the control leader, or '' while there is none."""
    reply = fleet.admin('GET', '/v1/status')
    return str(reply.content['consensus']['leader']) if reply.status == 200 else ''


def read_link_bytes(fleet: Fleet, name: str) -> float:
    """Returns the bytes of all messages that a process has sent and received over links."""
    process = fleet.layout.processes[name]
    reply = call('GET', process.public_address(METRICS_PORT_INDEX[process.kind]), '/metrics')
    lines = reply.body.decode().splitlines()
    byte_lines = [line for line in lines if line.startswith('jackdawsail_link_bytes_total{')]
    return sum(float(line.rpartition(' ')[2]) for line in byte_lines)


def measure_usage(fleet: Fleet, action: Any) -> dict[str, Any]:
    """Returns the highest processor share, memory and KB/s in each role while ``action`` runs."""
    names = [process.name for kind in METRICS_PORT_INDEX for process in fleet.layout.of_kind(kind)]
    leader = find_leader(fleet)
    before = {name: (fleet.children[name].usage(), read_link_bytes(fleet, name)) for name in names}
    started = time.monotonic()
    action()
    seconds = time.monotonic() - started
    usage_by_role: dict[str, Any] = {}
    for name in names:
        usage, link_bytes = fleet.children[name].usage(), read_link_bytes(fleet, name)
        spent_seconds = usage.processor_seconds - before[name][0].processor_seconds
        figures = {
            'processor_share': round(spent_seconds / seconds, 4),
            'memory_mb': round(usage.resident_bytes / 1e6, 1),
            'kb_per_second': round((link_bytes - before[name][1]) / seconds / 1000, 2),
        }
        role = 'control-leader' if name == leader else fleet.layout.processes[name].kind.value
        highest = usage_by_role.setdefault(role, figures)
        for key, figure in figures.items():
            highest[key] = max(highest[key], figure)
    return usage_by_role


def read_audit(fleet: Fleet) -> Iterator[dict[str, Any]]:
    """Yields every audit record of the deployment."""
    after = 0
    while True:
        page = fleet.admin(
            'GET', f'/v1/audit?after={after or "0"}&limit={AUDIT_PAGE_RECORDS}'
        ).content
        yield from page['items']
        if not page['items'] or page['items'][-1]['to_revision'] >= page['revision']:
            return
        after = page['items'][-1]['to_revision']


def count_faults(
    fleet: Fleet, sender: ChangeSender, watchers: list[RevisionWatcher]
) -> dict[str, int]:
    """Compares the accepted changes with the audit trail and with the watchers' replicas.

    ``reverted`` counts steps back of a replica's revision and customers whose weight
    differs from their last accepted change.
    """
    audit_records = list(read_audit(fleet))
    audit_counts = Counter(record['request_id'] for record in audit_records)
    accepted = sender.accepted()
    by_revision = sorted(accepted, key=lambda change: change.revision)
    latest = {change.customer: change for change in by_revision}
    applied = [change for change in sender.started if audit_counts[change.request_id]]
    reverted = sum(watcher.regressions for watcher in watchers)
    for watcher in watchers:
        for customer, last in latest.items():
            customer_record = watcher.replica.get('customer', customer) or {}
            reverted += customer_record.get('weight') != last.weight
    return {
        'lost': sum(audit_counts[change.request_id] == 0 for change in accepted),
        'reverted': reverted,
        'doubled': sum(audit_counts[change.request_id] > 1 for change in sender.started),
        'applied_unanswered': len(applied) - len(accepted),
    }


def in_force_seconds(
    sender: ChangeSender, watchers: list[RevisionWatcher]
) -> tuple[list[float], list[float]]:
    """Returns the seconds until every watcher holds each accepted change, both lists sorted.

    The first list counts from the answer to the change, the second from its first attempt.
    """
    after_answer, after_sending = [], []
    for change in sender.accepted():
        reached_everywhere_seconds = max(
            watcher.reached_seconds(change.revision) for watcher in watchers
        )
        after_answer.append(max(0, reached_everywhere_seconds - change.answered_seconds))
        after_sending.append(reached_everywhere_seconds - change.sent_seconds)
    return sorted(after_answer), sorted(after_sending)


def longest_gap(sender: ChangeSender, kill_seconds: float) -> float:
    """Returns the longest time in seconds without an accepted change around a kill."""
    answer_times = sorted(change.answered_seconds for change in sender.accepted())
    near_kill = [
        at for at in answer_times if kill_seconds - 1 <= at <= kill_seconds + GAP_SEARCH_SECONDS
    ]
    gaps = [later - earlier for earlier, later in zip(near_kill, near_kill[1:], strict=False)]
    return max(gaps, default=GAP_SEARCH_SECONDS)


def percentile(ordered: list[float], share: float) -> float:
    """Returns the value at a share (0 to 1) of a sorted list; NaN if it is empty."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else float('nan')


def wait_converged(fleet: Fleet, watchers: list[RevisionWatcher]) -> None:
    """Waits until every watcher holds the last revision."""

    def converged() -> bool:
        reply = fleet.admin('GET', '/v1/status')
        if reply.status != 200:
            return False
        return all(watcher.replica.revision == reply.content['revision'] for watcher in watchers)

    wait_until(converged, 20, 'all sites at the last revision')


def run_changes(voters: int) -> dict[str, Any]:
    """Measures one deployment at rest, under load, and under load with leader kills."""
    deployment = Deployment(voters=voters, engines_per_zone=1, services=0, shaping=NETWORK_SHAPING)
    with running_fleet(deployment) as fleet:
        fleet.wait_leader()
        watchers = start_watchers(fleet)
        sender = ChangeSender(fleet.admin_addresses())
        time.sleep(3)
        rest = measure_usage(fleet, lambda: time.sleep(REST_SECONDS))
        load = measure_usage(fleet, lambda: sender.run(CHANGES_PER_SECOND, LOAD_SECONDS))
        killer = LeaderKiller(fleet)
        sender.run(CHANGES_PER_SECOND, KILL_PHASE_SECONDS, killer.step)
        sender.wait_finished()
        for _due, name in killer.pending_restarts:
            fleet.children[name].start()
        wait_converged(fleet, watchers)
        after_answer, after_sending = in_force_seconds(sender, watchers)
        gaps = [longest_gap(sender, kill) for kill in killer.kills]
        return {
            'changes': len(sender.started),
            'accepted': len(sender.accepted()),
            'refused': sum(bool(change.refusal) for change in sender.started),
            'resent': sum(change.attempts > 1 for change in sender.started),
            **count_faults(fleet, sender, watchers),
            'in_force_p99_seconds': round(percentile(after_answer, 0.99), 3),
            'in_force_max_seconds': round(after_answer[-1], 3),
            'sent_to_in_force_p50_seconds': round(percentile(after_sending, 0.5), 3),
            'sent_to_in_force_p99_seconds': round(percentile(after_sending, 0.99), 3),
            'leader_kills': len(killer.kills),
            'unavailable_seconds': [round(gap, 3) for gap in gaps],
            'unavailable_seconds_max': round(max(gaps, default=0), 3),
            'usage_at_rest': rest,
            'usage_under_load': load,
            'slopes': cost_per_change(rest, load),
        }


def cost_per_change(rest: dict[str, Any], load: dict[str, Any]) -> dict[str, Any]:
    """Returns the processor time and bytes that one change adds in each role."""
    return {
        role: {
            'processor_ms_per_change': round(
                (load[role]['processor_share'] - figures['processor_share'])
                / CHANGES_PER_SECOND
                * 1000,
                3,
            ),
            'bytes_per_change': round(
                (load[role]['kb_per_second'] - figures['kb_per_second'])
                / CHANGES_PER_SECOND
                * 1000
            ),
        }
        for role, figures in rest.items()
        if role in load
    }


def meets_targets(figures: dict[str, Any]) -> bool:
    """Returns whether the figures meet the targets of the project."""
    return all(
        (
            figures['accepted'] == figures['changes'],
            figures['lost'] == figures['reverted'] == figures['doubled'] == 0,
            figures['in_force_p99_seconds'] <= 2,
            figures['unavailable_seconds_max'] <= 3,
            figures['restart_seconds'] <= 5,
        )
    )


def run(json: bool = False, voters: int = 5, restart_changes: int = RESTART_CHANGES) -> int:
    """Runs the experiment; exits with status 1 when a target is missed."""
    figures = run_changes(voters)
    restart = measure_restart(restart_changes, SNAPSHOT_EVERY_ENTRIES)
    replay = measure_restart(restart_changes, 0)
    figures['restart_seconds'] = restart['seconds']
    figures['restart'] = restart
    figures['restart_without_snapshot'] = replay
    changes_before_snapshot = restart_changes + SNAPSHOT_EVERY_ENTRIES - 500
    figures['restart_before_a_snapshot'] = measure_restart(
        changes_before_snapshot, SNAPSHOT_EVERY_ENTRIES
    )
    figures['ok'] = meets_targets(figures)
    write_results(figures, json)
    return 0 if figures['ok'] else 1


def write_results(figures: dict[str, Any], as_json: bool) -> None:
    """Prints the figures and writes them to the results folder."""
    line = json.dumps(figures)
    RESULT_PATH.parent.mkdir(exist_ok=True)
    RESULT_PATH.write_text(f'{line}\n', 'utf8')
    if as_json:
        print(line)
        return
    for name, figure in figures.items():
        print(f'{name}: {figure}')
