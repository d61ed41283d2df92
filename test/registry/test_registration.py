"""Late, repeated and reordered heartbeats never restore an older incarnation."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.registry.registration import Registration, RegistrationTable

BEAT = Registration(
    upstream='i-1',
    service='s',
    address='10.0.0.1:80',
    zone='z',
    places=4,
    leaving=False,
    cold_seconds=0,
    born_milliseconds=1000,
    sequence=1,
)


def test_a_later_heartbeat_replaces_an_earlier_one_but_not_vice_versa():
    table = RegistrationTable()
    assert table.update(replace(BEAT, sequence=5), 1.0)
    assert not table.update(replace(BEAT, sequence=4, leaving=True), 2.0)
    assert not table.get('i-1').registration.leaving


def test_a_restart_under_the_same_id_restarts_its_sequence():
    table = RegistrationTable()
    table.update(replace(BEAT, sequence=50), 1.0)
    assert table.update(replace(BEAT, born_milliseconds=2000, sequence=1), 2.0)
    assert not table.update(replace(BEAT, sequence=51), 3.0)


def test_an_address_belongs_to_the_youngest_incarnation():
    table = RegistrationTable()
    table.update(replace(BEAT, upstream='i-2', service='other', born_milliseconds=2000), 1.0)
    table.update(replace(BEAT, sequence=9), 2.0)
    assert table.holders()['10.0.0.1:80'].upstream == 'i-2'


def test_a_late_heartbeat_after_deregistration_changes_nothing():
    table = RegistrationTable()
    table.update(replace(BEAT, sequence=3), 1.0)
    assert table.mark_gone('i-1', 2.0).gone
    assert not table.update(replace(BEAT, sequence=4), 3.0)
    assert table.get('i-1').registration.leaving
    assert table.mark_gone('unknown', 3.0) is None


def test_an_incarnation_that_leaves_does_not_return_to_service():
    table = RegistrationTable()
    table.update(replace(BEAT, leaving=True), 1.0)
    table.update(replace(BEAT, sequence=2), 2.0)
    assert table.get('i-1').registration.leaving


def test_silent_upstreams_are_removed_after_a_while():
    table = RegistrationTable()
    table.update(BEAT, 1.0)
    table.forget_old(30.0)
    assert table.get('i-1') is not None
    table.forget_old(100.0)
    assert table.get('i-1') is None


def test_one_heartbeat_with_a_wrong_time_of_birth_is_forgotten_without_a_restart():
    table = RegistrationTable()
    table.update(replace(BEAT, born_milliseconds=10**15), 1.0)
    for second in range(2, 62):
        assert not table.update(replace(BEAT, sequence=second), second)
        table.forget_old(second)
    assert table.update(replace(BEAT, sequence=99), 63.0)


BEATS = st.builds(
    lambda born, sequence: replace(BEAT, born_milliseconds=born, sequence=sequence),
    st.integers(1, 3),
    st.integers(1, 5),
)


@given(st.lists(BEATS, min_size=1), st.randoms())
def test_the_order_of_arrival_does_not_matter(beats, rng):
    newest = []
    for _ in range(2):
        rng.shuffle(beats)
        table = RegistrationTable()
        for beat in beats:
            table.update(beat, 1.0)
        newest.append(table.get('i-1').registration)
    assert newest[0] == newest[1]
