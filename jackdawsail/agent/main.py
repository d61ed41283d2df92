"""The agent: the one process beside an upstream, and the only one to give it work.

Example::

    python -m jackdawsail.agent.main --settings base.yaml --settings host.yaml
"""

from typing import Any

from jackdawsail.agent.program import AgentProgram
from jackdawsail.process import ProcessContext
from jackdawsail.program import require_section, run_program
from jackdawsail.wire.identity import Role


def build(context: ProcessContext) -> Any:
    """Builds and starts the agent; returns its stop function."""
    settings = require_section(context.settings.agent, 'agent')
    program = AgentProgram(context, settings)
    program.start()
    return program.stop


def main() -> None:
    """Runs the command line."""
    run_program(Role.agent, build, __doc__)


if __name__ == '__main__':
    main()
