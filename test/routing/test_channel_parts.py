"""The channels of all entries to one upstream stay under the limit of its service."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.registry.registration import Registration
from jackdawsail.routing.channel_parts import (
    CHANNEL_WINDOW_SECONDS,
    FIRST_HOLD_SECONDS,
    MAX_HOLD_SECONDS,
    ConnectHold,
    idle_to_close,
    own_channels,
)
from jackdawsail.routing.shares import EntryShares
from jackdawsail.routing.upstreams import Upstream
from jackdawsail.wire.site_messages import MemberHost

UPSTREAM = Upstream(
    Registration('u', 's', '10.0.1.1:80', 'z', 6, False, 0, 1, 1, ()), 0, region='r'
)


def make_shares(count, started_seconds=-1000):
    hosts = [MemberHost(f'10.0.0.{number}', 'z', 'r') for number in range(count)]
    shares = [EntryShares(host.address, started_seconds) for host in hosts]
    for share in shares:
        share.update(hosts, 0)
    return shares


@given(st.integers(1, 700), st.integers(1, 60))
def test_parts_of_all_entries_stay_under_the_limit(max_channels, count):
    parts = [own_channels(max_channels, share, UPSTREAM, 0) for share in make_shares(count)]
    assert sum(parts) <= max_channels
    assert max(parts) - min(parts) <= 1


def test_entry_that_has_joined_uses_its_part_only_after_the_window():
    [share] = make_shares(1, started_seconds=0)
    ages = (0, CHANNEL_WINDOW_SECONDS / 2, CHANNEL_WINDOW_SECONDS)
    assert [own_channels(100, share, UPSTREAM, age) for age in ages] == [1, 45, 90]


def test_entry_that_is_not_listed_has_no_part():
    assert own_channels(510, EntryShares('10.0.0.1'), UPSTREAM, 0) == 0


@pytest.mark.parametrize(
    ('open_count', 'idle_count', 'part', 'closed'),
    [(2, 0, 3, 0), (3, 1, 3, 1), (3, 0, 3, None), (5, 3, 3, 3), (5, 2, 3, None), (0, 0, 0, None)],
)
def test_new_channel_fits_once_enough_idle_ones_are_closed(open_count, idle_count, part, closed):
    assert idle_to_close(open_count, idle_count, part) == closed


def test_hold_lasts_longer_with_each_reset_up_to_its_bound():
    hold, now_seconds, lengths = ConnectHold(), 0, []
    for _ in range(5):
        assert hold.record_reset(now_seconds)
        assert not hold.record_reset(now_seconds)
        lengths.append(hold.until_seconds - now_seconds)
        now_seconds = hold.until_seconds
        assert not hold.is_active(now_seconds)
    assert lengths[0] == FIRST_HOLD_SECONDS
    assert lengths[-2:] == [MAX_HOLD_SECONDS, MAX_HOLD_SECONDS]
