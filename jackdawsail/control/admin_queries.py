"""Builds the answers to ``GET`` requests of the administration API from the leader's state."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from jackdawsail.control.leader_tasks import LeaderTasks
from jackdawsail.control.rollout import MAX_SUMMARY_AGE_SECONDS, measure_progress
from jackdawsail.control.zone_leases import ZoneView
from jackdawsail.state.draft import Draft, differences
from jackdawsail.state.machine import run_command
from jackdawsail.state.replica import Record
from jackdawsail.state.tables import Tables
from jackdawsail.wire.codec import as_plain

PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000
REPORT_DELAY_SECONDS = (
    2.0  # covers a heartbeat and a lease request, which report the last new work
)


@dataclass(frozen=True, slots=True)
class Page:
    """The requested page of a list: names, or revisions of the audit, beyond ``after``."""

    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class Queries:
    """Reads the replicated tables and the leader's soft state; changes neither."""

    leader_tasks: LeaderTasks
    replicator_status: Callable[[], dict[str, Any]]

    @property
    def tables(self) -> Tables:
        """The replicated state."""
        return self.leader_tasks.lease_handler.state.tables

    def status(self) -> dict[str, Any]:
        """Summarizes the deployment: consensus, revision, lagging entries, zones, back ends."""
        now_seconds = self.leader_tasks.lease_handler.reactor.seconds()
        entries = list(self.leader_tasks.lease_handler.leases.entries.values())
        revision = self.tables.revision
        lagging_entries = [
            view for view in entries if view.last_request.in_force_revision < revision
        ]
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
            'entries_lacking': [view.identity.name for view in lagging_entries],
            'agents_lacking': sum(view.last_request.lacking_agents for view in entries),
            'zones': [self._describe_zone(name, now_seconds) for name in self._names('zone')],
            'backends': self._describe_all('backend'),
        }

    def listing(self, kind: str, page: Page) -> dict[str, Any]:
        """Returns one page of the records of a kind, sorted by name."""
        names = [name for name in self._names(kind) if name > page.after]
        page_names = names[: page.limit]
        page_records = [self.describe(kind, name) for name in page_names]
        return {
            'revision': self.tables.revision,
            'items': page_records,
            'next_after': page_names[-1] if len(names) > len(page_names) else None,
        }

    def describe(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns a record, with progress for a release and leases for a zone; None if absent."""
        record = self.tables.records.get(f'{kind}/{name}')
        if record is None:
            return None
        if kind == 'zone':
            return self._describe_zone(name, self.leader_tasks.lease_handler.reactor.seconds())
        if kind == 'release':
            return self._describe_release(name, record)
        visible_fields = {key: record[key] for key in record if key != 'token_digest'}
        return {'name': name, **visible_fields}

    def audit(self, page: Page) -> dict[str, Any]:
        """Returns the audit records after a revision, or the newest ones if none is given."""
        trail = self.tables.audit
        if page.after:
            records = trail.after(int(page.after), page.limit)
        else:
            records = trail.last(page.limit)
        return {'revision': self.tables.revision, 'items': records}

    def preview(self, body: object) -> dict[str, Any]:
        """Returns what a command would change in the current state, without proposing it."""
        draft = Draft(self.tables.records, dict(self.tables.ordinals))
        outcome = run_command(body, draft)
        rejected = None if isinstance(outcome, Success) else as_plain(outcome.failure())
        return {
            'revision': self.tables.revision,
            'rejected': rejected,
            'differences': differences(self.tables.records, draft.changes),
        }

    def call(self, customer: str, key: str) -> dict[str, Any] | None:
        """Returns a claimed call of a customer, without the body of its answer."""
        call = self.tables.ledger.find(customer, key)
        if call is None:
            return None
        fields: dict[str, Any] = as_plain(call)
        answer = fields.pop('answer')
        fields['answer_status'] = answer and answer['status']
        fields['answer_bytes'] = len(answer['body']) if answer else 0
        return {'customer': customer, 'key': key, **fields}

    def _describe_zone(self, name: str, now_seconds: float) -> dict[str, Any]:
        record = self.tables.records[f'zone/{name}']
        view = self.leader_tasks.lease_handler.leases.view(name, now_seconds)
        is_out = record['mode'] == 'out'
        running_count = _count_running(view)
        new_work_ended = is_out and view.lapses_in_seconds <= 0
        is_idle = view.lapses_in_seconds <= -REPORT_DELAY_SECONDS and running_count == 0
        return {
            'name': name,
            **record,
            'entries': [entry.identity.name for entry in view.entries],
            'tracker': view.tracker,
            'lease_lapses_in_seconds': round(max(0, view.lapses_in_seconds), 3),
            'new_work_ended': new_work_ended,
            'running': running_count,
            'complete': new_work_ended and (is_idle or not view.entries),
            'lacking_agents': sum(entry.last_request.lacking_agents for entry in view.entries),
            'summary_age_seconds': view.summary_age_seconds,
            'backends': as_plain(view.backends),
        }

    def _describe_release(self, name: str, record: Record) -> dict[str, Any]:
        now_seconds = self.leader_tasks.lease_handler.reactor.seconds()
        progress = measure_progress(
            name, record['backend'], self.leader_tasks.live_zones(now_seconds)
        )
        fields = {key: record[key] for key in record if key != 'chunk_digests'}
        return {
            'name': name,
            **fields,
            'chunks': len(record['chunk_digests']),
            'upstreams': progress.upstreams,
            'on_release': progress.on_release,
            'failed': progress.failed,
        }

    def _describe_all(self, kind: str) -> list[dict[str, Any] | None]:
        return [self.describe(kind, name) for name in self._names(kind)]

    def _names(self, kind: str) -> list[str]:
        prefix = f'{kind}/'
        keys = [key for key in self.tables.records if key.startswith(prefix)]
        return sorted(key.removeprefix(prefix) for key in keys)


def _count_running(view: ZoneView) -> int | None:
    # Without a recent report of the tracker the number of running requests is unknown.
    age_seconds = view.summary_age_seconds
    if age_seconds is None or age_seconds > MAX_SUMMARY_AGE_SECONDS:
        return None
    return sum(summary.running for summary in view.backends.values())
