"""The decision on requests that crash engines, without a network."""

import pytest

from bench.emulator.request_play import RequestScenario, play_requests
from jackdawsail.routing.request_suspicion import MIN_TRIED_SECONDS, SETTLE_SECONDS, request_trait
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.wire.trait_messages import SuspectCall

BAD = request_trait('bad')
MAX_SENDS_AFTER = 3


def call(name, *parts, sent_age_seconds=0.05, was_answered=False):
    traits = [*parts, request_trait(name)]
    return SuspectCall(name, traits, True, sent_age_seconds, was_answered)


def end_engines(blame, times, *calls, first=0):
    """Ends one engine at each time, with these calls on it."""
    for number, seconds in enumerate(times, start=first):
        blame.record_end(f'i-{number}', seconds, calls, seconds)


class TestNeverAnswered:
    """A request that no entry has seen answered."""

    def test_it_is_blocked_after_three_ends_however_close(self):
        blame = TraitBlame()
        end_engines(blame, [1, 1.1, 1.2], call('bad'))
        assert blame.find_bad(1.2) == []
        assert blame.find_bad(1.21 + SETTLE_SECONDS) == [BAD]

    def test_two_ends_do_not_block_it(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2], call('bad'))
        assert blame.find_bad(3) == []
        assert blame.is_risky(call('bad'))

    def test_an_answer_that_began_after_an_end_takes_that_end_off(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2], call('bad'))
        blame.record_sound(BAD, 1.5)
        end_engines(blame, [3], call('bad'), first=2)
        assert blame.find_bad(4) == []

    def test_a_request_that_moved_along_is_told_apart_by_a_fourth_end(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2, 3], call('bad'), call('sound'))
        assert blame.find_bad(4) == []
        end_engines(blame, [5], call('bad'), first=3)
        assert blame.find_bad(5.2) == [BAD]
        assert blame.suspected_among([request_trait('sound')]) == []

    def test_other_calls_are_not_suspected_of_ends_under_a_blocked_request(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2, 3], call('bad'), call('beside', 'part'))
        end_engines(blame, [4], call('bad'), first=3)
        assert blame.find_bad(4.2) == [BAD]
        end_engines(blame, [5], call('bad'), call('beside', 'part'), first=4)
        assert blame.suspected_among(['part', request_trait('beside')]) == []

    def test_the_parts_of_a_blocked_request_remain_suspected(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2, 3], call('bad', 'part'))
        assert blame.find_bad(4) == [BAD]
        assert blame.suspected_among(['part']) == ['part']
        end_engines(blame, [5], call('other', 'part'), first=3)
        assert blame.find_bad(6) == ['part']


class TestAnswered:
    """A request that was answered before, which may be one that many callers send."""

    def test_three_ends_do_not_block_it(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2, 3], call('bad', was_answered=True))
        assert blame.find_bad(4) == []

    def test_a_fourth_end_does(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2, 3, 4], call('bad', was_answered=True))
        assert blame.find_bad(4) == [BAD]

    def test_one_report_that_it_was_answered_is_enough(self):
        blame = TraitBlame()
        end_engines(blame, [1, 2], call('bad'))
        end_engines(blame, [3], call('bad', was_answered=True), first=2)
        assert blame.find_bad(4) == []

    def test_copies_on_engines_that_end_together_do_not_block_it(self):
        blame = TraitBlame()
        end_engines(blame, [1, 1.01, 1.02, 1.03], call('bad', was_answered=True))
        assert blame.find_bad(2.5) == []
        assert not blame.is_risky(call('bad', was_answered=True))

    def test_it_has_time_to_be_answered(self):
        blame = TraitBlame()
        last_seconds = 1 + MIN_TRIED_SECONDS
        end_engines(blame, [1, 1.2, 1.4, last_seconds], call('bad', was_answered=True))
        assert blame.find_bad(last_seconds + 1) == []


def test_evidence_of_several_entries_about_one_end_counts_once():
    blame = TraitBlame()
    for seconds in (1, 1.01, 1.02):
        blame.record_end('i-1', seconds, [call('bad')], seconds)
    blame.record_end('i-2', 2, [call('bad')], 2)
    assert blame.find_bad(2.5) == []


class TestPlays:
    """Seeded plays of engines that end by bad requests, by chance, or both."""

    @pytest.mark.parametrize('seed', range(8))
    @pytest.mark.parametrize('bad_is_booking', [False, True])
    def test_a_bad_request_is_blocked_after_three_ends(self, seed, bad_is_booking):
        scenario = RequestScenario('bad', crashers=1, bad_is_booking=bad_is_booking)
        played = play_requests(scenario, seed)
        assert played.ends == {'bad0': 3}
        assert played.sends_after == {}
        assert played.sound_refused == 0

    @pytest.mark.parametrize('seed', range(8))
    @pytest.mark.parametrize('engines', [3, 12])
    def test_several_bad_requests_are_blocked(self, seed, engines):
        scenario = RequestScenario('several', engines=engines, crashers=3)
        played = play_requests(scenario, seed)
        assert max(played.sends_after.values(), default=0) <= MAX_SENDS_AFTER
        assert played.blocked == []

    @pytest.mark.parametrize('seed', range(8))
    def test_a_request_that_turns_bad_is_blocked(self, seed):
        scenario = RequestScenario('turns', crashers=1, bad_from_seconds=5)
        played = play_requests(scenario, seed)
        assert max(played.sends_after.values(), default=0) <= MAX_SENDS_AFTER

    @pytest.mark.parametrize('seed', range(8))
    @pytest.mark.parametrize('together', [1, 3])
    @pytest.mark.parametrize('retries', [1, 4])
    def test_ends_by_chance_block_no_lookup_that_many_callers_send(self, seed, together, retries):
        scenario = RequestScenario(
            'chance',
            chance_ends=12,
            together=together,
            popular_per_second=10,
            caller_retries=retries,
            retry_seconds=0.05,
        )
        assert play_requests(scenario, seed).sound_refused == 0
