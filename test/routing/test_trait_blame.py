"""The decision on parts of prompts that crash engines, without a network."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.emulator.blame_play import Scenario, play
from jackdawsail.routing.ended_engines import SAME_MOMENT_SECONDS
from jackdawsail.routing.trait_blame import (
    MAX_BLOCKED,
    MAX_CALLS_PER_END,
    MAX_ENDS,
    MAX_SOUND,
    TraitBlame,
)
from jackdawsail.wire.trait_messages import AgedEnd, AgedSoundAnswer, SuspectCall, TraitEvidence

MAX_SENDS_AFTER = 3


def call(number, *parts, just_begun=True):
    return SuspectCall(f'own{number}', list(parts), just_begun)


def end_engines(blame, times, *parts, first=0):
    """Ends one engine at each time, with one call under the parts on it."""
    for number, seconds in enumerate(times, start=first):
        blame.record_end(f'i-{number}', seconds, [call(number, *parts)], seconds)


def find(blame, seconds):
    return blame.find_bad(seconds)


def test_a_part_of_one_end_after_the_other_is_bad():
    blame = TraitBlame()
    end_engines(blame, [1, 2], 'bad')
    assert find(blame, 2) == []
    end_engines(blame, [3], 'bad', first=2)
    assert find(blame, 3) == ['bad']
    assert blame.blocked_among(['x', 'bad']) == 'bad'


def test_an_answer_that_began_after_the_ends_speaks_for_its_part():
    blame = TraitBlame()
    end_engines(blame, [1, 2], 'sound')
    assert blame.record_sound('sound', 2.1)
    end_engines(blame, [3, 4], 'sound', first=2)
    assert find(blame, 5) == []


def test_an_answer_that_began_before_an_end_does_not_speak_for_its_part():
    blame = TraitBlame()
    end_engines(blame, [1, 2, 3], 'bad')
    blame.record_sound('bad', 0.9)
    assert find(blame, 4) == ['bad']


def test_evidence_of_an_old_end_that_arrives_late_does_not_count_again():
    blame = TraitBlame()
    end_engines(blame, [1, 2, 3], 'sound')
    blame.record_sound('sound', 3.5)
    blame.record_end('i-1', 2, [call(9, 'sound')], 4)
    end_engines(blame, [4, 5], 'sound', first=5)
    assert find(blame, 6) == []


def test_an_answer_that_is_known_before_the_end_it_clears_counts():
    blame = TraitBlame()
    assert not blame.record_sound('sound', 9)
    end_engines(blame, [1, 3, 5], 'sound')
    assert (find(blame, 6), blame.suspected_among(['sound'])) == ([], [])


def test_a_report_of_an_end_with_another_time_revives_no_evidence():
    blame = TraitBlame()
    blame.record_end('i-1', 9, [call(1, 'sound')], 10)
    assert not blame.record_sound('sound', 5)
    blame.record_end('i-1', 1, [], 10)
    assert not blame.record_sound('sound', 5)


def test_an_end_beside_ends_of_others_counts_by_its_share_of_them():
    blame = TraitBlame()
    for number in range(4):
        blame.record_end(f'i-{number}', number, [call(number, 'sound')], number)
        blame.record_end(f'j-{number}', number, [call(f'x{number}', f'other{number}')], number)
    assert find(blame, 5) == []


def test_engines_that_end_together_count_once():
    blame = TraitBlame()
    times = [1, 1, 1 + SAME_MOMENT_SECONDS / 2, 3, 3, 3 + SAME_MOMENT_SECONDS / 2]
    end_engines(blame, times, 'sound')
    assert find(blame, 4) == []


def test_many_engines_that_end_together_do_not_count():
    blame = TraitBlame()
    end_engines(blame, [1] * 4 + [2] * 4 + [3] * 6 + [4] * 4, 'sound')
    assert find(blame, 5) == []


def test_a_part_that_several_calls_on_each_engine_have_is_not_bad():
    blame = TraitBlame()
    for number in range(4):
        calls = [call(f'{number}/{each}', 'popular', f'd{number}') for each in range(3)]
        blame.record_end(f'i-{number}', number, calls, number)
    assert find(blame, 4) == []


def test_the_repeat_of_one_call_that_meets_further_ends_blocks_no_part():
    blame = TraitBlame()
    for number, seconds in enumerate((1, 2, 3, 4, 5, 6)):
        blame.record_end(f'i-{number}', seconds, [call(0, 'sound')], seconds)
    assert find(blame, 7) == []


def test_a_part_that_is_in_few_of_many_ends_is_not_bad():
    blame = TraitBlame()
    for number in range(12):
        parts = ['sound'] if number % 4 == 0 else [f'other{number}']
        blame.record_end(f'i-{number}', number, [call(number, *parts)], number)
    assert find(blame, 12) == []


def test_parts_beside_a_bad_one_are_not_blocked_with_it():
    blame = TraitBlame()
    for number in range(4):
        calls = [call(number, 'first', 'bad', f'd{number}'), call(f'x{number}', 'first', 'e')]
        calls.append(call(f'y{number}', 'first', 'e', just_begun=False))
        blame.record_end(f'i-{number}', number, calls, number)
    assert find(blame, 4) == ['bad']
    end_engines(blame, [5], 'first', first=9)
    assert find(blame, 6) == []


def test_a_lifted_part_is_not_blocked_again_by_older_evidence():
    blame = TraitBlame()
    end_engines(blame, [1, 2, 3], 'bad')
    find(blame, 3)
    older = blame.snapshot(3)
    blame.apply_stored(5, ['bad'])
    blame.apply_stored(6, [])
    assert blame.blocked == ()
    blame.merge(older, 4)
    assert (blame.blocked, find(blame, 5)) == ((), [])
    end_engines(blame, [6, 7, 8], 'bad', first=5)
    assert find(blame, 8) == ['bad']


def test_an_older_stored_list_changes_nothing():
    blame = TraitBlame()
    blame.apply_stored(6, ['bad'])
    assert not blame.apply_stored(5, [])
    assert blame.blocked == ('bad',)


def test_a_process_that_starts_gets_the_whole_evidence():
    blame = TraitBlame()
    end_engines(blame, [1, 2], 'bad', 'first')
    blame.record_sound('first', 2.5)
    blame.block('other')
    started = TraitBlame()
    started.merge(blame.snapshot(10), 110)
    started.record_end('i-9', 112, [call(9, 'bad', 'first')], 112)
    assert find(started, 112) == ['bad']
    assert started.blocked == ('other', 'bad')


ENDS = st.builds(
    AgedEnd,
    st.sampled_from(['i-1', 'i-2', 'i-3', 'i-4']),
    st.floats(0, 9),
    st.lists(
        st.builds(
            SuspectCall,
            st.sampled_from('pqrs'),
            st.lists(st.sampled_from(['a', 'b', 'c']), unique=True).map(sorted),
            st.booleans(),
        ),
        max_size=3,
    ),
)
SOUND = st.builds(AgedSoundAnswer, st.sampled_from(['a', 'b', 'c']), st.floats(0, 9))
EVIDENCE = st.builds(
    TraitEvidence,
    st.just(0),
    st.lists(ENDS, max_size=3),
    st.lists(SOUND, max_size=2),
    st.lists(st.sampled_from(['a', 'b', 'c']), max_size=1),
)


@settings(max_examples=400)
@given(st.lists(EVIDENCE, max_size=6), st.randoms(use_true_random=False))
def test_evidence_that_is_repeated_adds_nothing(messages, rng):
    blame = TraitBlame()
    for message in messages:
        blame.merge(message, 100)
    repeated = list(messages)
    rng.shuffle(repeated)
    for message in repeated:
        added = blame.merge(message, 100)
        assert added.blocked == []
        assert added.sound == []


def test_memory_is_bounded_against_any_number_of_parts():
    blame = TraitBlame()
    rng = random.Random(1)
    for number in range(3000):
        calls = [call(f'{number}/{each}', f'p{rng.random()}') for each in range(100)]
        blame.record_end(f'i-{number}', number, calls, number)
        blame.block(f'b{number}')
        blame.record_sound(calls[0].traits[0], number + 1)
    snapshot = blame.snapshot(3000)
    assert len(snapshot.ends) <= MAX_ENDS
    assert all(len(end.calls) <= MAX_CALLS_PER_END for end in snapshot.ends)
    assert len(snapshot.sound) <= MAX_SOUND
    assert len(snapshot.blocked) <= MAX_BLOCKED


class TestPlays:
    """Seeded plays of engines that end by a bad part, by chance, or both."""

    @pytest.mark.parametrize('seed', range(12))
    @pytest.mark.parametrize('bad_per_second', [0.2, 0.5])
    def test_a_bad_part_is_blocked_and_stays_so(self, seed, bad_per_second):
        played = play(Scenario('bad', bad_per_second=bad_per_second, length_seconds=60), seed)
        assert played.blocked_seconds is not None
        assert played.sends_after <= MAX_SENDS_AFTER
        assert played.sound_refused == 0

    @pytest.mark.parametrize('seed', range(12))
    @pytest.mark.parametrize('together', [1, 3, 8])
    def test_ends_by_chance_block_no_part_that_many_calls_have(self, seed, together):
        scenario = Scenario('chance', chance_ends=4, together=together, chance_span_seconds=15)
        played = play(scenario, seed)
        assert not [part for part in played.sound_blocked if not part.startswith('rare')]
        assert played.sound_refused <= played.sound_calls / 500

    @pytest.mark.parametrize('seed', range(12))
    def test_a_bad_part_among_ends_by_chance_is_blocked(self, seed):
        scenario = Scenario('both', bad_per_second=0.5, chance_ends=4, length_seconds=60)
        played = play(scenario, seed)
        assert played.blocked_seconds is not None
        assert played.sends_after <= MAX_SENDS_AFTER
        assert played.sound_refused <= played.sound_calls / 500


@settings(max_examples=400)
@given(st.lists(EVIDENCE, max_size=8), st.lists(st.sampled_from('abc'), max_size=2))
def test_the_suspected_traits_are_those_of_the_ends_whatever_happens(messages, lifted):
    blame = TraitBlame()
    for number, message in enumerate(messages):
        blame.merge(message, 100)
        if number % 3 == 1:
            blame.apply_stored(number + 1, blame.blocked)
    blame.apply_stored(99, [trait for trait in blame.blocked if trait not in lifted])
    ends = blame.snapshot(100).ends
    assert blame.suspected <= {
        trait for end in ends for call in end.calls for trait in call.traits
    }
    assert all(blame.suspected_among(end.calls[0].traits) or len(end.calls) > 1 for end in ends)
