"""Requests that crash engines stop to reach them; sound requests go on."""

from dataclasses import replace

import pytest
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure

from jackdawsail.routing.request_suspicion import is_request
from test.http1.ends import close
from test.proxy.crash_site import CrashSite, PlainRequest
from test.proxy.world import World, answer, status_of

STABLE_SECONDS = 3.0  # after the third end; by then every entry must know the request
MAX_SENDS_AFTER = 3
LOOKUP = PlainRequest('/lookup/bad', body='x')
BOOKING = PlainRequest('/booking/bad', body='x')
STREAM = PlainRequest('/stream/bad', body='x', model='m')
POPULAR = PlainRequest('/lookup/popular')


@pytest.fixture
def site():
    return CrashSite(plain_engines=3)


@pytest.fixture
def blocked_site(site):
    """A site where every entry blocks the bad lookup."""
    site.offer_requests(8, [LOOKUP])
    assert all(blocked_requests(entry) for entry in site.entries)
    return site


def blocked_requests(entry):
    return [trait for trait in entry.context.traits.blame.blocked if is_request(trait)]


def sends_of(site, request):
    return site.sends_of((request.path, request.body))


def sends_after_third_end(site, request):
    """Returns the sends of a request later than STABLE_SECONDS after the third end."""
    third_seconds = sorted(site.ended_seconds)[2]
    return [sent for sent in sends_of(site, request) if sent > third_seconds + STABLE_SECONDS]


def statuses_of(site, request, entries=None, headers=''):
    """Sends a request to each entry; returns the statuses once all are answered."""
    callers = [site.request(entry, request, headers) for entry in entries or site.entries]
    site.run(1)
    return {status_of(caller) for caller in callers}


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize(
    'request_', [LOOKUP, BOOKING, STREAM], ids=['lookup', 'booking', 'stream']
)
def test_request_that_crashes_engines_does_not_end_engine_after_engine(request_, seed):
    site = CrashSite(seed, plain_engines=3)
    site.offer_requests(2)
    site.offer_requests(16, [request_])
    assert len(sends_after_third_end(site, request_)) <= MAX_SENDS_AFTER
    start = len(site.callers)
    site.offer_requests(4)
    site.run(1)
    statuses = [status for status in site.all_statuses(start) if status is not None]
    assert statuses.count(200) == len(statuses)


@pytest.mark.parametrize('seed', range(6))
def test_several_requests_that_crash_engines_are_all_blocked(seed):
    site = CrashSite(seed, plain_engines=3)
    bad = [PlainRequest(f'/lookup/bad{number}') for number in range(3)]
    site.offer_requests(30, bad, bad_per_second=1)
    ended = len(site.ended_seconds)
    site.offer_requests(6, bad, bad_per_second=2)
    assert len(site.ended_seconds) == ended
    assert all(len(blocked_requests(entry)) == len(bad) for entry in site.entries)


class TestBlockedRequest:
    """A blocked request is refused wherever it comes, and nothing else is."""

    @pytest.mark.parametrize('headers', ['', 'X-Trace: 1\r\nAccept: */*\r\n'])
    def test_it_is_refused_as_not_run_whatever_its_other_headers(self, blocked_site, headers):
        sends = len(sends_of(blocked_site, LOOKUP))
        assert statuses_of(blocked_site, LOOKUP, headers=headers) == {503}
        assert len(sends_of(blocked_site, LOOKUP)) == sends

    def test_another_key_of_the_same_customer_is_the_same_caller(self, blocked_site):
        assert statuses_of(blocked_site, replace(LOOKUP, key='key2')) == {503}

    @pytest.mark.parametrize('changes', [{'key': 'key3'}, {'body': 'y'}, {'path': '/lookup/good'}])
    def test_another_caller_body_or_path_is_another_request(self, blocked_site, changes):
        blocked_site.run(3)
        blocked_site.bad_requests.clear()
        assert statuses_of(blocked_site, replace(LOOKUP, **changes)) == {200}

    def test_it_stays_blocked_after_a_restart_of_all_processes(self, blocked_site):
        blocked_site.restart_all()
        blocked_site.run(2)
        assert statuses_of(blocked_site, LOOKUP) == {503}

    def test_an_entry_that_was_cut_off_refuses_it_once_it_is_back(self, site):
        entry = site.entries[0]
        site.close_links(entry.client.router)
        site.entries, all_entries = site.entries[1:], site.entries
        site.offer_requests(8, [LOOKUP])
        for control in site.controls:
            site.link(entry.client.router, entry.identity, control.router, control.identity)
        site.run(0.01)
        site.entries = all_entries
        assert statuses_of(site, LOOKUP, [entry]) == {503}

    def test_an_entry_that_joins_refuses_it(self, blocked_site):
        joined = blocked_site.make_entry('10.9.0.77')
        blocked_site.run(0.01)
        assert statuses_of(blocked_site, LOOKUP, [joined]) == {503}


