"""The replicated site state: the highest version wins, repeated commands have no effect."""

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.site.machine import (
    CommandOutcome,
    SiteMachine,
    SiteState,
    announce_weights,
    block_trait,
    change_entries,
    lift_trait,
    put_document,
    set_zone_emptied,
    store_weight_ages,
)
from jackdawsail.site.stored_document import store_document
from jackdawsail.site.stored_weights import StoredWeights
from jackdawsail.wire.site_messages import MemberHost


def put(version, digest='d', body=b'b'):
    return put_document(store_document(version, digest, body))


def test_only_a_higher_version_replaces_the_document():
    machine = SiteMachine()
    assert machine.apply(1, put(5)) is CommandOutcome.accepted
    assert machine.apply(2, put(3, 'other', b'old')) is CommandOutcome.unchanged
    assert machine.state.document == store_document(5, 'd', b'b')
    assert machine.state.revision == 1


def test_repeated_document_is_unchanged_and_another_under_its_version_conflicts():
    machine = SiteMachine()
    machine.apply(1, put(5))
    assert machine.apply(2, put(5)) is CommandOutcome.unchanged
    assert machine.apply(3, put(5, 'other')) is CommandOutcome.conflict
    assert machine.state.document.digest == 'd'


def test_zones_are_emptied_and_restored():
    machine = SiteMachine()
    assert machine.apply(1, set_zone_emptied('z', emptied=True)) is CommandOutcome.accepted
    assert machine.apply(2, set_zone_emptied('z', emptied=True)) is CommandOutcome.unchanged
    assert machine.state.emptied_zones == ('z',)
    assert machine.apply(3, set_zone_emptied('z', emptied=False)) is CommandOutcome.accepted
    assert machine.state.emptied_zones == ()
    assert machine.state.revision == 3


def test_weight_versions_only_increase():
    machine = SiteMachine()
    machine.apply(1, announce_weights('m', 2))
    assert machine.apply(2, announce_weights('m', 1)) is CommandOutcome.unchanged
    assert machine.state.weights == (StoredWeights('m', 2, 0),)


def test_weights_become_older_and_never_younger():
    machine = SiteMachine()
    machine.apply(1, announce_weights('m', 2))
    stored = store_weight_ages([StoredWeights('m', 2, 3.5), StoredWeights('unknown', 7, 1.0)])
    assert machine.apply(2, stored) is CommandOutcome.accepted
    younger = store_weight_ages([StoredWeights('m', 2, 1.5)])
    assert machine.apply(3, younger) is CommandOutcome.unchanged
    assert machine.state.weights == (StoredWeights('m', 2, 3.5),)


def test_older_weights_are_kept_until_ages_are_stored_without_them():
    machine = SiteMachine()
    for index, (model, version) in enumerate((('m', 2), ('m', 3), ('m', 4), ('n', 2)), start=1):
        machine.apply(index, announce_weights(model, version))
    machine.apply(5, store_weight_ages([StoredWeights('m', 3, 6.0)]))
    assert machine.state.weights == (
        StoredWeights('m', 3, 6.0),
        StoredWeights('m', 4, 0),
        StoredWeights('n', 2, 0),
    )


def test_ages_of_a_version_that_is_not_announced_drop_no_other_one():
    machine = SiteMachine()
    machine.apply(1, announce_weights('m', 2))
    unknown = store_weight_ages([StoredWeights('m', 3, 6.0)])
    assert machine.apply(2, unknown) is CommandOutcome.unchanged
    assert machine.state.weights == (StoredWeights('m', 2, 0),)


def test_a_document_that_an_earlier_release_has_stored_is_read_back_unchanged():
    machine = SiteMachine()
    machine.restore(cbor2.dumps([4, 7, [5, 'd', b'kept'], [], [], [], []]))
    assert machine.state.document.body == b'kept'
    machine.apply(8, cbor2.dumps(['document', 6, 'e', b'logged']))
    assert machine.state.document == store_document(6, 'e', b'logged')


