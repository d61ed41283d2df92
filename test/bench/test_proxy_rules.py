import pytest

from bench.proxy.rules import Party, Rule, SharedLink, applying, combine

ENTRY = Party('entry-1', 'crete-a', 'crete')
AGENT = Party('agent-1', 'attica-a', 'attica')


@pytest.mark.parametrize('selector', ['entry-1', 'crete-a', 'crete', '*'])
def test_a_rule_applies_one_way_only(selector: str) -> None:
    rule = Rule(selector, 'attica-a', stall=True)
    assert applying([rule], ENTRY, AGENT) == [rule]
    assert applying([Rule('agent-1', selector)], ENTRY, AGENT) == []


def test_rules_add_up_to_the_strongest() -> None:
    effect = combine([Rule('*', '*', delay_seconds=1), Rule('*', '*', delay_seconds=2, cut=True)])
    assert (effect.delay_seconds, effect.cut, effect.stall) == (3, True, False)


def test_pieces_of_all_connections_queue_on_a_shared_link() -> None:
    link = SharedLink(bits_per_second=8000)
    assert link.passes_at(1000, 10) == 11
    assert link.passes_at(500, 10) == 11.5
    assert link.passes_at(500, 20) == 20.5
