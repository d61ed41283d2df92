"""All entries together keep the limit on its calls that an upstream names in its answers."""

import math
import random

import pytest

from jackdawsail.http1.messages import Framing, HttpAnswerHead
from jackdawsail.platform.traffic import decode_upstream_head
from jackdawsail.proxy.limit_reports import REPEAT_SECONDS
from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeBounds
from jackdawsail.wire.site_messages import NamedLimitsReported, ReportedLimit
from test.http1.ends import Reactor
from test.proxy.world import World, answer, sent_on, status_of

BOUNDS = NodeBounds(retry_slack=220, cold_ratio=1.5, cold_slack=5)
WINDOW_SECONDS = 4.0
KNOWN_SECONDS = 0.5  # an entry counts from so long after it has recorded the limit
STEP_SECONDS = 0.05


def most_allowed(calls_per_second):
    return 1.5 * calls_per_second * WINDOW_SECONDS + 5


class Site:
    """Entries on one clock that share two upstreams; the first names ``limit`` in its answers."""

    def __init__(self, entries, limit, seed=1):
        self.clock = Reactor()
        self.clock.advance(100)
        self.rng = random.Random(seed)
        self.limit = limit
        self.sent = []
        self.recorded_seconds = {}
        self.callers = []
        self.addresses = [f'10.9.0.{number}' for number in range(1, entries + 1)]
        self.worlds = [self.make_world(address) for address in self.addresses]

    def make_world(self, address, started_seconds=-math.inf):
        return World(
            2,
            Service('s'),
            BOUNDS,
            address=address,
            clock=self.clock,
            entries=self.addresses,
            started_seconds=started_seconds,
        )

    def offer(self, seconds, calls_per_second=20):
        """Offers calls to the entries in turn at random; each one sent is answered at once."""
        for _ in range(round(seconds / STEP_SECONDS)):
            for world in self.worlds:
                if self.rng.random() < calls_per_second / len(self.worlds) * STEP_SECONDS:
                    self.call(world)
            self.step()

    def call(self, world):
        self.callers.append(world.call())
        while self.clock.pending_connects:
            self.answer_oldest(world)

    def answer_oldest(self, world):
        address = self.clock.pending_connects[0][0]
        headers = 'Connection: close\r\n'
        if address == '10.0.0.1:80':
            self.sent.append((self.clock.seconds(), world))
            if self.limit is not None:
                headers += f'Server-Limit: {self.limit}\r\n'
                self.recorded_seconds.setdefault(world, self.clock.seconds())
        channel = self.clock.accept()
        assert b'i-' in sent_on(channel)
        answer(channel, headers=headers)

    def step(self):
        self.clock.advance(STEP_SECONDS)

    def most_in_a_window(self, from_seconds=0):
        """Returns the most calls in any window, of entries that knew the limit before."""
        sent_seconds = [
            seconds
            for seconds, world in self.sent
            if seconds
            >= max(from_seconds, self.recorded_seconds.get(world, seconds) + KNOWN_SECONDS)
        ]
        return max(
            (
                sum(start <= sent < start + WINDOW_SECONDS for sent in sent_seconds)
                for start in sent_seconds
            ),
            default=0,
        )


@pytest.mark.parametrize('entries', [1, 9, 48])
@pytest.mark.parametrize('limit', [0, 0.4, 1, 1.6, 5])
def test_upstream_that_names_a_limit_does_not_get_more_calls_from_all_entries(entries, limit):
    site = Site(entries, limit)
    site.offer(20, 40)
    assert site.most_in_a_window() <= most_allowed(limit)
    assert {status_of(caller) for caller in site.callers} == {200}