def test_document_is_stored_once_and_compressed_in_commands_and_snapshots():
    body = b'{"routes": []}' * 1000
    command = put(1, body=body)
    machine = SiteMachine()
    machine.apply(1, command)
    assert len(command) < 300
    assert len(machine.snapshot()) < 300
    assert machine.state.document.body == body


def test_weights_that_an_earlier_release_has_stored_have_no_age():
    machine = SiteMachine()
    machine.restore(cbor2.dumps([3, 7, [5, 'd', b'b'], [], [['m', 2]], [], []]))
    machine.apply(8, cbor2.dumps(['weights', 'n', 3]))
    assert machine.state.weights == (StoredWeights('m', 2, None), StoredWeights('n', 3, None))


def entries(*addresses):
    return [MemberHost(address, 'z', 'r') for address in addresses]


def test_entries_are_listed_by_address_and_removed():
    machine = SiteMachine()
    machine.apply(1, change_entries(entries('10.0.0.2', '10.0.0.1'), []))
    assert machine.state.sharing_entries == tuple(entries('10.0.0.1', '10.0.0.2'))
    repeated = change_entries(entries('10.0.0.1'), [])
    assert machine.apply(2, repeated) is CommandOutcome.unchanged
    machine.apply(3, change_entries(entries('10.0.0.3'), ['10.0.0.1']))
    assert machine.state.sharing_entries == tuple(entries('10.0.0.2', '10.0.0.3'))


def test_a_snapshot_of_the_format_without_entries_is_restored():
    machine = SiteMachine()
    machine.restore(cbor2.dumps([1, 7, [5, 'd', b'b'], ['z'], [['m', 2]]]))
    assert machine.state == SiteState(
        7, store_document(5, 'd', b'b'), ('z',), (StoredWeights('m', 2),), ()
    )


def test_a_snapshot_of_the_format_without_blocked_parts_is_restored():
    machine = SiteMachine()
    machine.restore(cbor2.dumps([2, 7, [5, 'd', b'b'], [], [], [['10.0.0.1', 'z', 'r']]]))
    assert machine.state.sharing_entries == tuple(entries('10.0.0.1'))
    assert machine.state.blocked_traits == ()


COMMANDS = st.one_of(
    st.builds(put, st.integers(1, 6), st.sampled_from('ab')),
    st.builds(set_zone_emptied, st.sampled_from('xy'), emptied=st.booleans()),
    st.builds(block_trait, st.sampled_from('pq')),
    st.builds(lift_trait, st.sampled_from('pq')),
    st.builds(announce_weights, st.sampled_from('mn'), st.integers(1, 4)),
    st.builds(
        store_weight_ages,
        st.lists(
            st.builds(
                StoredWeights, st.sampled_from('mn'), st.integers(1, 4), st.floats(0.1, 9.0)
            ),
            max_size=3,
        ),
    ),
    st.builds(
        change_entries,
        st.lists(st.sampled_from(entries('a', 'b'))),
        st.lists(st.sampled_from('ab')),
    ),
)


@given(st.lists(COMMANDS, max_size=20))
def test_snapshot_restores_the_whole_state_and_versions_never_decrease(commands):
    machine = SiteMachine()
    before = machine.state
    for index, command in enumerate(commands, start=1):
        machine.apply(index, command)
        state = machine.state
        assert state.document.version >= before.document.version
        assert state.revision >= before.revision
        ages_seconds = {(each.model, each.version): each.age_seconds for each in state.weights}
        for each in before.weights:
            newest = max(version for model, version in ages_seconds if model == each.model)
            assert newest >= each.version
            assert ages_seconds.get((each.model, each.version), 9.0) >= each.age_seconds
        before = state
    copy = SiteMachine()
    copy.restore(machine.snapshot())
    assert copy.state == machine.state
