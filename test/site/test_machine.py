"""The replicated site state: the highest version wins, repeated commands have no effect."""

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.site.machine import (
    CommandOutcome,
    SiteMachine,
    SiteState,
    StoredDocument,
    announce_weights,
    block_trait,
    change_entries,
    lift_trait,
    put_document,
    set_zone_emptied,
)
from jackdawsail.wire.site_messages import MemberHost


def put(version, digest='d', body=b'b'):
    return put_document(StoredDocument(version, digest, body))


def test_only_a_higher_version_replaces_the_document():
    machine = SiteMachine()
    assert machine.apply(1, put(5)) is CommandOutcome.accepted
    assert machine.apply(2, put(3, 'other', b'old')) is CommandOutcome.unchanged
    assert machine.state.document == StoredDocument(5, 'd', b'b')
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
    assert machine.state.weight_versions == (('m', 2),)


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
    assert machine.state == SiteState(7, StoredDocument(5, 'd', b'b'), ('z',), (('m', 2),), ())


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
        held = dict(state.weight_versions)
        for model, version in before.weight_versions:
            assert held[model] >= version
        before = state
    copy = SiteMachine()
    copy.restore(machine.snapshot())
    assert copy.state == machine.state