def test_a_lookup_is_not_repeated_once_two_engines_ended_under_it(site):
    site.bad_requests.add((LOOKUP.path, LOOKUP.body))
    caller = site.request(site.entries[0], LOOKUP)
    site.run(1)
    assert (status_of(caller), len(site.ended_seconds)) == (502, 2)


def test_a_lookup_is_repeated_after_the_first_end(site):
    caller = site.request(site.entries[0], POPULAR)
    site.run(0.05)
    next(engine for engine in site.engines if engine.service == 'p' and engine.channels).crash()
    site.run(1)
    assert status_of(caller) == 200


@pytest.mark.parametrize(
    ('status', 'is_cleared'), [(200, True), (404, True), (500, False), (503, False)]
)
def test_an_answer_of_an_engine_that_ran_the_request_clears_it(status, is_cleared):
    world = World(3)
    world.call()
    channel = world.accept()
    close(channel)
    world.reactor.pending_checks.pop()[1].clientConnectionFailed(None, refused())
    suspected = set(world.context.traits.blame.suspected)
    assert len(suspected) == 1
    world.reactor.advance(0.1)
    headers = 'Not-Executed: 1\r\n' if status == 503 else ''
    answer(world.accept(), status, headers=headers)
    assert (world.context.traits.blame.suspected == set()) == is_cleared


class TestSoundRequests:
    """Requests that were on engines which ended by other causes go on."""

    def assert_none_is_blocked(self, site):
        assert all(blocked_requests(entry) == [] for entry in site.entries)

    @pytest.mark.parametrize('seed', range(4))
    @pytest.mark.parametrize('together', [1, 3])
    def test_a_popular_lookup_while_engines_end_by_chance(self, seed, together):
        site = CrashSite(seed, plain_engines=4)
        for _ in range(6):
            for _ in range(20):
                self.offer_popular(site, 0.1)
            alive = [engine for engine in site.engines if engine.alive and engine.service == 'p']
            for engine in alive[:together]:
                engine.crash()
        site.run(3)
        self.assert_none_is_blocked(site)
        assert statuses_of(site, POPULAR) == {200}

    def test_a_popular_lookup_while_a_release_replaces_the_engines(self, site):
        for engine in [each for each in site.engines if each.service == 'p']:
            site.register(engine, leaving=True)
            self.offer_popular(site, 0.5)
            engine.crash()
            self.offer_popular(site, 3)
        self.assert_none_is_blocked(site)
        assert all(not entry.context.traits.blame.suspected for entry in site.entries)

    def test_a_booking_that_its_caller_repeats(self, site):
        booking = PlainRequest('/booking/1', body='deposit')
        for entry in site.entries[:2]:
            site.request(entry, booking)
            site.run(0.05)
            for engine in site.engines:
                if engine.service == 'p' and engine.channels:
                    engine.crash()
            site.run(3)
        assert statuses_of(site, booking, site.entries[2:3]) == {200}
        self.assert_none_is_blocked(site)

    @pytest.mark.parametrize('seed', range(6))
    def test_lookups_beside_a_bad_one_on_the_same_engines(self, seed):
        site = CrashSite(seed, plain_engines=3)
        site.offer_requests(12, [LOOKUP], sound_per_second=40)
        assert all(len(blocked_requests(entry)) == 1 for entry in site.entries)

    def offer_popular(self, site, seconds):
        for _ in range(round(seconds / 0.1)):
            site.request(site.rng.choice(site.entries), POPULAR)
            site.run(0.1)


def refused():
    return Failure(Refused())


def test_calls_of_one_session_on_an_engine_that_ends_are_different_calls(site):
    for body in ('one', 'two'):
        headers = 'Prompt-Prefix: c0:40,5e55:100\r\n'
        site.request(site.entries[0], PlainRequest('/stream/x', body=body, model='m'), headers)
    site.run(0.05)
    for engine in site.engines:
        if engine.service == 's':
            engine.crash()
    site.run(1)
    ends = site.entries[0].context.traits.blame.snapshot(0).ends
    assert sum(len(end.calls) for end in ends) == 2


class TestPlannedEnds:
    """An engine that was leaving has ended as planned, so that its calls are not suspected."""

    def begin_call(self):
        world = World(2)
        world.call()
        channel = world.accept()
        number = 1 if world.context.upstreams.get('i-1').calls else 2
        return world, channel, number

    def suspected_after_end(self, world):
        for _address, factory in world.reactor.pending_checks:
            factory.clientConnectionFailed(None, refused())
        return set(world.context.traits.blame.suspected)

    def test_it_was_leaving_when_its_calls_broke_off(self):
        world, channel, number = self.begin_call()
        world.register(number, leaving=True, sequence=2)
        close(channel)
        assert self.suspected_after_end(world) == set()

    def test_the_entry_hears_of_it_during_the_check(self):
        world, channel, number = self.begin_call()
        close(channel)
        world.register(number, leaving=True, sequence=2)
        assert self.suspected_after_end(world) == set()

    def test_otherwise_they_are(self):
        world, channel, _number = self.begin_call()
        close(channel)
        assert len(self.suspected_after_end(world)) == 1
