"""``jackdawsail block``: lists the blocked traits of calls, and lifts a block.

The control hosts are given by the address at which they take the operators' calls.
"""

from urllib.parse import quote

import cyclopts

from jackdawsail.ui.options import Options, make_table

PATH = '/v1/blocks'
COLUMNS = ['trait', 'stored']
DEFAULT_OPTIONS = Options()

block_app = cyclopts.App(
    name=('block', 'part'), help='Show and lift blocks of calls that crash engines.'
)


@block_app.command(name='list')
def list_blocks(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows the blocked traits, the earliest first."""
    found = options.client().get(PATH)
    options.show(found, make_table('blocked traits', COLUMNS, found['items']))


@block_app.command
def lift(trait: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Lets calls with a trait reach engines again; the evidence against it is dropped."""
    lifted = options.client().delete(f'{PATH}/{quote(trait, safe="")}')
    options.show(lifted, f'trait {trait} is lifted')
