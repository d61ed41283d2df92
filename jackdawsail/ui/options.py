"""The options that every command takes, and the way its result is printed."""

import json
import sys
from dataclasses import dataclass, field
from typing import Annotated, Any

from cyclopts import Parameter
from rich.console import Console
from rich.table import Table

from jackdawsail.errors import UserError
from jackdawsail.ui.client import AdminClient
from jackdawsail.ui.exit_codes import ExitCode

Rows = list[dict[str, Any]]


@Parameter(name='*')
@dataclass(frozen=True, slots=True)
class Options:
    """Where the control hosts are, who asks, and how to print."""

    control: Annotated[
        list[str],
        Parameter(
            help='Administration address host:port of a control host; repeat it for each.',
            env_var='JACKDAWSAIL_CONTROL',
            negative=(),
        ),
    ] = field(default_factory=list)
    token: Annotated[
        str, Parameter(help='Operator token.', env_var='JACKDAWSAIL_TOKEN', show_default=False)
    ] = ''
    json: Annotated[bool, Parameter(help='Print one JSON document.', negative=())] = False
    expect_revision: Annotated[
        int | None, Parameter(help='Change only if this revision is in force.')
    ] = None
    request_id: Annotated[
        str, Parameter(help='Resend an earlier command under its request id.')
    ] = ''

    def client(self) -> AdminClient:
        """Makes the client of the named control hosts."""
        hosts = [host for given in self.control for host in given.split(',') if host]
        if not hosts:
            text = 'no control host is named: use --control host:port or JACKDAWSAIL_CONTROL'
            raise UserError(text, ExitCode.invalid)
        return AdminClient(hosts, self.token)

    def command(self, kind: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Sends a command under these options."""
        return self.client().command(kind, fields, self.expect_revision, self.request_id)

    def change(self, kind: str, fields: dict[str, Any], said: str) -> None:
        """Sends a command and prints the revision that it led to."""
        accepted = self.command(kind, fields)
        self.show(accepted, f'{said} (revision {accepted["revision"]})')

    def show(self, document: Any, text: str | Table) -> None:
        """Prints the document for scripts, or the text for people."""
        if self.json:
            sys.stdout.write(f'{json.dumps(document)}\n')
        else:
            Console().print(text, highlight=False)


def make_table(title: str, columns: list[str], rows: Rows) -> Table:
    """Makes a table of some fields of each row; the heading is the field's name."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column.replace('_', ' '))
    for row in rows:
        table.add_row(*[_cell(row.get(name)) for name in columns])
    return table


def difference_table(found: Rows) -> Table:
    """Makes the table of changed fields."""
    return make_table('changes', ['key', 'field', 'before', 'after'], found)


def _cell(shown: Any) -> str:
    if shown is None:
        return '-'
    if isinstance(shown, float):
        return f'{shown:g}'
    if isinstance(shown, list):
        return ', '.join(str(part) for part in shown) or '-'
    return str(shown)
