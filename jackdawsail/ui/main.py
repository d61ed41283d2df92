"""The operator command line, a client of the administration API."""

import sys

import cyclopts
from rich.console import Console

from jackdawsail import __version__
from jackdawsail.errors import UserError
from jackdawsail.ui import (
    block_commands,
    config_commands,
    customer_commands,
    explain_command,
    release_commands,
    status_commands,
    voter_commands,
    zone_commands,
)
from jackdawsail.ui.client import AdminError
from jackdawsail.ui.options import make_difference_table

GROUPS = (
    release_commands.app,
    customer_commands.customer_app,
    customer_commands.site_app,
    customer_commands.operator_app,
    zone_commands.zone_app,
    zone_commands.host_app,
    status_commands.calls_app,
    voter_commands.voters_app,
    block_commands.block_app,
    config_commands.config_app,
)
COMMANDS = (
    status_commands.status,
    status_commands.audit,
    status_commands.apply,
    explain_command.explain,
)


def make_app() -> cyclopts.App:
    """Makes the application with all command groups and commands."""
    app = cyclopts.App(
        name='jackdawsail',
        version=__version__,
        help='Operate a jackdawsail deployment through its control hosts.',
    )
    for command in (*GROUPS, *COMMANDS):
        app.command(command)
    app.register_install_completion_command()
    return app


def main() -> None:
    """Runs a command; prints a UserError to standard error and exits with its code."""
    try:
        make_app()()
    except UserError as error:
        _print_error(error)
        sys.exit(int(error.exit_code))


def _print_error(error: UserError) -> None:
    console = Console(stderr=True)
    console.print(f'error: {error}', highlight=False, markup=False, soft_wrap=True)
    if isinstance(error, AdminError):
        for record in error.problem.get('differences', []):
            console.print(
                f'revision {record["to_revision"]} by {record["actor"]}: {record["kind"]}',
                highlight=False,
            )
            console.print(make_difference_table(record['changes']))


if __name__ == '__main__':
    main()
