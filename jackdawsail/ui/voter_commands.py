"""``jackdawsail voters``: shows and changes the voters among the control hosts."""

from typing import Annotated, Any

import cyclopts
from cyclopts import Parameter

from jackdawsail.ui.options import Options, make_table

COLUMNS = ['host', 'role', 'disk', 'matched_index', 'linked']
DEFAULT_OPTIONS = Options()

voters_app = cyclopts.App(
    name='voters', help='Show and change the voters among the control hosts.'
)


@voters_app.command
def status(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows the voters and learners as the leader sees them."""
    consensus = options.client().get('/v1/status')['consensus']
    title = (
        f'leader {consensus["leader"]}, term {consensus["term"]}, '
        f'{consensus["target_voters"]} voters wanted, retired: '
        f'{", ".join(consensus["retired"]) or "none"}'
    )
    options.show(consensus, make_table(title, COLUMNS, _rows(consensus)))


@voters_app.command
def retire(host: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Replaces a control host as a voter by another one; stop it only after that."""
    options.change('voters-change', {'retire': host}, f'control host {host} will be replaced')


@voters_app.command(name='take-back')
def take_back(host: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Allows a retired control host to rejoin."""
    options.change('voters-change', {'take_back': host}, f'control host {host} can rejoin')


@voters_app.command
def count(
    voters: Annotated[int, Parameter(help='An odd number: 1, 3, 5 or 7.')],
    *,
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Sets the number of control hosts that vote."""
    options.change('voters-change', {'count': voters}, f'number of voters set to {voters}')


def _rows(consensus: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        _row(consensus, member, role)
        for role, members in (('voter', consensus['voters']), ('learner', consensus['learners']))
        for member in members
    ]


def _row(consensus: dict[str, Any], member: str, role: str) -> dict[str, Any]:
    host, _, disk = member.partition('@')
    is_leader = member == consensus['node']
    return {
        'host': host,
        'role': 'leader' if is_leader else role,
        'disk': disk,
        'matched_index': consensus['matched'].get(member, consensus['last_index']),
        'linked': 'yes' if is_leader or host in consensus['linked'] else 'no',
    }
