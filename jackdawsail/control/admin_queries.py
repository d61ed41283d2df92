"""The answers of the administration API's ``GET`` requests, made from the leader's state."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from jackdawsail.control.duties import LeaderDuties
from jackdawsail.control.rollout import SUMMARY_FRESH_SECONDS, measure
from jackdawsail.control.zone_leases import ZoneView
from jackdawsail.state.draft import Draft, differences
from jackdawsail.state.machine import run_command
from jackdawsail.state.replica import Record
from jackdawsail.state.tables import Tables
from jackdawsail.wire.codec import as_plain

PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000
REPORT_DELAY_SECONDS = 2.0  # a heartbeat and a lease request after the last new work


@dataclass(frozen=True, slots=True)
class Page:
    """Which part of a list is asked for: names after ``after``, or revisions beyond it."""

    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class Queries:
    """Reads the tables and the leader's soft state; changes neither."""

    duties: LeaderDuties
    replicator_status: Callable[[], dict[str, Any]]

    @property
    def tables(self) -> Tables:
        """The replicated state."""
        return self.duties.desk.state.tables

    def status(self) -> dict[str, Any]:
        """Sums up the deployment: consensus, revision, who lacks it, zones, back ends."""
        now_seconds = self.duties.desk.reactor.seconds()
        entries = list(self.duties.desk.leases.entries.values())
        revision = self.tables.revision
        lacking = [view for view in entries if view.last_request.in_force_revision < revision]
        return {
            'revision': revision,
            'consensus': self.replicator_status(),
            'entries': [
                {
                    **as_plain(view.directory_entry()),
                    'in_force_revision': view.last_request.in_force_revision,
                    'lacking_agents': view.last_request.lacking_agents,
                }
                for view in entries
            ],
            'entries_lacking': [view.identity.name for view in lacking],
            'agents_lacking': sum(view.last_request.lacking_agents for view in entries),
            'zones': [self._zone(name, now_seconds) for name in self._names('zone')],
            'backends': self._records('backend'),
        }

    def listing(self, kind: str, page: Page) -> dict[str, Any]:
        """Lists the records of one kind by name, a page at a time."""
        names = [name for name in self._names(kind) if name > page.after]
        shown = names[: page.limit]
        shown_records = [self.describe(kind, name) for name in shown]
        return {
            'revision': self.tables.revision,
            'items': shown_records,
            'next_after': shown[-1] if len(names) > len(shown) else None,
        }

    def describe(self, kind: str, name: str) -> dict[str, Any] | None:
        """Describes one record, releases with progress and zones with leases; None: no such."""
        record = self.tables.records.get(f'{kind}/{name}')
        if record is None:
            return None
        if kind == 'zone':
            return self._zone(name, self.duties.desk.reactor.seconds())
        if kind == 'release':
            return self._release(name, record)
        hidden = {key: record[key] for key in record if key != 'token_digest'}
        return {'name': name, **hidden}

    def audit(self, page: Page) -> dict[str, Any]:
        """Lists audit records beyond a revision; without one, the newest."""
        trail = self.tables.audit
        if page.after:
            found = trail.after(int(page.after), page.limit)
        else:
            found = trail.last(page.limit)
        return {'revision': self.tables.revision, 'items': found}

    def preview(self, body: object) -> dict[str, Any]:
        """Says what a command would change now, without proposing it."""
        draft = Draft(self.tables.records, dict(self.tables.ordinals))
        outcome = run_command(body, draft)
        rejected = None if isinstance(outcome, Success) else as_plain(outcome.failure())
        return {
            'revision': self.tables.revision,
            'rejected': rejected,
            'differences': differences(self.tables.records, draft.changes),
        }

    def call(self, customer: str, key: str) -> dict[str, Any] | None:
        """Describes one claimed call of a customer, without its answer's body."""
        call = self.tables.ledger.find(customer, key)
        if call is None:
            return None
        described: dict[str, Any] = as_plain(call)
        answer = described.pop('answer')
        described['answer_status'] = answer and answer['status']
        described['answer_bytes'] = len(answer['body']) if answer else 0
        return {'customer': customer, 'key': key, **described}

    def _zone(self, name: str, now_seconds: float) -> dict[str, Any]:
        record = self.tables.records[f'zone/{name}']
        view = self.duties.desk.leases.view(name, now_seconds)
        is_out = record['mode'] == 'out'
        running = _running(view)
        ended = is_out and view.lapses_in_seconds <= 0
        quiet = view.lapses_in_seconds <= -REPORT_DELAY_SECONDS and running == 0
        return {
            'name': name,
            **record,
            'entries': [entry.identity.name for entry in view.entries],
            'tracker': view.tracker,
            'lease_lapses_in_seconds': round(max(0, view.lapses_in_seconds), 3),
            'new_work_ended': ended,
            'running': running,
            'complete': ended and (quiet or not view.entries),
            'lacking_agents': sum(entry.last_request.lacking_agents for entry in view.entries),
            'summary_age_seconds': view.summary_age_seconds,
            'backends': as_plain(view.backends),
        }

    def _release(self, name: str, record: Record) -> dict[str, Any]:
        now_seconds = self.duties.desk.reactor.seconds()
        progress = measure(name, record['backend'], self.duties.live_zones(now_seconds))
        fields = {key: record[key] for key in record if key != 'chunk_digests'}
        return {
            'name': name,
            **fields,
            'chunks': len(record['chunk_digests']),
            'upstreams': progress.upstreams,
            'on_release': progress.on_release,
            'failed': progress.failed,
        }

    def _records(self, kind: str) -> list[dict[str, Any] | None]:
        return [self.describe(kind, name) for name in self._names(kind)]

    def _names(self, kind: str) -> list[str]:
        prefix = f'{kind}/'
        keys = [key for key in self.tables.records if key.startswith(prefix)]
        return sorted(key.removeprefix(prefix) for key in keys)


def _running(view: ZoneView) -> int | None:
    # Without a tracker's report nothing is known of the requests that still run.
    age_seconds = view.summary_age_seconds
    if age_seconds is None or age_seconds > SUMMARY_FRESH_SECONDS:
        return None
    return sum(summary.running for summary in view.backends.values())
