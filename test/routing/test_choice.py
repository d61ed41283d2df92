"""Candidates are the least busy upstreams; a prefix hint yields to load."""

import random

from jackdawsail.routing.affinity import PrefixAffinity
from jackdawsail.routing.choice import Candidate, choose


def test_the_least_busy_are_chosen_and_avoided_ones_skipped():
    candidates = [Candidate('a', 0.9), Candidate('b', 0.1), Candidate('c', 0.2)]
    assert choose(candidates, frozenset(), '', random.Random(1)) == ['b', 'c']
    assert choose(candidates, frozenset('b'), '', random.Random(1)) == ['c', 'a']


def test_prefix_hint_is_used_only_while_its_upstream_has_room():
    affinity = PrefixAffinity()
    affinity.record_run('models', 'prefix', 'a')

    def preferred(a, b):
        return affinity.preferred_candidate(
            'models', 'prefix', [Candidate('a', a), Candidate('b', b)]
        )

    assert preferred(0.2, 0.1) == 'a'
    assert preferred(0.5, 0.1) == ''
    assert preferred(1.0, 1.0) == ''
    assert affinity.preferred_candidate('models', 'prefix', [Candidate('b', 0)]) == ''
    assert affinity.preferred_candidate('models', 'other', [Candidate('a', 0)]) == ''
