"""Leases across leader changes, tracker changes, zones taken out, and releases over 39 zones."""

import pytest

from jackdawsail.control.rollout import STRAGGLER_TIMEOUT_SECONDS, RolloutEvaluator
from jackdawsail.control.zone_leases import ZoneLeases, ZoneRule
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.membership_messages import BackendSummary, LeaseRequest

LEASE = 2.5
IN = ZoneRule(in_service=True, host_out=False)
OUT = ZoneRule(in_service=False, host_out=False)


def entry(name, zone='attica-a', incarnation=1):
    return Identity(Role.entry, name, zone, 'attica', incarnation)


def summary(serving=1, running=0, release='r1', failed=None):
    failed = failed or {}
    return BackendSummary(
        serving + len(failed), serving, running, 0, 8, {release: serving}, failed
    )


def request(identity, sequence=1, leaving=False, backends=None):
    address = f'{identity.name}:1'
    return LeaseRequest(identity.zone, sequence, 1, 0, address, address, leaving, backends or {})


def ask(leases, identity, now, rule=IN, **options):
    return leases.grant(request(identity, **options), identity, rule, now)


@pytest.fixture
def leases():
    zone_leases = ZoneLeases(LEASE)
    zone_leases.become_leader(1, 0)
    return zone_leases


def test_grant_numbers_increase_across_leaders(leases):
    numbers = [ask(leases, entry('e1'), 1).number, ask(leases, entry('e2'), 1).number]
    leases.become_leader(2, 5)
    numbers.append(ask(leases, entry('e1'), 5).number)
    before = leases.directory_revision
    leases.become_leader(2, 9)
    numbers.append(ask(leases, entry('e1'), 9).number)
    assert leases.directory_revision > before
    assert numbers == sorted(set(numbers))


def test_new_leader_waits_before_it_appoints_a_tracker_or_reports_a_lapse(leases):
    assert ask(leases, entry('e1'), 1).lease_seconds == LEASE
    assert not ask(leases, entry('e1'), LEASE - 0.1).is_tracker
    assert ask(leases, entry('e1'), LEASE).is_tracker
    leases.become_leader(2, 100)
    assert leases.view('attica-a', 101).lapses_in_seconds == pytest.approx(LEASE - 1)
    assert not ask(leases, entry('e1'), 101).is_tracker


def test_only_one_tracker_while_earlier_grants_may_be_valid(leases):
    first = [ask(leases, entry(f'e{turn}'), 3).is_tracker for turn in range(4)]
    assert sum(first) == 1
    tracker = entry(f'e{first.index(True)}')
    others = [entry(f'e{turn}') for turn in range(4) if f'e{turn}' != tracker.name]
    restarted = entry(tracker.name, incarnation=2)
    last_grant = 4.0
    assert ask(leases, tracker, last_grant).is_tracker
    for step in range(1, 100):
        now = last_grant + step * 0.1
        flags = [ask(leases, other, now).is_tracker for other in [*others, restarted]]
        if now < last_grant + LEASE:
            assert not any(flags)
    assert sum(flags) == 1


def test_leaving_tracker_is_replaced_after_its_grant_lapses(leases):
    for now in (3, 3.5):
        flags = {name: ask(leases, entry(name), now).is_tracker for name in ('e1', 'e2')}
    tracker = next(name for name in flags if flags[name])
    other = 'e2' if tracker == 'e1' else 'e1'
    assert not ask(leases, entry(tracker), 4, leaving=True).is_tracker
    assert not ask(leases, entry(other), 4).is_tracker
    assert ask(leases, entry(other), 3.5 + LEASE).is_tracker


def test_zone_out_lapses_and_zone_returns_within_a_second(leases):
    ask(leases, entry('e1'), 10)
    assert ask(leases, entry('e1'), 10.5, rule=OUT).lease_seconds == 0
    assert leases.view('attica-a', 11).lapses_in_seconds == pytest.approx(1.5)
    assert ask(leases, entry('e1'), 11, rule=IN).lease_seconds == LEASE
    ask(leases, entry('e1'), 11.2, rule=OUT)
    assert leases.view('attica-a', 13.4).lapses_in_seconds > 0
    assert leases.view('attica-a', 13.6).lapses_in_seconds <= 0


def test_directory_follows_entries(leases):
    before = leases.directory_revision
    ask(leases, entry('e1'), 3)
    ask(leases, entry('e1'), 3.5, sequence=2)
    assert leases.directory_revision == before + 1
    ask(leases, entry('e1'), 4, leaving=True)
    assert [row.leaving for row in leases.directory()] == [True]
    leases.drop_silent(4 + LEASE + 0.1)
    assert leases.directory() == []
    assert leases.directory_revision == before + 3


def test_release_is_finished_from_the_summaries_of_39_zones(leases):
    releases = {'r1': {'status': 'running', 'backend': 'quill'}}
    zones = [f'zone-{number}' for number in range(39)]
    evaluator = RolloutEvaluator()

    def decide(now, last_summary):
        for number, name in enumerate(zones):
            zone_summary = last_summary if number == 38 else summary(serving=300)
            ask(leases, entry(f'e{number}', name), now, backends={'quill': zone_summary})
        return evaluator.decide(releases, [leases.view(name, now) for name in zones], now)

    assert decide(7, summary(serving=300)) == []
    assert decide(8.5, summary(serving=300)) == []
    assert decide(10, summary(serving=300, release='r0')) == []
    assert decide(11, summary(serving=0, failed={'h1': 'disk full'}))[0].status == 'done'
    loading = BackendSummary(3, 1, 0, 0, 8, {'r1': 1}, {})
    assert decide(12, loading) == []
    late = decide(12 + STRAGGLER_TIMEOUT_SECONDS, loading)
    assert late[0].reason.startswith('2 of 11403 upstreams lack it')
    assert evaluator.decide(releases, [leases.view(name, 200) for name in zones], 200) == []


def test_release_fails_when_every_upstream_fails(leases):
    releases = {'r1': {'status': 'running', 'backend': 'quill'}}
    broken = summary(serving=0, failed={'h1': 'origin changed'})
    for now in (3, 4, 5):
        ask(leases, entry('e1'), now, backends={'quill': broken})
    finish = RolloutEvaluator().decide(releases, [leases.view('attica-a', 5)], 5)[0]
    assert (finish.status, 'origin changed' in finish.reason) == ('failed', True)
