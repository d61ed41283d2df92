"""Candidates are the least busy upstreams."""

import random

from jackdawsail.routing.choice import Candidate, choose


def test_the_least_busy_are_chosen_and_avoided_ones_skipped():
    candidates = [Candidate('a', 0.9), Candidate('b', 0.1), Candidate('c', 0.2)]
    assert choose(candidates, frozenset(), '', random.Random(1)) == ['b', 'c']
    assert choose(candidates, frozenset('b'), '', random.Random(1)) == ['c', 'a']
