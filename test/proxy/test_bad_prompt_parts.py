"""Calls with a part of a prompt that crashes engines stop to reach them; sound calls go on."""

import pytest

from test.proxy.crash_site import CrashSite

BAD = 'bad0'
MAX_ENDS = 5
MAX_SENDS_AFTER = 3


@pytest.mark.parametrize('seed', range(3))
def test_prompt_part_that_crashes_engines_does_not_end_engine_after_engine(seed):
    site = CrashSite(seed)
    site.offer(3)
    site.offer(12, BAD)
    assert len(site.ended_seconds) <= MAX_ENDS
    assert len([sent for sent in site.sends_of(BAD) if sent > site.clock.seconds() - 6]) == 0
    assert 200 in site.statuses('c0', start=len(site.callers) - 20)
