"""Placement with full engines, uneven services and many entries."""

import math
import random
from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from jackdawsail.registry.registration import ModelVersion, Registration
from jackdawsail.routing.placement import (
    RETRY_AFTER_MAX_SECONDS,
    RETRY_AFTER_MIN_SECONDS,
    Choice,
    PlacedCall,
    Refusal,
    choose_engine,
    choose_service,
    expected_wait_seconds,
)
from jackdawsail.routing.shared_limits import ColdBound, RetryShare
from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import ReceivedLoad, Upstream
from jackdawsail.routing.weight_rules import weight_rule
from jackdawsail.site.view import WeightTarget
from jackdawsail.wire.site_messages import EngineLoad, MemberHost
from test.routing.test_shares import make_shares
from test.site.documents import ENGINE

NOW = 100.0
CALL = PlacedCall(target_seconds=0.4, region='r')


def make_upstream(number=1, running=None, waiting=0, region='r', version=1, switching=False):
    registration = Registration(
        upstream=f'i-{number}',
        service='s',
        address=f'10.0.0.{number}:80',
        zone='z',
        places=16,
        leaving=False,
        cold_seconds=0,
        born_milliseconds=1,
        sequence=1,
        models=(ModelVersion('m', version),),
    )
    upstream = Upstream(registration, NOW, region)
    if running is not None:
        load = EngineLoad(
            engine_address=registration.address,
            incarnation=1,
            sequence=1,
            weight_version=version,
            switching=switching,
            waiting=waiting,
            running=running,
            memory_share=0,
            pace=1.0,
        )
        upstream.last_report = ReceivedLoad(load, NOW)
    return upstream


def choose(candidates, seed=1, call=CALL):
    return choose_engine(call, ENGINE, candidates, NOW, random.Random(seed))


def test_the_less_loaded_engine_is_chosen():
    busy, idle = make_upstream(1, running=14), make_upstream(2, running=3)
    assert choose([busy, idle]).upstream is idle


def test_an_engine_of_the_own_region_is_chosen_unless_a_remote_one_has_much_less_load():
    near, far = make_upstream(1, running=6), make_upstream(2, running=5, region='other')
    assert choose([near, far]).upstream is near
    full = make_upstream(3, running=16, waiting=1)
    assert choose([full, far]).upstream is far


def test_own_calls_since_the_report_count():
    called, other = make_upstream(1, running=5), make_upstream(2, running=5)
    for _ in range(8):
        called.call_sent(NOW + 0.01)
    assert all(choose([called, other], seed).upstream is other for seed in range(5))


def test_a_call_is_refused_at_once_when_every_queue_is_too_long():
    refused = choose([make_upstream(1, running=16, waiting=9)])
    assert isinstance(refused, Refusal)
    assert RETRY_AFTER_MIN_SECONDS <= refused.retry_after_seconds <= RETRY_AFTER_MAX_SECONDS


def test_the_rest_of_a_begun_stream_waits_in_the_shortest_queue_though_new_calls_are_refused():
    begun = replace(CALL, is_begun=True)
    longer, shorter = (make_upstream(number, 16, waiting) for number, waiting in ((1, 9), (2, 7)))
    assert isinstance(choose([longer, shorter]), Refusal)
    assert choose([longer, shorter], call=begun).upstream is shorter
    assert isinstance(choose([make_upstream(1, running=16, waiting=900)], call=begun), Refusal)


@pytest.mark.parametrize('running', range(16))
def test_no_call_is_refused_while_a_slot_is_free(running):
    assert isinstance(choose([make_upstream(1, running=running)]), Choice)


def test_an_engine_with_free_slots_is_chosen_though_a_full_one_seems_faster():
    near_full = make_upstream(1, running=16, waiting=3)
    lagging = make_upstream(2, running=4)
    lagging.record_first_event(3.0, NOW)
    lagging.failure_share = 0.5
    assert choose([near_full, lagging]).upstream is lagging


