"""``jackdawsail part``: lists the parts of prompts that are blocked, and lifts one.

The control hosts are given by the address at which they take the operators' calls.
"""

from urllib.parse import quote

import cyclopts

from jackdawsail.ui.options import Options, make_table

PATH = '/v1/blocked-parts'
COLUMNS = ['part', 'stored']
DEFAULT_OPTIONS = Options()

part_app = cyclopts.App(
    name='part', help='Show and lift blocks of parts of prompts that crash engines.'
)


@part_app.command(name='list')
def list_parts(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows the blocked parts, the earliest first."""
    found = options.client().get(PATH)
    options.show(found, make_table('blocked parts', COLUMNS, found['items']))


@part_app.command
def lift(part: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Lets calls with a part reach engines again; the evidence against it is dropped."""
    lifted = options.client().delete(f'{PATH}/{quote(part, safe="")}')
    options.show(lifted, f'part {part} is lifted')
