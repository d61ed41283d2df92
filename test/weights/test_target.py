"""Which release a host holds and serves as operators start, pause and abort releases."""

import dataclasses

from jackdawsail.state.replica import StateReplica
from jackdawsail.weights.target import choose_target, manifests_without_digests
from test.weights.zone_sim import make_manifest


def make_records(status, digests=True):
    replica = StateReplica()
    replica.records['backend/quill'] = {'release': 'quill-2', 'previous': 'quill-1'}
    for name, is_in in (('quill-1', 'done'), ('quill-2', status)):
        record = dataclasses.asdict(make_manifest(4, name))
        record['chunk_digests'] = list(record['chunk_digests']) if digests else []
        replica.records[f'release/{name}'] = {**record, 'status': is_in}
    return replica


def test_running_release_is_the_target_and_the_previous_one_is_kept():
    target = choose_target(make_records('running'), 'quill')
    assert (target.manifest.release, target.is_active) == ('quill-2', True)
    assert target.previous.release == 'quill-1'


def test_paused_release_is_not_active():
    assert not choose_target(make_records('paused'), 'quill').is_active


def test_aborted_release_is_replaced_by_the_previous_one():
    target = choose_target(make_records('aborted'), 'quill')
    assert (target.manifest.release, target.is_active) == ('quill-1', True)


def test_release_without_chunk_digests_is_no_target_yet():
    records = make_records('running', digests=False)
    assert choose_target(records, 'quill') is None
    (unread,) = manifests_without_digests(records)
    assert (unread.release, unread.chunk_count) == ('quill-2', 4)
    assert not manifests_without_digests(make_records('running'))
