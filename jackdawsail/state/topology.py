"""Commands that change customers, sites, data centres, hosts and applied settings."""

from functools import singledispatch
from typing import Any

from returns.result import Success

from jackdawsail.state.commands import (
    Apply,
    CustomerPut,
    CustomerRemove,
    HostIn,
    HostOut,
    SitePut,
    SiteRemove,
    ZoneIn,
    ZoneOut,
)
from jackdawsail.state.draft import Draft
from jackdawsail.state.releases import Outcome, reject
from jackdawsail.state.replica import Record
from jackdawsail.wire.codec import as_plain

DECLARED_KINDS = ('customer', 'backend', 'zone', 'site')
_OPERATIONAL_FIELDS: dict[str, Record] = {
    'zone': {'mode': 'in'},
    'backend': {'release': '', 'previous': ''},
}


@singledispatch
def run_topology(command: Any, draft: Draft) -> Outcome:
    """Runs one command on a draft; rejects a command without a registered handler."""
    return reject('unknown-command', f'{type(command).__name__} is no command')


@run_topology.register
def _put_customer(command: CustomerPut, draft: Draft) -> Outcome:
    fields = _without_name(command)
    present = draft.get(f'customer/{command.name}') or {}
    fields['token_digest'] = command.token_digest or present.get('token_digest', '')
    draft.put(f'customer/{command.name}', fields)
    return Success({})


@run_topology.register
def _remove_customer(command: CustomerRemove, draft: Draft) -> Outcome:
    return _remove_record(draft, 'customer', command.name)


@run_topology.register
def _put_site(command: SitePut, draft: Draft) -> Outcome:
    required_keys = [f'zone/{command.zone}', *[f'backend/{name}' for name in command.backends]]
    for key in required_keys:
        if draft.get(key) is None:
            return reject('not-found', f'{key} does not exist')
    draft.put(f'site/{command.name}', _without_name(command))
    return Success({})


@run_topology.register
def _remove_site(command: SiteRemove, draft: Draft) -> Outcome:
    return _remove_record(draft, 'site', command.name)


@run_topology.register
def _zone_out(command: ZoneOut, draft: Draft) -> Outcome:
    zones = draft.of_kind('zone')
    if command.name not in zones:
        return reject('not-found', f'data centre {command.name} does not exist')
    others = [
        name for name, zone in zones.items() if zone['mode'] == 'in' and name != command.name
    ]
    if not others and not command.force:
        return reject('last-zone', f'{command.name} is the last data centre in service')
    draft.update(f'zone/{command.name}', mode='out')
    return Success({'mode': 'out'})


@run_topology.register
def _zone_in(command: ZoneIn, draft: Draft) -> Outcome:
    if draft.get(f'zone/{command.name}') is None:
        return reject('not-found', f'data centre {command.name} does not exist')
    draft.update(f'zone/{command.name}', mode='in')
    return Success({'mode': 'in'})


@run_topology.register
def _host_out(command: HostOut, draft: Draft) -> Outcome:
    draft.put(f'host/{command.name}', {'mode': 'out'})
    return Success({'mode': 'out'})


@run_topology.register
def _host_in(command: HostIn, draft: Draft) -> Outcome:
    # A host without a record is in service, so the state needs no list of hosts.
    if draft.get(f'host/{command.name}') is not None:
        draft.remove(f'host/{command.name}')
    return Success({'mode': 'in'})


@run_topology.register
def _apply(command: Apply, draft: Draft) -> Outcome:
    for key in sorted(command.records):
        draft.put(key, merge_declared(key, draft.get(key), command.records[key]))
    if command.prune:
        for key in _undeclared_keys(draft, command.records):
            draft.remove(key)
    zones = draft.of_kind('zone').values()
    if zones and all(zone['mode'] == 'out' for zone in zones):
        return reject('last-zone', 'no data centre would stay in service')
    return Success({'changed': len(draft.changes)})


def merge_declared(key: str, held: Record | None, declared: Record) -> Record:
    """Returns a declared record with the fields that other commands set on the held one."""
    kind = key.partition('/')[0]
    operational = _OPERATIONAL_FIELDS.get(kind, {})
    kept_fields = {name: (held or {}).get(name, initial) for name, initial in operational.items()}
    merged = {**declared, **kept_fields}
    if kind == 'customer' and not merged.get('token_digest'):
        merged['token_digest'] = (held or {}).get('token_digest', '')
    return merged


def _undeclared_keys(draft: Draft, declared: dict[str, Record]) -> list[str]:
    stored_keys = [f'{kind}/{name}' for kind in DECLARED_KINDS for name in draft.of_kind(kind)]
    return [key for key in stored_keys if key not in declared]


def _remove_record(draft: Draft, kind: str, name: str) -> Outcome:
    key = f'{kind}/{name}'
    if draft.get(key) is None:
        return reject('not-found', f'{kind} {name} does not exist')
    draft.remove(key)
    return Success({})


def _without_name(command: Any) -> Record:
    fields: Record = as_plain(command)
    fields.pop('name')
    return fields
