"""Parts of a limit are whole and add up to the limit, whatever the number of entries."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.routing.shares import EntryShares
from jackdawsail.wire.site_messages import MemberHost

REGIONS = ('r', 's', 't')


def make_shares(entries):
    """Returns the shares of each of some entries that know each other."""
    hosts = [
        MemberHost(f'10.9.0.{number}', 'z', REGIONS[number % len(REGIONS)])
        for number in range(entries)
    ]
    all_shares = [EntryShares(host.address) for host in hosts]
    for shares in all_shares:
        shares.update(hosts, 0)
    return all_shares


@given(st.floats(0, 200), st.integers(1, 60), st.sampled_from(REGIONS), st.text(max_size=12))
def test_parts_add_up_to_the_whole_units_of_the_total(total, entries, region, key):
    parts = [shares.part_of(total, key, region) for shares in make_shares(entries)]
    assert sum(parts) == math.floor(total)
    assert max(parts) - min(parts) <= 1


@given(st.integers(0, 100), st.integers(1, 40))
def test_a_smaller_total_gives_no_entry_a_larger_part(total, entries):
    for shares in make_shares(entries):
        assert shares.part_of(total, 'u', 'r') <= shares.part_of(total + 1, 'u', 'r')


def test_entries_of_the_region_come_first():
    parts = [shares.part_of(10, 'u', 'r') for shares in make_shares(30)]
    assert parts == [1 if number % len(REGIONS) == 0 else 0 for number in range(30)]


@pytest.mark.parametrize('known', [[], ['10.9.9.1']])
def test_an_entry_that_is_not_listed_has_no_part(known):
    shares = EntryShares('10.9.9.9')
    shares.update([MemberHost(address, 'z', 'r') for address in known], 0)
    assert shares.part_of(100, 'u', 'r') == 0


def test_a_restarted_entry_is_settled_a_window_after_its_start_and_a_new_one_after_its_listing():
    own, other = MemberHost('10.9.9.9', 'z', 'r'), MemberHost('10.9.9.1', 'z', 'r')
    restarted = EntryShares(own.address, started_seconds=5.0)
    restarted.update([own, other], 5.5)
    assert restarted.unsettled_seconds(1.0, 5.75) == 0.25
    assert restarted.unsettled_seconds(1.0, 6.0) == 0
    new = EntryShares(own.address, started_seconds=5.0)
    new.update([other], 5.5)
    assert new.unsettled_seconds(1.0, 9.0) == math.inf
    new.update([other, own], 9.0)
    assert new.unsettled_seconds(1.0, 9.75) == 0.25
    assert new.unsettled_seconds(1.0, 10.0) == 0
    new.update([other], 20.0)
    assert new.unsettled_seconds(1.0, 30.0) == math.inf
