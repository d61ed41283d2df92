"""``jackdawsail zone`` and ``host``: take data centres and hosts out of service and back in."""

from typing import Annotated, Any

import cyclopts
from cyclopts import Parameter

from jackdawsail.ui.options import Options, make_table
from jackdawsail.ui.waiting import WaitProgress, parse_seconds, wait_for

COLUMNS = [
    'name',
    'region',
    'mode',
    'entries',
    'running',
    'lease_lapses_in_seconds',
    'new_work_ended',
    'complete',
]
TOTAL_STEPS = 3
DEFAULT_OPTIONS = Options()

zone_app = cyclopts.App(name='zone', help='Take data centres out of service and back in.')
host_app = cyclopts.App(name='host', help='Take single hosts out of service and back in.')


@zone_app.command(name='out')
def zone_out(
    name: str,
    *,
    deadline: Annotated[str, Parameter(help='How long to wait, for example 30s.')] = '30s',
    force: Annotated[bool, Parameter(help='Also take out the last healthy data centre.')] = False,
    wait: Annotated[bool, Parameter(help='Wait until no work runs there.')] = True,
    options: Options = DEFAULT_OPTIONS,
) -> None:
    """Stops new work in a data centre within its lease, then waits for the running work."""
    accepted = options.command('zone-out', {'name': name, 'force': force})
    if not wait:
        options.show(accepted, f'data centre {name} is out (revision {accepted["revision"]})')
        return
    client = options.client()
    zone = wait_for(
        f'data centre {name}',
        lambda: client.get(f'/v1/zones/{name}'),
        _measure_progress,
        parse_seconds(deadline),
    )
    options.show(zone, make_table(name, COLUMNS, [zone]))


@zone_app.command(name='in')
def zone_in(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Returns a data centre to service; its upstreams catch up and ramp up slowly."""
    options.change('zone-in', {'name': name}, f'data centre {name} is in')


@zone_app.command
def status(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Shows all data centres."""
    page = options.client().listing('/v1/zones')
    options.show(page, make_table('data centres', COLUMNS, page['items']))


@host_app.command(name='out')
def host_out(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Stops new work on a host."""
    options.change('host-out', {'name': name}, f'host {name} is out')


@host_app.command(name='in')
def host_in(name: str, *, options: Options = DEFAULT_OPTIONS) -> None:
    """Returns a host to service."""
    options.change('host-in', {'name': name}, f'host {name} is in')


@host_app.command(name='list')
def list_hosts(*, options: Options = DEFAULT_OPTIONS) -> None:
    """Lists the hosts that are out of service."""
    page = options.client().listing('/v1/hosts')
    options.show(page, make_table('hosts', ['name', 'mode'], page['items']))


def _measure_progress(zone: dict[str, Any]) -> WaitProgress:
    if zone['mode'] == 'in':
        return WaitProgress(
            0, TOTAL_STEPS, 'another operator has returned it to service', is_complete=True
        )
    running = 'an unknown number of' if zone['running'] is None else zone['running']
    if not zone['new_work_ended']:
        lapse_seconds = zone['lease_lapses_in_seconds']
        return WaitProgress(
            1, TOTAL_STEPS, f'new work ends within {lapse_seconds:.1f} s', is_complete=False
        )
    text = f'no new work; {running} requests are still running'
    return WaitProgress(
        TOTAL_STEPS if zone['complete'] else 2, TOTAL_STEPS, text, zone['complete']
    )