def test_refused_callers_do_not_retry_together():
    rng = random.Random(3)
    full = make_upstream(1, running=16, waiting=20)
    times = [choose_engine(CALL, ENGINE, [full], NOW, rng).retry_after_seconds for _ in range(200)]
    buckets = Counter(int(seconds * 5) for seconds in times)
    assert max(buckets.values()) < 80


def test_an_engine_without_reports_is_taken_to_get_as_much_from_every_entry():
    silent, reported = make_upstream(1), make_upstream(2, running=9)
    silent.calls = 3
    rng = random.Random(1)
    chosen = choose_engine(CALL, ENGINE, [silent, reported], NOW, rng, entries=9)
    assert chosen.upstream is reported


def test_an_engine_whose_first_events_lag_is_avoided_for_a_while():
    lagging, sound = make_upstream(1, running=2), make_upstream(2, running=9)
    lagging.record_first_event(0.9, NOW)
    assert choose([lagging, sound]).upstream is sound
    lagging.last_report = ReceivedLoad(lagging.last_report.load, NOW + 8)
    later = choose_engine(CALL, ENGINE, [lagging, sound], NOW + 8, random.Random(1))
    assert later.upstream is lagging


def test_a_longer_queue_means_a_longer_wait():
    waits = [
        expected_wait_seconds(make_upstream(1, running=16, waiting=waiting), ENGINE, NOW)
        for waiting in range(6)
    ]
    assert waits == sorted(waits)
    assert waits[0] < waits[-1]


def test_a_slow_or_failing_service_is_avoided():
    rng = random.Random(2)
    good, slow, failing = (make_upstream(number) for number in (1, 2, 3))
    good.mean_answer_seconds, slow.mean_answer_seconds, failing.mean_answer_seconds = (
        0.05,
        0.2,
        0.05,
    )
    failing.failure_share = 0.5
    chosen = Counter(
        choose_service(CALL, [good, slow, failing], rng).upstream.name for _ in range(20)
    )
    assert chosen == {'i-1': 20}


def test_a_failed_upstream_is_suspended_longer_each_time_and_recovers():
    upstream = make_upstream()
    upstream.call_failed(NOW)
    first = upstream.suspended_until_seconds - NOW
    upstream.call_failed(NOW)
    assert upstream.suspended_until_seconds - NOW > first
    for _ in range(10):
        upstream.call_failed(NOW)
    assert upstream.suspended_until_seconds - NOW <= 4.0
    upstream.call_answered(0.1, NOW, failed=False)
    assert upstream.suspensions == 0


