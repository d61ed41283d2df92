"""The entry: callers' HTTP, admission, routing, claims; the tracker of its zone.

Example::

    python -m jackdawsail.entry.main --settings base.yaml --settings host.yaml
"""

import sys
from typing import Any

from cyclopts import App

from jackdawsail.entry.program import EntryProgram
from jackdawsail.errors import UserError
from jackdawsail.process import ProcessContext, SettingsPaths, run_process
from jackdawsail.wire.identity import Role

app = App(name='jackdawsail-entry', help=__doc__)


def build(context: ProcessContext) -> Any:
    """Builds and starts the entry; returns its stop function."""
    settings = context.settings.entry
    if settings is None:
        raise UserError('settings have no entry section')
    program = EntryProgram(context, settings)
    program.start()
    return program.stop


@app.default
def run(settings: SettingsPaths) -> None:
    """Runs the entry until it is told to stop."""
    sys.exit(run_process(Role.entry, settings, build))


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == '__main__':
    main()
