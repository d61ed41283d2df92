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
from jackdawsail.ui.options import Options, Rows, difference_table, make_table
from jackdawsail.ui.waiting import Progressed, parse_seconds, wait_for

UNCHANGED = Options()

calls_app = cyclopts.App(name='calls', help='Claimed calls of customers.')


def status(*, options: Options = UNCHANGED) -> None:
    """Shows the leader, the revision, who lacks it, data centres and back ends."""
    found = options.client().get('/v1/status')
    if options.json:
        options.show(found, '')
        return
    console = Console()
    consensus = found['consensus']
    leader = consensus.get('leader', consensus.get('role'))
    console.print(
        f'revision {found["revision"]}, leader {leader}, term {consensus.get("term")}',
        highlight=False,
    )
    console.print(f'lacking: {lacking_text(found)}', highlight=False)
    zone_columns = ['name', 'mode', 'entries', 'running', 'tracker', 'lacking_agents']
    console.print(make_table('data centres', zone_columns, found['zones']))
    backend_columns = ['name', 'kind', 'release', 'previous']
    console.print(make_table('back ends', backend_columns, found['backends']))


def audit(
    *,
    after: Annotated[int | None, Parameter(help='Only changes beyond this revision.')] = None,
    limit: int = 20,
    options: Options = UNCHANGED,
) -> None:
    """Shows who changed what and when, oldest first."""
    since = '' if after is None else f'&after={after}'
    page = options.client().get(f'/v1/audit?limit={limit}{since}')
    columns = ['to_revision', 'when', 'actor', 'kind', 'change']
    options.show(page, make_table('audit', columns, [_audit_row(row) for row in page['items']]))


@calls_app.command
def show(customer: str, key: str, *, options: Options = UNCHANGED) -> None:
    """Shows how a customer's call of an idempotency key stands."""
    call = options.client().get(f'/v1/calls/{quote(customer, "")}/{quote(key, "")}')
    columns = ['customer', 'key', 'status', 'number', 'entry', 'answer_status', 'answer_bytes']
    options.show(call, make_table('call', columns, [call]))


def apply(
    base: Path,
    *,
    overlay: list[Path] | None = None,
    prune: Annotated[bool, Parameter(help='Remove what the files no longer name.')] = False,
    yes: Annotated[bool, Parameter(help='Do not ask on a terminal.')] = False,
    wait: Annotated[bool, Parameter(help='Wait until it is in force everywhere.')] = False,
    deadline: Annotated[str, Parameter(help='With --wait, for instance 30s.')] = '30s',
    options: Options = UNCHANGED,
) -> None:
    """Puts the customers, back ends, data centres, sites and weights of settings files."""
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


def lacking_text(found: dict[str, Any]) -> str:
    """Says which entries, and how many agents, lack the newest revision."""
    entries = ', '.join(found['entries_lacking']) or 'no entry'
    return f'{entries}, {found["agents_lacking"]} agents'


def _confirm(options: Options, planned: Rows, yes: bool) -> None:
    if options.json:
        return
    Console().print(difference_table(planned))
    if yes or not sys.stdin.isatty():
        return
    if not Confirm.ask(f'apply these {len(planned)} changes?'):
        raise UserError('not applied', ExitCode.failed)


def _wait_in_force(options: Options, revision: int, deadline_seconds: float) -> dict[str, Any]:
    client = options.client()

    def measure(found: dict[str, Any]) -> Progressed:
        entries = found['entries']
        holding = [entry for entry in entries if entry['in_force_revision'] >= revision]
        complete = len(holding) == len(entries) and not found['agents_lacking']
        return Progressed(len(holding), len(entries), f'lacking: {lacking_text(found)}', complete)

    found = wait_for(
        f'revision {revision}', lambda: client.get('/v1/status'), measure, deadline_seconds
    )
    return {'in_force_entries': len(found['entries'])}


def _audit_row(record: dict[str, Any]) -> dict[str, Any]:
    when = datetime.fromtimestamp(record['stamp_seconds'], UTC)
    changes = [
        f'{found["key"]} {found["field"]}: {found["before"]} -> {found["after"]}'
        for found in record['changes']
    ]
    shown = '\n'.join(changes[:8])
    return {**record, 'when': when.strftime('%Y-%m-%d %H:%M:%S'), 'change': shown}
