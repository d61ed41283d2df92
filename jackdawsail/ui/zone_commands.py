"""``jackdawsail zone`` and ``host``: take data centres and hosts out, and bring them back."""

from typing import Annotated, Any

import cyclopts
from cyclopts import Parameter

from jackdawsail.ui.options import Options, make_table
from jackdawsail.ui.waiting import Progressed, parse_seconds, wait_for

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
STEPS = 3
UNCHANGED = Options()

zone_app = cyclopts.App(name='zone', help='Take data centres out of service and back.')
host_app = cyclopts.App(name='host', help='Take single hosts out of service and back.')


@zone_app.command(name='out')
def zone_out(
    name: str,
    *,
    deadline: Annotated[str, Parameter(help='How long to wait, for instance 30s.')] = '30s',
    force: Annotated[bool, Parameter(help='Even the last healthy data centre.')] = False,
    wait: Annotated[bool, Parameter(help='Wait until no work runs there.')] = True,
    options: Options = UNCHANGED,
) -> None:
    """Ends new work in a data centre within its lease, then waits for the running work."""
    accepted = options.command('zone-out', {'name': name, 'force': force})
    if not wait:
        options.show(accepted, f'data centre {name} is out (revision {accepted["revision"]})')
        return
    client = options.client()
    zone = wait_for(
        f'data centre {name}',
        lambda: client.get(f'/v1/zones/{name}'),
        _progress,
        parse_seconds(deadline),
    )
    options.show(zone, make_table(name, COLUMNS, [zone]))


@zone_app.command(name='in')
def zone_in(name: str, *, options: Options = UNCHANGED) -> None:
    """Brings a data centre back; its upstreams catch up and start slowly."""
    options.change('zone-in', {'name': name}, f'data centre {name} is in')


@zone_app.command
def status(*, options: Options = UNCHANGED) -> None:
    """Shows every data centre."""
    page = options.client().listing('/v1/zones')
    options.show(page, make_table('data centres', COLUMNS, page['items']))


@host_app.command(name='out')
def host_out(name: str, *, options: Options = UNCHANGED) -> None:
    """Ends new work on one host."""
    options.change('host-out', {'name': name}, f'host {name} is out')


@host_app.command(name='in')
def host_in(name: str, *, options: Options = UNCHANGED) -> None:
    """Brings one host back."""
    options.change('host-in', {'name': name}, f'host {name} is in')


@host_app.command(name='list')
def list_hosts(*, options: Options = UNCHANGED) -> None:
    """Lists the hosts that are out."""
    page = options.client().listing('/v1/hosts')
    options.show(page, make_table('hosts', ['name', 'mode'], page['items']))


def _progress(zone: dict[str, Any]) -> Progressed:
    if zone['mode'] == 'in':
        return Progressed(0, STEPS, 'another operator has brought it back', is_complete=True)
    running = 'an unknown number of' if zone['running'] is None else zone['running']
    if not zone['new_work_ended']:
        lapse = zone['lease_lapses_in_seconds']
        return Progressed(1, STEPS, f'new work ends within {lapse:.1f} s', is_complete=False)
    text = f'no new work; {running} requests still run'
    return Progressed(STEPS if zone['complete'] else 2, STEPS, text, zone['complete'])
