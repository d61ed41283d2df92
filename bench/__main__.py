"""``python -m bench``: runs one experiment, a module of this package with a ``run`` function.

A module is imported only when its subcommand is called. The flags of a subcommand are the
parameters of ``run``, and its exit status is the integer that ``run`` returns.
"""

import importlib
import sys

from cyclopts import App

COMMANDS = (
    'demo',
    'burst',
    'fairness',
    'once',
    'coldstart',
    'load',
    'service',
    'control',
    'slopes',
    'capacity',
    'report',
    'size',
    'start',
    'startup',
    'emulate',
    'ranks',
    'blame',
    'limits',
    'rest',
    'silence',
    'staging',
    'catch_up',
    'processor',
)


def main(arguments: list[str] | None = None) -> int:
    """Runs one experiment; returns its exit status, or 2 for an unknown subcommand."""
    command_line = sys.argv[1:] if arguments is None else arguments
    if not command_line or command_line[0] not in COMMANDS:
        print(f'usage: python -m bench {{{",".join(COMMANDS)}}} [flags]', file=sys.stderr)
        return 2
    module = importlib.import_module(f'bench.{command_line[0]}')
    app = App(
        name=f'bench {command_line[0]}', help=module.__doc__ or '', result_action='return_value'
    )
    app.default(module.run)
    status = app(command_line[1:])
    return status if isinstance(status, int) else 0


if __name__ == '__main__':
    sys.exit(main())