class TestShares:
    """Totals over all entries stay under their limits."""

    @pytest.mark.parametrize('entries', [1, 3, 7, 38])
    def test_retries_of_all_entries_stay_within_the_budget(self, entries):
        parts = [(RetryShare(0.2, 102, 10.0), shares) for shares in make_shares(entries)]
        rng = random.Random(5)
        repeats, firsts = [], []
        for step in range(20_000):
            now = step * 0.002
            share, shares = rng.choice(parts)
            if rng.random() < 0.3:
                share.record_first(now)
                firsts.append(now)
            elif share.take(shares, now):
                repeats.append(now)
        for start in range(0, 30, 3):
            retries = [time for time in repeats if start <= time < start + 10]
            first_sends = [time for time in firsts if start <= time < start + 10]
            assert len(retries) <= 0.2 * len(first_sends) + 102

    def test_an_entry_that_is_not_listed_repeats_only_in_proportion_to_its_first_sends(self):
        share, unlisted = RetryShare(0.2, 102, 10.0), EntryShares('10.9.9.9')
        assert not share.take(unlisted, NOW)
        for _ in range(100):
            share.record_first(NOW)
        assert sum(share.take(unlisted, NOW) for _ in range(200)) <= 0.2 * 100

    def test_entries_that_restart_together_do_not_repeat_the_slack_within_its_window(self):
        hosts = [MemberHost(f'10.9.0.{number}', 'z', 'r') for number in range(38)]
        repeats = 0
        for started_seconds in (-math.inf, NOW):
            for host in hosts:
                share, shares = (
                    RetryShare(0.2, 220, 10.0),
                    EntryShares(host.address, started_seconds),
                )
                shares.update(hosts, NOW)
                while share.take(shares, NOW):
                    repeats += 1
        assert repeats <= 220

    @given(st.lists(st.floats(0.1, 12), max_size=8))
    @example([0.1, 0.1])
    def test_an_entry_that_restarts_again_and_again_does_not_exceed_the_slack_in_any_window(
        self, lives_seconds
    ):
        host, repeats = MemberHost('10.9.9.9', 'z', 'r'), []
        started_seconds, ended_seconds = -math.inf, NOW
        for life_seconds in (*lives_seconds, 12):
            share = RetryShare(0.2, 102, 10.0)
            shares = EntryShares(host.address, started_seconds)
            now, ended_seconds = ended_seconds, ended_seconds + life_seconds
            shares.update([host], now)
            while now < ended_seconds:
                while share.take(shares, now):
                    repeats.append(now)
                now += 0.1
            started_seconds = ended_seconds
        for start in repeats:
            assert sum(start <= time < start + 10 for time in repeats) <= 102

    @pytest.mark.parametrize('entries', [1, 5, 7, 9, 38, 97])
    def test_calls_of_all_entries_to_a_cold_engine_stay_under_its_limit(self, entries):
        bound = ColdBound(1.5, 5)
        views = [(make_upstream(), shares) for shares in make_shares(entries)]
        rng = random.Random(7)
        sent = []
        for step in range(6000):
            now = NOW + step * 0.001
            view, shares = rng.choice(views)
            if bound.allows(view, 26, shares, now):
                view.call_sent(now)
                sent.append(now)
        for start in range(0, 5000, 100):
            begin = NOW + start * 0.001
            assert sum(begin <= time < begin + 1 for time in sent) <= 26 * 1.5 + 5

    def test_an_engine_that_reports_cold_gets_no_more_than_it_tolerates(self):
        upstream = make_upstream()
        upstream.cold_until_seconds = NOW + 3
        allowed = 0
        [shares] = make_shares(1)
        while ColdBound(1.5, 5).allows(upstream, 26, shares, NOW):
            upstream.call_sent(NOW)
            allowed += 1
        assert 0 < allowed <= 26


class TestWeights:
    """Old weights serve until shortly before the time limit, then only new ones do."""

    def rule(self, *announced, now=NOW, pinned=0):
        targets = [WeightTarget(version, announced_at) for version, announced_at in announced]
        return weight_rule('m', targets, 8.0, now, pinned)

    def test_both_versions_may_serve_at_first(self):
        rule = self.rule((2, NOW - 3))
        assert rule.allows(make_upstream(version=1), NOW)
        assert rule.allows(make_upstream(version=2), NOW)
        assert rule.expected_version == 0

    def test_only_the_new_version_may_serve_shortly_before_the_time_limit(self):
        rule = self.rule((2, NOW - 7.5))
        assert not rule.allows(make_upstream(version=1), NOW)
        assert rule.allows(make_upstream(version=2), NOW)
        assert rule.expected_version == 2

    def test_a_later_version_does_not_extend_the_time_limit_of_an_earlier_one(self):
        rule = self.rule((2, NOW - 7.9), (3, NOW - 4.9))
        assert not rule.allows(make_upstream(version=1), NOW)
        assert rule.allows(make_upstream(version=2), NOW)

    def test_a_resumed_stream_stays_on_its_version(self):
        rule = self.rule((2, NOW - 1), pinned=1)
        assert rule.allows(make_upstream(version=1), NOW)
        assert not rule.allows(make_upstream(version=2), NOW)

    def test_an_engine_that_changes_over_or_has_no_weights_gets_no_calls(self):
        rule = self.rule()
        assert not rule.allows(make_upstream(running=1, switching=True), NOW)
        assert not rule.allows(make_upstream(version=0), NOW)
