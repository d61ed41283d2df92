"""Runs an entry: HTTP for callers, admission, routing, claims and the zone's weight tracker.

Example::

    python -m jackdawsail.entry.main --settings base.yaml --settings host.yaml
"""

from typing import Any

from jackdawsail.entry.program import EntryProgram
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section, run_program
from jackdawsail.wire.identity import Role


def build(context: ProcessContext) -> Any:
    """Builds and starts the entry, and returns the function that stops it gracefully."""
    settings = require_section(context.settings.entry, 'entry')
    program = EntryProgram(context, settings)
    program.start()
    return program.stop


def main() -> None:
    """Parses the command line and runs the entry until it stops."""
    run_program(Role.entry, build, __doc__)


if __name__ == '__main__':
    main()
