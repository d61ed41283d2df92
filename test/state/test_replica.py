"""A replica converges under late, duplicate and reordered updates; its revision never decreases."""

from hypothesis import given, settings
from hypothesis import strategies as st

from jackdawsail.state.history import DeltaHistory
from jackdawsail.state.replica import StateReplica, UpdateOutcome, apply_changes
from jackdawsail.wire.membership_messages import StateDelta, StateSnapshot

CHANGES = st.dictionaries(
    st.sampled_from(['zone/a', 'zone/b', 'host/c']),
    st.one_of(st.none(), st.fixed_dictionaries({'mode': st.sampled_from(['in', 'out'])})),
    min_size=1,
)


@settings(max_examples=150, derandomize=True)
@given(st.lists(CHANGES, min_size=1, max_size=12), st.randoms(use_true_random=False))
def test_replica_equals_source_under_any_delivery(changes, rng):
    history, records, messages, by_revision = DeltaHistory(4), {}, [], {0: {}}
    for revision, change in enumerate(changes, start=1):
        history.record(revision, change)
        apply_changes(records, change)
        by_revision[revision] = dict(records)
        messages.append(history.update_since(rng.randrange(revision), records))
    replica, revisions = StateReplica(), [0]
    for _ in range(30):
        replica.apply_update(rng.choice(messages))
        revisions.append(replica.revision)
        assert replica.records == by_revision[replica.revision]
    assert revisions == sorted(revisions)
    final = history.update_since(replica.revision, records)
    if final is not None:
        assert replica.apply_update(final) is UpdateOutcome.applied
    assert replica.records == records


def test_update_is_applied_stale_or_a_gap_and_watchers_get_the_keys():
    replica, notified = StateReplica(), []
    replica.watch(notified.append)
    assert replica.apply_update(StateDelta(2, 3, {})) is UpdateOutcome.gap
    assert (
        replica.apply_update(StateSnapshot(2, {'zone/a': {'mode': 'in'}})) is UpdateOutcome.applied
    )
    assert replica.apply_update(StateSnapshot(1, {})) is UpdateOutcome.stale
    assert replica.apply_update(StateDelta(2, 3, {'zone/a': None})) is UpdateOutcome.applied
    assert notified == [{'zone/a'}, {'zone/a'}]
    assert replica.of_kind('zone') == {}
