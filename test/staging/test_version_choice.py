"""An older version is finished first only if engines are then without a usable one for less time."""

import math
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.staging.version_choice import (
    WORTH_LOADING_SECONDS,
    EngineOutlook,
    VersionProgress,
    is_finished_first,
    relay_finishes_first,
)

PIECES = 64
PACE = 0.07
SERVING = EngineOutlook(served_seconds=6, seconds_per_piece=PACE)
COLD = EngineOutlook(served_seconds=0, seconds_per_piece=PACE)
OLDER = VersionProgress(2, missing=30, pieces=PIECES, use_seconds=8)
NEWEST = VersionProgress(3, missing=PIECES, pieces=PIECES)


@pytest.mark.parametrize(
    ('older', 'newest', 'outlook', 'is_first'),
    [
        # The newest is whole before the loaded version may no longer be used.
        (OLDER, NEWEST, SERVING, False),
        # The origin fails: only the older version can be completed.
        (OLDER, replace(NEWEST, is_stalled=True), SERVING, True),
        (replace(OLDER, missing=0), replace(NEWEST, is_stalled=True), SERVING, True),
        (replace(OLDER, use_seconds=3), replace(NEWEST, is_stalled=True), SERVING, False),
        # An engine without weights serves from the older version on.
        (OLDER, NEWEST, COLD, True),
        (replace(OLDER, is_stalled=True), NEWEST, COLD, False),
        # Nearly staged, as before.
        (replace(OLDER, missing=6), NEWEST, SERVING, True),
        (replace(OLDER, missing=6, use_seconds=2), NEWEST, SERVING, False),
    ],
)
def test_choice_of_an_agent(older, newest, outlook, is_first):
    assert is_finished_first(older, newest, outlook) is is_first


@pytest.mark.parametrize(
    ('missing', 'remaining_seconds', 'use_seconds', 'is_first'),
    [
        (1, 0.5, 8, True),
        (0, 0, 8, False),
        (5, 0.5, 8, False),
        (1, 1.5, 8, False),
        (1, 0.5, 2, False),
    ],
)
def test_relay_completes_a_version_that_is_nearer_to_its_end(
    missing, remaining_seconds, use_seconds, is_first
):
    older = VersionProgress(2, missing, 5, use_seconds)
    newest = VersionProgress(3, 5, 5)
    assert relay_finishes_first(older, newest, remaining_seconds) is is_first


progresses = st.builds(
    VersionProgress,
    version=st.just(2),
    missing=st.integers(0, PIECES),
    pieces=st.just(PIECES),
    use_seconds=st.floats(0, 60),
    is_stalled=st.booleans(),
)
outlooks = st.builds(
    EngineOutlook, served_seconds=st.floats(0, 60), seconds_per_piece=st.floats(0, 1)
)
newest_progresses = st.builds(
    VersionProgress,
    version=st.just(3),
    missing=st.integers(1, PIECES),
    pieces=st.just(PIECES),
    use_seconds=st.just(math.inf),
    is_stalled=st.booleans(),
)


@given(progresses, newest_progresses, outlooks)
def test_version_that_is_finished_first_is_used_for_long_enough_to_be_worth_loading(
    older, newest, outlook
):
    if is_finished_first(older, newest, outlook):
        whole_seconds = older.missing * outlook.seconds_per_piece
        assert older.use_seconds - whole_seconds > WORTH_LOADING_SECONDS


@given(progresses, newest_progresses, outlooks)
def test_older_version_that_cannot_go_on_does_not_hold_up_one_that_can(older, newest, outlook):
    stalled = replace(older, missing=max(1, older.missing), is_stalled=True)
    assert not is_finished_first(stalled, replace(newest, is_stalled=False), outlook)
