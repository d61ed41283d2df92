"""Calls with a part of a prompt that crashes engines stop to reach them; sound calls go on."""

import pytest

from jackdawsail.wire.trait_messages import SuspectCall
from test.http1.ends import reset
from test.proxy.crash_site import CrashSite
from test.proxy.world import MODEL_SERVICE, STREAM_HEADERS, World, answer

BAD = 'bad0'
MAX_ENDS = 5
MAX_SENDS_AFTER = 3


@pytest.fixture
def site():
    return CrashSite()


@pytest.fixture
def blocked_site(site):
    """A site where every entry blocks the bad part, and some calls with it are still sent."""
    site.offer(8, BAD)
    assert all(is_blocked(entry) for entry in site.entries)
    return site


def is_blocked(entry):
    return BAD in entry.context.traits.blame.blocked


def sends_during(site, seconds, **rates):
    """Offers bad calls for some time; returns how many reached engines, and their statuses."""
    sends, calls = len(site.sends_of(BAD)), len(site.callers)
    site.offer(seconds, BAD, **rates)
    return len(site.sends_of(BAD)) - sends, site.statuses(BAD, calls)


@pytest.mark.parametrize('seed', range(6))
def test_prompt_part_that_crashes_engines_does_not_end_engine_after_engine(seed):
    site = CrashSite(seed)
    site.offer(3)
    site.offer(12, BAD)
    assert len(site.ended_seconds) <= MAX_ENDS
    assert len([sent for sent in site.sends_of(BAD) if sent > site.clock.seconds() - 6]) == 0
    assert 200 in site.statuses('c0', start=len(site.callers) - 20)


def test_calls_with_a_blocked_part_are_refused_at_once_as_not_run(blocked_site):
    sends, statuses = sends_during(blocked_site, 3, bad_per_second=4)
    assert sends == 0
    assert set(statuses) == {503}


def test_sound_calls_with_the_same_other_parts_go_on(blocked_site):
    start = len(blocked_site.callers)
    blocked_site.run(3)
    blocked_site.offer(4)
    blocked_site.run(2)
    statuses = blocked_site.statuses('c0', start)
    assert statuses.count(200) == len(statuses)


def test_the_last_part_of_a_prompt_is_the_calls_own(blocked_site):
    blocked_site.run(3)
    entry = blocked_site.entries[0]
    caller = entry.call('f' * 16, f'c0:40,{BAD}:100')
    blocked_site.run(2)
    assert caller.value().startswith(b'HTTP/1.1 200')


def test_an_entry_that_starts_knows_blocked_parts_before_it_takes_calls(blocked_site):
    entry = blocked_site.entries[0]
    blocked_site.close_links(entry.client.router)
    started = blocked_site.make_entry(entry.address)
    assert not is_blocked(started)
    blocked_site.run(0.01)
    assert is_blocked(started)


def test_evidence_outlives_an_entry_and_all_control_hosts_but_one(site):
    site.offer(1, BAD, bad_per_second=0)
    for number in (0, 1):
        site.call(site.entries[number], 'c0', BAD)
        site.run(1)
    ended = len(site.ended_seconds)
    for control in site.controls[1:]:
        site.close_links(control.router)
    for number, entry in enumerate(site.entries):
        site.close_links(entry.client.router)
        site.entries[number] = site.make_entry(entry.address)
    site.run(3)
    site.offer(8, BAD)
    assert len(site.ended_seconds) <= max(ended, MAX_ENDS)


def test_a_control_host_that_restarts_gets_the_evidence_again(blocked_site):
    control = blocked_site.controls[0]
    blocked_site.close_links(control.router)
    restarted = blocked_site.restart_control(0)
    blocked_site.run(0.01)
    assert restarted.fanout.traits.blame.blocked == (BAD,)


def test_an_entry_that_was_cut_off_learns_what_was_blocked_meanwhile(site):
    entry = site.entries[0]
    site.close_links(entry.client.router)
    others = site.entries[1:]
    site.entries, all_entries = others, site.entries
    site.offer(8, BAD)
    assert not is_blocked(entry)
    for control in site.controls:
        site.link(entry.client.router, entry.identity, control.router, control.identity)
    site.run(0.01)
    site.entries = all_entries
    assert is_blocked(entry)


@pytest.mark.parametrize(('status', 'is_cleared'), [(200, True), (400, False), (500, False)])
def test_only_a_success_speaks_for_the_parts_of_its_prompt(status, is_cleared):
    world = World(2, MODEL_SERVICE)
    blame = world.context.traits.blame
    blame.record_end('i-9/1', world.reactor.seconds(), [SuspectCall('own', ['a'], True)], 100)
    world.reactor.advance(1)
    headers = f'{STREAM_HEADERS}Prompt-Prefix: a:1,b:1\r\n'
    world.call('/stream/x', headers=headers, method='POST')
    answer(world.accept(), status, body=b'id: 1\ndata: x\n\n')
    assert (blame.suspected_among(['a']) == []) == is_cleared


def test_a_part_that_turns_bad_after_many_sound_answers_is_blocked(site):
    for _ in range(60):
        site.call(site.rng.choice(site.entries), 'c0', BAD)
        site.run(0.1)
    site.run(2)
    assert 503 not in site.statuses(BAD)
    site.offer(10, BAD)
    assert all(is_blocked(entry) for entry in site.entries)
    assert len(site.ended_seconds) <= MAX_ENDS


class TestEndsThatBlockNothing:
    """Ends of engines, and breaks of answers, that no call has caused."""

    def assert_nothing_is_blocked(self, site):
        assert all(entry.context.traits.blame.blocked == () for entry in site.entries)

    @pytest.mark.parametrize('seed', range(4))
    def test_crashes_by_chance(self, seed):
        site = CrashSite(seed)
        for _ in range(8):
            site.offer(site.rng.uniform(0.5, 2))
            site.rng.choice([engine for engine in site.engines if engine.alive]).crash()
        site.offer(2)
        self.assert_nothing_is_blocked(site)

    def test_a_restart_of_all_engines_at_once(self, site):
        for _ in range(4):
            site.offer(2)
            for engine in site.engines:
                engine.crash()
            site.offer(3)
        self.assert_nothing_is_blocked(site)

    def test_resets_by_engines_that_live_on(self, site):
        for _ in range(12):
            site.offer(0.5)
            for engine in site.engines:
                channels, engine.channels = engine.channels, []
                for channel in channels:
                    reset(channel)
        self.assert_nothing_is_blocked(site)
        assert all(not entry.context.traits.blame.snapshot(0).ends for entry in site.entries)

    def test_engines_that_leave_as_planned(self, site):
        for engine in site.engines[:5]:
            site.register(engine, leaving=True)
            site.offer(1)
            engine.crash()
            site.offer(1)
        self.assert_nothing_is_blocked(site)
        assert all(not entry.context.traits.blame.snapshot(0).ends for entry in site.entries)

    def test_hosts_without_power_or_cut_off(self, site):
        for engine in site.engines[:5]:
            site.offer(1)
            site.dark_addresses.add(engine.address)
            engine.crash()
        site.offer(1)
        self.assert_nothing_is_blocked(site)
        assert all(not entry.context.traits.blame.snapshot(0).ends for entry in site.entries)


def test_plays_with_the_same_seed_are_the_same():
    sites = [CrashSite(5) for _ in range(2)]
    for site in sites:
        site.offer(8, BAD)
    first, second = ([(at, name) for at, name, _marks in site.sent] for site in sites)
    assert first == second
