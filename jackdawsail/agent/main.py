"""Runs an agent: one per upstream, on its host, and the only process that sends it requests.

Example::

    python -m jackdawsail.agent.main --settings base.yaml --settings host.yaml
"""

from typing import Any

from jackdawsail.agent.program import AgentProgram
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section, run_program
from jackdawsail.wire.identity import Role


def build(context: ProcessContext) -> Any:
    """Builds and starts the agent, and returns the function that stops it gracefully."""
    settings = require_section(context.settings.agent, 'agent')
    program = AgentProgram(context, settings)
    program.start()
    return program.stop


def main() -> None:
    """Parses the command line and runs the agent until it stops."""
    run_program(Role.agent, build, __doc__)


if __name__ == '__main__':
    main()
