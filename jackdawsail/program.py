"""The command line of the long-running programs.

Every program module has a ``build`` function and calls ``run_program``. Invalid
settings or a port in use end the program with a one-line error and exit code 2.
"""

import sys
from typing import TypeVar

from cyclopts import App

from jackdawsail import __version__
from jackdawsail.errors import UserError
from jackdawsail.process import BuildFunction, SettingsPaths, run_process
from jackdawsail.wire.identity import Role

SectionT = TypeVar('SectionT')


def run_program(role: Role, build: BuildFunction, description: str | None) -> None:
    """Parses the command line, runs the program and exits with its exit code."""
    name = f'jackdawsail-{role}'
    app = App(name=name, help=description, version=__version__)

    @app.default
    def run(settings: SettingsPaths) -> None:
        try:
            exit_code = run_process(role, settings, build)
        except UserError as error:
            print(f'{name}: {error}', file=sys.stderr)  # noqa: T201 - the error message of the command line
            exit_code = error.exit_code
        sys.exit(exit_code)

    app()


def require_section(section: SectionT | None, name: str) -> SectionT:
    """Returns a section of the settings; raises UserError if it is missing."""
    if section is None:
        raise UserError(f'settings have no {name} section')
    return section
