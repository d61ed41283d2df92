"""Checks that docs/reference/admin.yaml describes what the running server does."""

from pathlib import Path

import jsonschema
import pytest
import yaml

from jackdawsail.control.admin_commands import COMMAND_TYPES
from jackdawsail.ui.client import AdminClient, AdminError
from test.running_control import running_control

REFERENCE = yaml.load(
    (Path(__file__).parents[2] / 'docs' / 'reference' / 'admin.yaml').read_text('utf8'),
    yaml.BaseLoader,
)
# BaseLoader reads every scalar as text, such as the modes in and out. PLAIN is loaded
# separately for its numbers and booleans.
PLAIN = yaml.safe_load(Path(__file__).parents[2].joinpath('docs/reference/admin.yaml').read_text())


@pytest.fixture(scope='module')
def client(tmp_path_factory):
    with running_control(tmp_path_factory.mktemp('control')) as started:
        admin_client = AdminClient([started.address], 'boot')
        admin_client.command('host-out', {'name': 'h1'})
        admin_client.command('site-put', {'name': 's1', 'zone': 'attica-a', 'backends': ['quill']})
        admin_client.command(
            'release-create',
            {
                'name': 'r1',
                'backend': 'quill',
                'origin_path': 'r1',
                'size_bytes': 1,
                'chunk_bytes': 1024,
                'digest': 'a' * 64,
            },
        )
        yield admin_client


def check(document, name):
    schema = {'$ref': f'#/components/schemas/{name}', 'components': PLAIN['components']}
    jsonschema.validate(document, schema)


def test_reference_names_every_command():
    kinds = REFERENCE['components']['schemas']['Command']['properties']['kind']['enum']
    assert sorted(kinds) == sorted([*COMMAND_TYPES, 'apply'])


NAMES = {
    'releases': 'r1',
    'customers': 'label',
    'zones': 'attica-a',
    'sites': 's1',
    'hosts': 'h1',
    'backends': 'quill',
}


@pytest.mark.parametrize('kind', NAMES)
def test_lists_and_items_match_the_reference(client, kind):
    assert f'/v1/{kind}' in REFERENCE['paths']
    page = client.get(f'/v1/{kind}?limit=1')
    check(page, 'Page')
    assert NAMES[kind] in [item['name'] for item in client.listing(f'/v1/{kind}')['items']]
    item = client.get(f'/v1/{kind}/{NAMES[kind]}')
    check(item, 'Zone' if kind == 'zones' else 'Item')
    with pytest.raises(AdminError) as raised:
        client.get(f'/v1/{kind}/nothing')
    check(raised.value.problem, 'Problem')


def test_other_documents_match_the_reference(client):
    check(client.get('/v1/status'), 'Status')
    check(client.get('/v1/audit?after=0&limit=2'), 'AuditPage')
    check(client.preview('customer-put', {'name': 'label', 'weight': 3}), 'Preview')
    check(client.command('customer-put', {'name': 'label', 'weight': 3}), 'Accepted')
    assert client.get('/v1/watch?revision=0')['revision'] > 0
    with pytest.raises(AdminError) as raised:
        client.command('customer-put', {'name': 'label'}, expected_revision=1)
    check(raised.value.problem, 'Problem')
    assert raised.value.problem['differences']
    with pytest.raises(AdminError, match='not-found'):
        client.get('/v1/calls/label/k%2F1')
    with pytest.raises(AdminError, match='invalid'):
        client.get('/v1/audit?after=x')


def test_every_documented_path_is_served(client):
    for path in REFERENCE['paths']:
        assert path.split('/')[2] in {*NAMES, 'status', 'audit', 'watch', 'calls', 'commands'} | {
            'preview'
        }
