"""``jackdawsail status``, ``audit``, ``calls`` and ``apply``."""

import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import cyclopts
from cyclopts import Parameter
from rich.console import Console
from rich.prompt import Confirm

from jackdawsail.errors import UserError
from jackdawsail.settings.loader import load_settings
from jackdawsail.state.documents import shared_sections
from jackdawsail.ui.exit_codes import ExitCode
from jackdawsail.ui.options import Options, Rows, make_difference_table, make_table
from jackdawsail.ui.waiting import WaitProgress, parse_seconds, wait_for

DEFAULT_OPTIONS = Options()

calls_app = cyclopts.App(name='calls', help='Claimed calls of customers.')


def status(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows the leader, the revision, processes that lack it, data centres and back ends."""
    status_document = options.client().get('/v1/status')
    if options.json:
        options.show(status_document, '')
        return
    console = Console()
    consensus = status_document['consensus']
    leader = consensus.get('leader', consensus.get('role'))
    console.print(
        f'revision {status_document["revision"]}, leader {leader}, term {consensus.get("term")}',
        highlight=False,
    )
    console.print(f'lacking: {format_lacking(status_document)}', highlight=False)
    zone_columns = ['name', 'mode', 'entries', 'running', 'tracker', 'lacking_agents']
    console.print(make_table('data centres', zone_columns, status_document['zones']))
    backend_columns = ['name', 'kind', 'release', 'previous']
    console.print(make_table('back ends', backend_columns, status_document['backends']))


def audit(
    *,
    after: Annotated[int | None, Parameter(help='Only changes after this revision.')] = None,
    limit: int = 20,
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Shows the changes of the shared state with time and operator, oldest first."""
    after_parameter = '' if after is None else f'&after={after}'
    page = options.client().get(f'/v1/audit?limit={limit}{after_parameter}')
    columns = ['to_revision', 'when', 'actor', 'kind', 'change']
    options.show(page, make_table('audit', columns, [_audit_row(row) for row in page['items']]))


@calls_app.command
def show(customer: str, key: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows the state of a customer's call by its idempotency key."""
    call = options.client().get(f'/v1/calls/{quote(customer, "")}/{quote(key, "")}')
    columns = ['customer', 'key', 'status', 'number', 'entry', 'answer_status', 'answer_bytes']
    options.show(call, make_table('call', columns, [call]))


def apply(
    base: Path,
    *,
    overlay: list[Path] | None = None,
    prune: Annotated[
        bool, Parameter(help='Remove records that the files do not contain.')
    ] = False,
    yes: Annotated[bool, Parameter(help='Do not ask for confirmation on a terminal.')] = False,
    wait: Annotated[
        bool, Parameter(help='Wait until the revision is in force everywhere.')
    ] = False,
    deadline: Annotated[
        str, Parameter(help='How long to wait with --wait, for example 30s.')
    ] = '30s',
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Applies the customers, back ends, data centres, sites and weights of settings files."""
    client = options.client()
    fields = {'document': shared_sections(load_settings([base, *(overlay or [])])), 'prune': prune}
    planned = client.preview('apply', fields)
    if planned['rejected']:
        raise UserError(planned['rejected']['reason'], ExitCode.conflict)
    _confirm(options, planned['differences'], yes)
    expected = planned['revision'] if options.expect_revision is None else options.expect_revision
    accepted = client.command('apply', fields, expected, options.request_id)
    document = {**accepted, 'differences': planned['differences']}
    if wait:
        document |= _wait_in_force(options, accepted['revision'], parse_seconds(deadline))
    options.show(document, f'applied (revision {accepted["revision"]})')


def format_lacking(status_document: dict[str, Any]) -> str:
    """Returns which entries, and how many agents, lack the newest revision."""
    entries = ', '.join(status_document['entries_lacking']) or 'no entry'
    return f'{entries}, {status_document["agents_lacking"]} agents'


def _confirm(options: Options, differences: Rows, yes: bool) -> None:
    if options.json:
        return
    Console().print(make_difference_table(differences))
    if yes or not sys.stdin.isatty():
        return
    if not Confirm.ask(f'apply these {len(differences)} changes?'):
        raise UserError('not applied', ExitCode.failed)


def _wait_in_force(options: Options, revision: int, deadline_seconds: float) -> dict[str, Any]:
    client = options.client()

    def measure(status_document: dict[str, Any]) -> WaitProgress:
        entries = status_document['entries']
        updated = [entry for entry in entries if entry['in_force_revision'] >= revision]
        complete = len(updated) == len(entries) and not status_document['agents_lacking']
        return WaitProgress(
            len(updated), len(entries), f'lacking: {format_lacking(status_document)}', complete
        )

    status_document = wait_for(
        f'revision {revision}', lambda: client.get('/v1/status'), measure, deadline_seconds
    )
    return {'in_force_entries': len(status_document['entries'])}


def _audit_row(record: dict[str, Any]) -> dict[str, Any]:
    when = datetime.fromtimestamp(record['stamp_seconds'], UTC)
    changes = [
        f'{change["key"]} {change["field"]}: {change["before"]} -> {change["after"]}'
        for change in record['changes']
    ]
    change_lines = '\n'.join(changes[:8])
    return {**record, 'when': when.strftime('%Y-%m-%d %H:%M:%S'), 'change': change_lines}