class TestSharing:
    """Entries that restart, join, or do not know the limit from an answer."""

    def exchange(self, site):
        """Delivers to each entry what the others report."""
        told = [(world, world.context.limits.take_pending()) for world in site.worlds]
        for sender, limits in told:
            for world in site.worlds:
                if world is not sender and limits:
                    world.context.limits.receive(NamedLimitsReported(limits))

    def offer(self, site, seconds, calls_per_second=40):
        for _ in range(round(seconds / STEP_SECONDS)):
            site.offer(STEP_SECONDS, calls_per_second)
            self.exchange(site)

    def restart(self, site, number):
        address = site.addresses[number]
        site.worlds[number] = site.make_world(address, site.clock.seconds())

    @pytest.mark.parametrize('entries', [9, 48])
    def test_entries_that_know_the_limit_from_others_keep_it(self, entries):
        site = Site(entries, 1)
        self.offer(site, 12)
        told = [world for world in site.worlds if limit_of(world) is not None]
        assert len(told) == entries
        assert len(site.recorded_seconds) < entries
        site.recorded_seconds = dict.fromkeys(site.worlds, 0)
        assert site.most_in_a_window(site.clock.seconds() - 8) <= 4

    @pytest.mark.parametrize('entries', [9, 48])
    def test_an_entry_that_restarts_uses_no_part_of_its_earlier_process_again(self, entries):
        site = Site(entries, 2)
        self.offer(site, 8)
        for number in range(entries):
            self.restart(site, number)
            self.offer(site, 0.4)
        site.recorded_seconds = dict.fromkeys({world for _, world in site.sent}, 0)
        assert 0 < site.most_in_a_window(108) <= most_allowed(2)

    def test_an_entry_that_restarts_gets_the_limit_that_no_answer_names_any_more(self):
        site = Site(9, 0)
        self.offer(site, 6)
        self.restart(site, 3)
        for _ in range(round((REPEAT_SECONDS + 0.1) / STEP_SECONDS)):
            site.step()
            self.exchange(site)
        assert limit_of(site.worlds[3]) == 0

    def test_entries_that_join_do_not_raise_the_sum(self):
        site = Site(9, 2)
        self.offer(site, 8)
        for number in range(20, 28):
            site.addresses.append(f'10.9.0.{number}')
            site.worlds.append(site.make_world(site.addresses[-1], site.clock.seconds()))
            for world in site.worlds:
                world.know_entries(site.addresses)
            self.offer(site, 1)
        site.recorded_seconds = dict.fromkeys(site.worlds, 0)
        assert 0 < site.most_in_a_window(108) <= most_allowed(2)

    def test_an_entry_that_is_cut_off_keeps_its_part(self):
        site = Site(9, 2)
        self.offer(site, 8)
        cut_off = site.worlds.pop()
        for number in (20, 21):
            site.addresses.append(f'10.9.0.{number}')
            site.worlds.append(site.make_world(site.addresses[-1], site.clock.seconds()))
        for world in site.worlds:
            world.know_entries(site.addresses)
        site.worlds.append(cut_off)
        self.offer(site, 10)
        site.recorded_seconds = dict.fromkeys(site.worlds, 0)
        assert 0 < site.most_in_a_window(108) <= most_allowed(2)

    def test_a_limit_that_has_ended_is_forgotten_by_all(self):
        site = Site(9, 1)
        self.offer(site, 8)
        site.limit = None
        self.offer(site, 8)
        assert {limit_of(world) for world in site.worlds} == {None}
        sent = len(site.sent)
        self.offer(site, 4)
        assert len(site.sent) - sent > 4 * 10

    def test_the_end_of_a_limit_of_0_is_recorded_with_little_traffic(self):
        site = Site(9, 0)
        self.offer(site, 8)
        site.limit = None
        self.offer(site, 30, calls_per_second=10)
        assert {limit_of(world) for world in site.worlds} == {None}

    @pytest.mark.parametrize('seed', range(6))
    def test_no_order_of_changes_restarts_and_joins_exceeds_the_limit(self, seed):
        rng = random.Random(seed)
        limit = rng.choice([0.5, 1, 1.6, 3])
        site = Site(rng.choice([5, 9, 24]), limit, seed)
        self.offer(site, 6)
        for _ in range(30):
            self.offer(site, rng.choice([0.1, 0.5, 1]), rng.choice([10, 40, 80]))
            if rng.random() < 0.3:
                self.restart(site, rng.randrange(len(site.worlds)))
            if rng.random() < 0.15:
                site.addresses.append(f'10.9.1.{len(site.addresses)}')
                site.worlds.append(site.make_world(site.addresses[-1], site.clock.seconds()))
                for world in site.worlds:
                    world.know_entries(site.addresses)
        site.recorded_seconds = dict.fromkeys({world for _, world in site.sent}, 0)
        assert site.most_in_a_window(106) <= most_allowed(limit)


