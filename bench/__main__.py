"""``python -m bench``: the experiments, each a module of this package with ``run``.

Modules are imported only when their subcommand is called. A subcommand takes the
flags of its module's ``run`` function and ends with the exit status it returns.
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
)


def main(arguments: list[str] | None = None) -> int:
    """Runs one experiment and returns its exit status."""
    given = sys.argv[1:] if arguments is None else arguments
    if not given or given[0] not in COMMANDS:
        print(f'usage: python -m bench {{{",".join(COMMANDS)}}} [flags]', file=sys.stderr)
        return 2
    module = importlib.import_module(f'bench.{given[0]}')
    app = App(name=f'bench {given[0]}', help=module.__doc__ or '', result_action='return_value')
    app.default(module.run)
    outcome = app(given[1:])
    return outcome if isinstance(outcome, int) else 0


if __name__ == '__main__':
    sys.exit(main())
