import pytest

from bench.proxy.rules import Party, Rule, SharedLink, combine, matching_rules

ENTRY = Party('entry-1', 'crete-a', 'crete')
AGENT = Party('agent-1', 'attica-a', 'attica')


@pytest.mark.parametrize('selector', ['entry-1', 'crete-a', 'crete', '*'])
def test_a_rule_applies_one_way_only(selector: str) -> None:
    rule = Rule(selector, 'attica-a', stall=True)
    assert matching_rules([rule], ENTRY, AGENT) == [rule]
    assert matching_rules([Rule('agent-1', selector)], ENTRY, AGENT) == []


def test_combined_rules_add_delays_and_take_the_strongest_flags() -> None:
    effect = combine([Rule('*', '*', delay_seconds=1), Rule('*', '*', delay_seconds=2, cut=True)])
    assert (effect.delay_seconds, effect.cut, effect.stall) == (3, True, False)


def test_pieces_of_all_connections_queue_on_a_shared_link() -> None:
    link = SharedLink(bits_per_second=8000)
    assert link.reserve(1000, 10) == 11
    assert link.reserve(500, 10) == 11.5
    assert link.reserve(500, 20) == 20.5