class TestOneEntry:
    """What one entry takes an answer to say."""

    def setup_method(self):
        self.site = Site(1, 1)
        [self.world] = self.site.worlds

    def record(self, limit, seconds=1.0):
        """Lets the upstream answer one call, whatever limit is known."""
        self.site.clock.advance(seconds)
        upstream = self.world.context.upstreams.get('i-1')
        head = HttpAnswerHead(200, b'OK', limit_headers(limit), Framing.length)
        self.world.context.limits.record(upstream, decode_upstream_head(head).limit)
        return upstream.limit.calls_per_second

    def test_the_newest_limit_counts(self):
        assert [self.record('2'), self.record('0.5'), self.record(' 7.25 ')] == [2, 0.5, 7.25]

    @pytest.mark.parametrize('unreadable', ['many', '-1', 'nan', 'inf', '1e3', '1 2', '1' * 400])
    def test_a_limit_that_cannot_be_read_leaves_the_one_that_is_known(self, unreadable):
        assert [self.record('2'), self.record(unreadable)] == [2, 2]
        assert self.record(None) is None
        assert self.record(unreadable) is None

    def test_an_answer_without_a_limit_ends_it(self):
        assert [self.record('2'), self.record(None)] == [2, None]

    def test_an_answer_without_a_limit_that_was_overtaken_does_not_end_it(self):
        assert [self.record('2'), self.record(None, 0.05)] == [2, 2]

    def test_calls_that_wait_for_connections_count(self):
        assert self.record('1') == 1
        for _ in range(20):
            self.world.call()
        addresses = [address for address, _factory in self.world.reactor.pending_connects]
        assert addresses.count('10.0.0.1:80') == 4

    def test_calls_sent_before_the_limit_was_recorded_count(self):
        self.site.limit = None
        self.site.offer(2, 40)
        assert self.record('1', 0) == 1
        sent = len(self.site.sent)
        self.site.offer(1, 40)
        assert len(self.site.sent) == sent

    def test_a_new_incarnation_has_named_no_limit(self):
        self.record('0')
        self.world.register(1, born_milliseconds=9)
        assert self.world.context.upstreams.get('i-1').limit.calls_per_second is None

    def test_without_another_upstream_the_excess_is_refused_at_once(self):
        self.world.register(2, leaving=True, sequence=9)
        self.record('1')
        self.site.offer(2, 40)
        statuses = [status_of(caller) for caller in self.site.callers]
        assert (statuses.count(200), set(statuses)) == (4, {200, 503})


def limit_of(world):
    return world.context.upstreams.get('i-1').limit.calls_per_second


def limit_headers(limit):
    return () if limit is None else ((b'Server-Limit', limit.encode()),)


def test_a_limit_that_another_entry_reports_is_not_that_of_the_next_engine_at_the_id():
    world = World(1)
    world.register(1, born_milliseconds=99)
    reports = world.context.limits
    reports.receive(NamedLimitsReported([ReportedLimit('i-1/1', 2.0, 0.1)]))
    assert world.context.upstreams.get('i-1').limit.calls_per_second is None
    reports.receive(NamedLimitsReported([ReportedLimit('i-1/99', 3.0, 0.1)]))
    assert world.context.upstreams.get('i-1').limit.calls_per_second == 3
