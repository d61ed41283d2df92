"""``jackdawsail voters``: who votes among the control hosts."""

from typing import Annotated, Any

import cyclopts
from cyclopts import Parameter

from jackdawsail.ui.options import Options, make_table

COLUMNS = ['host', 'role', 'disk', 'matched_index', 'linked']
UNCHANGED = Options()

voters_app = cyclopts.App(name='voters', help='Who votes among the control hosts.')


@voters_app.command
def status(*, options: Options = UNCHANGED) -> None:
    """Shows the voters and learners as the leader sees them."""
    consensus = options.client().get('/v1/status')['consensus']
    title = (
        f'leader {consensus["leader"]}, term {consensus["term"]}, '
        f'{consensus["target_voters"]} voters wanted, retired: '
        f'{", ".join(consensus["retired"]) or "none"}'
    )
    options.show(consensus, make_table(title, COLUMNS, _rows(consensus)))


@voters_app.command
def retire(host: str, *, options: Options = UNCHANGED) -> None:
    """Lets another control host take the place of one; stop that one only afterwards."""
    options.change('voters-change', {'retire': host}, f'control host {host} will be replaced')


@voters_app.command(name='take-back')
def take_back(host: str, *, options: Options = UNCHANGED) -> None:
    """Lets a retired control host join again."""
    options.change('voters-change', {'take_back': host}, f'control host {host} may join again')


@voters_app.command
def count(
    voters: Annotated[int, Parameter(help='An odd number: 1, 3, 5 or 7.')],
    *,
    options: Options = UNCHANGED,
) -> None:
    """Sets how many control hosts shall vote."""
    options.change('voters-change', {'count': voters}, f'{voters} control hosts shall vote')


def _rows(consensus: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        _row(consensus, member, role)
        for role, members in (('voter', consensus['voters']), ('learner', consensus['learners']))
        for member in members
    ]


def _row(consensus: dict[str, Any], member: str, role: str) -> dict[str, Any]:
    host, _, disk = member.partition('@')
    leads = member == consensus['node']
    return {
        'host': host,
        'role': 'leader' if leads else role,
        'disk': disk,
        'matched_index': consensus['matched'].get(member, consensus['last_index']),
        'linked': 'yes' if leads or host in consensus['linked'] else 'no',
    }
