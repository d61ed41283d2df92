"""The options that commands share, and the output of their results."""

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
    """Control hosts, operator token, output format and command options."""

    control: Annotated[
        list[str],
        Parameter(
            help='Administration address host:port of a control host; repeat for several.',
            env_var='JACKDAWSAIL_CONTROL',
            negative=(),
        ),
    ] = field(default_factory=list)
    token: Annotated[
        str, Parameter(help='Operator token.', env_var='JACKDAWSAIL_TOKEN', show_default=False)
    ] = ''
    json: Annotated[
        bool, Parameter(help='Print the result as one JSON document.', negative=())
    ] = False
    expect_revision: Annotated[
        int | None, Parameter(help='Execute only if this revision is in force.')
    ] = None
    request_id: Annotated[str, Parameter(help='Request id of an earlier command to resend.')] = ''

    def client(self) -> AdminClient:
        """Makes a client of the control hosts; raises UserError if none is given."""
        hosts = [host for argument in self.control for host in argument.split(',') if host]
        if not hosts:
            text = 'no control host is given: use --control host:port or JACKDAWSAIL_CONTROL'
            raise UserError(text, ExitCode.invalid)
        return AdminClient(hosts, self.token)

    def command(self, kind: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Sends a command with the expected revision and the request id of these options."""
        return self.client().command(kind, fields, self.expect_revision, self.request_id)

    def change(self, kind: str, fields: dict[str, Any], message: str) -> None:
        """Sends a command and prints the message with the resulting revision."""
        accepted = self.command(kind, fields)
        self.show(accepted, f'{message} (revision {accepted["revision"]})')

    def show(self, document: Any, text: str | Table) -> None:
        """Prints the document as JSON with ``--json``, otherwise the text."""
        if self.json:
            sys.stdout.write(f'{json.dumps(document)}\n')
        else:
            Console().print(text, highlight=False)


def make_table(title: str, columns: list[str], rows: Rows) -> Table:
    """Makes a table with a column for each named field; a heading is the field's name."""
    table = Table(title=title, title_justify='left')
    for column in columns:
        table.add_column(column.replace('_', ' '))
    for row in rows:
        table.add_row(*[_format_cell(row.get(name)) for name in columns])
    return table


def make_difference_table(differences: Rows) -> Table:
    """Makes a table of changed fields with their old and new values."""
    return make_table('changes', ['key', 'field', 'before', 'after'], differences)


def _format_cell(content: Any) -> str:
    if content is None:
        return '-'
    if isinstance(content, float):
        return f'{content:g}'
    if isinstance(content, list):
        return ', '.join(str(part) for part in content) or '-'
    return str(content)
