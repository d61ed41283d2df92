"""Periodic tasks of the leader: finishes releases, expires lost entries, seeds the state."""

from dataclasses import dataclass, field
from typing import Any

from returns.result import Success
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.control.lease_handler import LeaseHandler
from jackdawsail.control.proposer import Proposer
from jackdawsail.control.rollout import RolloutEvaluator
from jackdawsail.control.zone_leases import ZoneView
from jackdawsail.loops import make_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.state.commands import Apply, LedgerEntryLost, ReleaseFinish, ReleaseManifest
from jackdawsail.state.replica import Record
from jackdawsail.state.replies import Rejected
from jackdawsail.wire.link import Link
from jackdawsail.wire.release_messages import ManifestReport, ReleaseProblem

LEADER_TASK_INTERVAL_SECONDS = 0.25
ENTRY_LOST_SECONDS = 10.0

RELEASE_FINISHED = events.define(260, 'info', 'release ended')
ENTRY_LOST = events.define(261, 'warning', 'entry lost, its running calls become unknown')
STATE_SEEDED = events.define(262, 'info', 'empty state seeded with the settings of this host')
REPORT_REFUSED = events.define(263, 'warning', 'report about a release refused')


@dataclass(slots=True)
class LeaderTasks:
    """Proposes what the leader decides by itself; does nothing on a host that does not lead."""

    lease_handler: LeaseHandler
    proposer: Proposer
    seeds: dict[str, Record]
    evaluator: RolloutEvaluator = field(default_factory=RolloutEvaluator)
    absent_since_seconds: dict[tuple[str, int], float] = field(default_factory=dict)
    proposing: bool = False

    def run(self) -> None:
        """Runs every task once; does nothing between a proposal and the next reply to any proposal."""
        if not self.lease_handler.check_leadership() or self.proposing:
            return
        now_seconds = self.lease_handler.reactor.seconds()
        self.lease_handler.leases.drop_silent(now_seconds)
        bodies = [
            *self._seed_commands(),
            *self._finish_commands(now_seconds),
            *self._entry_lost_commands(now_seconds),
        ]
        for body in bodies:
            self._propose(body)

    def report_manifest(self, _link: Link, report: ManifestReport) -> None:
        """Commits the first manifest reported for a release that was created without one."""
        if self.lease_handler.check_leadership():
            manifest = ReleaseManifest(
                report.release, report.chunk_bytes, report.digest, report.chunk_digests
            )
            self._propose(manifest)

    def report_problem(self, _link: Link, report: ReleaseProblem) -> None:
        """Marks a release as failed after a tracker has reported a permanent problem."""
        if self.lease_handler.check_leadership():
            self._propose(ReleaseFinish(report.release, 'failed', report.reason))

    def live_zones(self, now_seconds: float) -> list[ZoneView]:
        """Returns the data centres in service that have at least one live entry."""
        records = self.lease_handler.state.tables.records
        names = [
            key.removeprefix('zone/')
            for key, record in records.items()
            if key.startswith('zone/') and record['mode'] == 'in'
        ]
        views = [self.lease_handler.leases.view(name, now_seconds) for name in sorted(names)]
        return [view for view in views if view.entries]

    def is_seeding(self) -> bool:
        """Returns whether the state is empty and still has to be seeded from this host."""
        return not self.lease_handler.state.tables.revision and bool(self.seeds)

    def _seed_commands(self) -> list[Any]:
        if not self.is_seeding():
            return []
        events.log(STATE_SEEDED)
        return [Apply(self.seeds)]

    def _finish_commands(self, now_seconds: float) -> list[Any]:
        if not self.lease_handler.leases.is_settled(now_seconds):
            return []
        records = self.lease_handler.state.tables.records
        releases = {
            key.removeprefix('release/'): record
            for key, record in records.items()
            if key.startswith('release/')
        }
        finished = self.evaluator.decide(releases, self.live_zones(now_seconds), now_seconds)
        for finish in finished:
            events.log(RELEASE_FINISHED, release=finish.name, status=finish.status)
        return list(finished)

    def _entry_lost_commands(self, now_seconds: float) -> list[Any]:
        running = self.lease_handler.state.tables.ledger.running_per_process
        absent_processes = {
            holder for holder in running if not self.lease_handler.leases.is_live(*holder)
        }
        self.absent_since_seconds = {
            holder: self.absent_since_seconds.get(holder, now_seconds)
            for holder in absent_processes
        }
        lost_processes = [
            holder
            for holder, since_seconds in self.absent_since_seconds.items()
            if now_seconds - since_seconds >= ENTRY_LOST_SECONDS
        ]
        for entry_name, _ in lost_processes:
            events.log(ENTRY_LOST, entry=entry_name)
        return [LedgerEntryLost(*process) for process in lost_processes]

    def _propose(self, body: object) -> None:
        self.proposing = True
        self.proposer.submit_internal(body).addCallback(self._on_reply)

    def _on_reply(self, outcome: Any) -> None:
        self.proposing = False
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Rejected):
            events.log(REPORT_REFUSED, reason=outcome.unwrap().reason)


def start_leader_tasks(leader_tasks: LeaderTasks, router: MessageRouter) -> LoopingCall:
    """Registers the handlers of tracker reports and starts the periodic tasks."""
    router.register_handler(ManifestReport, leader_tasks.report_manifest)
    router.register_handler(ReleaseProblem, leader_tasks.report_problem)
    loop = make_loop(leader_tasks.lease_handler.reactor, leader_tasks.run)
    loop.start(LEADER_TASK_INTERVAL_SECONDS, now=False)
    return loop
