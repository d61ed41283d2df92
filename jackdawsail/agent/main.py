"""The agent: the one process beside an upstream, and the only one to give it work.

Example::

    python -m jackdawsail.agent.main --settings base.yaml --settings host.yaml
"""

import sys
from typing import Any

from cyclopts import App

from jackdawsail.agent.program import AgentProgram
from jackdawsail.errors import UserError
from jackdawsail.process import ProcessContext, SettingsPaths, run_process
from jackdawsail.wire.identity import Role

app = App(name='jackdawsail-agent', help=__doc__)


def build(context: ProcessContext) -> Any:
    """Builds and starts the agent; returns its stop function."""
    settings = context.settings.agent
    if settings is None:
        raise UserError('settings have no agent section')
    program = AgentProgram(context, settings)
    program.start()
    return program.stop


@app.default
def run(settings: SettingsPaths) -> None:
    """Runs the agent until it is told to stop."""
    sys.exit(run_process(Role.agent, settings, build))


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == '__main__':
    main()
