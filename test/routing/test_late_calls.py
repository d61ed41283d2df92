"""While calls in time are being refused, late calls do not take their slots."""

from jackdawsail.routing.late_calls import (
    MAX_REMEMBERED,
    PRESSURE_SECONDS,
    REMEMBERED_SECONDS,
    Pressure,
    RefusedCalls,
    call_fingerprint,
    has_ample_room,
    is_late,
)
from test.routing.test_placement import NOW, make_upstream

CALL = call_fingerprint(b'key', b'POST', b'/draft', b'body')


def test_a_retried_call_has_the_same_fingerprint_and_another_call_has_not():
    assert call_fingerprint(b'key', b'POST', b'/draft', b'body') == CALL
    assert call_fingerprint(b'key', b'POST', b'/draft', b'other') != CALL
    assert call_fingerprint(b'keyP', b'OST', b'/draft', b'body') != CALL


def test_time_is_counted_from_the_first_refusal():
    refused = RefusedCalls()
    assert refused.seconds_since_refusal(CALL, NOW) == 0
    refused.record_local(CALL, NOW)
    refused.record_local(CALL, NOW + 1)
    assert refused.seconds_since_refusal(CALL, NOW + 1.5) == 1.5


def test_refusals_of_other_entries_count_and_are_not_forwarded():
    refused = RefusedCalls()
    refused.record(CALL, NOW)
    assert refused.seconds_since_refusal(CALL, NOW + 1) == 1
    assert refused.take_unsent() == []
    refused.record_local(CALL, NOW)
    assert refused.take_unsent() == [CALL]
    assert refused.take_unsent() == []


def test_a_refusal_expires():
    refused = RefusedCalls()
    refused.record_local(CALL, NOW)
    assert refused.seconds_since_refusal(CALL, NOW + REMEMBERED_SECONDS - 0.1) > 0
    assert refused.seconds_since_refusal(CALL, NOW + REMEMBERED_SECONDS) == 0
    refused.record(b'other', NOW + REMEMBERED_SECONDS)
    assert list(refused._first_refused_seconds) == [b'other']


def test_the_number_of_remembered_refusals_is_bounded():
    refused = RefusedCalls()
    for number in range(MAX_REMEMBERED + 10):
        refused.record(number.to_bytes(8, 'big'), NOW)
    assert len(refused._first_refused_seconds) == MAX_REMEMBERED


def test_a_call_is_late_once_half_of_its_objective_is_used():
    assert not is_late(0, 0.4)
    assert not is_late(0.15, 0.4)
    assert is_late(0.5, 0.4)


def test_pressure_ends_a_fixed_time_after_the_last_refusal():
    pressure = Pressure()
    assert not pressure.is_active(NOW)
    pressure.record_refusal(NOW)
    assert pressure.is_active(NOW + PRESSURE_SECONDS - 0.1)
    assert not pressure.is_active(NOW + PRESSURE_SECONDS)


def test_room_is_ample_where_an_engine_has_a_quarter_of_its_slots_free():
    full, half = make_upstream(1, running=13), make_upstream(2, running=8)
    assert not has_ample_room([full], 16, NOW, 7)
    assert has_ample_room([full, half], 16, NOW, 7)
    for _ in range(4):
        half.call_sent(NOW + 0.01)
    assert not has_ample_room([full, half], 16, NOW, 7)
