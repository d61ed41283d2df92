"""What the leader does on its own: ends releases, gives up lost entries, seeds the state."""

from dataclasses import dataclass, field
from typing import Any

from returns.result import Success
from twisted.internet.task import LoopingCall

from jackdawsail import events
from jackdawsail.control.lease_handler import LeaseHandler
from jackdawsail.control.proposer import Proposer
from jackdawsail.control.rollout import RolloutJudge
from jackdawsail.control.zone_leases import ZoneView
from jackdawsail.state.commands import Apply, LedgerEntryLost, ReleaseFinish, ReleaseManifest
from jackdawsail.state.replica import Record
from jackdawsail.state.replies import Rejected
from jackdawsail.switchboard import Switchboard
from jackdawsail.wire.link import Link
from jackdawsail.wire.release_messages import ManifestReport, ReleaseProblem

DUTY_SECONDS = 0.25
ENTRY_LOST_SECONDS = 10.0

RELEASE_FINISHED = events.define(260, 'info', 'release ended')
ENTRY_LOST = events.define(261, 'warning', 'entry is lost, its running calls become unknown')
STATE_SEEDED = events.define(262, 'info', 'empty state takes the settings of this host')
REPORT_REFUSED = events.define(263, 'warning', 'report about a release was refused')


@dataclass(slots=True)
class LeaderDuties:
    """Runs every quarter second; does nothing on a host that does not lead."""

    desk: LeaseHandler
    proposer: Proposer
    seeds: dict[str, Record]
    judge: RolloutJudge = field(default_factory=RolloutJudge)
    absent_since_seconds: dict[tuple[str, int], float] = field(default_factory=dict)
    proposing: bool = False

    def run(self) -> None:
        """Does one round, unless the commands of the last one are still under way."""
        if not self.desk.leads() or self.proposing:
            return
        now_seconds = self.desk.reactor.seconds()
        self.desk.leases.tick(now_seconds)
        bodies = [
            *self._seed(),
            *self._finished_releases(now_seconds),
            *self._lost_entries(now_seconds),
        ]
        for body in bodies:
            self._propose(body)

    def report_manifest(self, _link: Link, report: ManifestReport) -> None:
        """Commits the first manifest of a release that was created without."""
        if self.desk.leads():
            manifest = ReleaseManifest(
                report.release, report.chunk_bytes, report.digest, report.chunk_digests
            )
            self._propose(manifest)

    def report_problem(self, _link: Link, report: ReleaseProblem) -> None:
        """Ends a release that cannot be completed."""
        if self.desk.leads():
            self._propose(ReleaseFinish(report.release, 'failed', report.reason))

    def live_zones(self, now_seconds: float) -> list[ZoneView]:
        """Returns the data centres in service that have a live entry."""
        records = self.desk.state.tables.records
        names = [
            key.removeprefix('zone/')
            for key, record in records.items()
            if key.startswith('zone/') and record['mode'] == 'in'
        ]
        views = [self.desk.leases.view(name, now_seconds) for name in sorted(names)]
        return [view for view in views if view.entries]

    def is_seeding(self) -> bool:
        """Tells whether an empty state is still to take the settings of this host."""
        return not self.desk.state.tables.revision and bool(self.seeds)

    def _seed(self) -> list[Any]:
        if not self.is_seeding():
            return []
        events.log(STATE_SEEDED)
        return [Apply(self.seeds)]

    def _finished_releases(self, now_seconds: float) -> list[Any]:
        if not self.desk.leases.is_settled(now_seconds):
            return []
        records = self.desk.state.tables.records
        releases = {
            key.removeprefix('release/'): record
            for key, record in records.items()
            if key.startswith('release/')
        }
        finished = self.judge.decide(releases, self.live_zones(now_seconds), now_seconds)
        for finish in finished:
            events.log(RELEASE_FINISHED, release=finish.name, status=finish.status)
        return list(finished)

    def _lost_entries(self, now_seconds: float) -> list[Any]:
        running = self.desk.state.tables.ledger.running_per_process
        absent = {entry for entry in running if not self.desk.leases.is_live(*entry)}
        self.absent_since_seconds = {
            entry: self.absent_since_seconds.get(entry, now_seconds) for entry in absent
        }
        lost = [
            entry
            for entry, since_seconds in self.absent_since_seconds.items()
            if now_seconds - since_seconds >= ENTRY_LOST_SECONDS
        ]
        for entry_name, _ in lost:
            events.log(ENTRY_LOST, entry=entry_name)
        return [LedgerEntryLost(*process) for process in lost]

    def _propose(self, body: object) -> None:
        self.proposing = True
        self.proposer.own(body).addCallback(self._proposed)

    def _proposed(self, outcome: Any) -> None:
        self.proposing = False
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), Rejected):
            events.log(REPORT_REFUSED, reason=outcome.unwrap().reason)


def start_duties(duties: LeaderDuties, switchboard: Switchboard) -> LoopingCall:
    """Registers the reports of trackers and starts the rounds."""
    switchboard.on(ManifestReport, duties.report_manifest)
    switchboard.on(ReleaseProblem, duties.report_problem)
    loop = LoopingCall(duties.run)
    loop.clock = duties.desk.reactor
    loop.start(DUTY_SECONDS, now=False)
    return loop
