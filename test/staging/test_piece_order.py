"""The pieces of a version are divided among the relays of a region, and agents spread over them."""

import hashlib
from collections import Counter

from jackdawsail.site.document import Service
from jackdawsail.site.node import NodeSettings
from jackdawsail.site.view import SiteView
from jackdawsail.staging.piece_order import PIECES_PER_RUN, agent_order, relayed_pieces
from jackdawsail.staging.sources import relays_of
from jackdawsail.wire.site_messages import MemberHost, Members
from test.site.documents import ENGINE, make_document

DIGESTS = [hashlib.sha256(bytes([index])).hexdigest() for index in range(96)]
REGIONS = {f'z{region}': f'r{region}' for region in (1, 2)}
ENTRIES = [
    MemberHost(f'10.{region}.0.{host}', f'z{region}', f'r{region}')
    for region in (1, 2)
    for host in range(1, 21)
]
ORIGIN = Service('o', origin_address='1.2.3.4:9', origin_zone='z2')


def make_view(entries=ENTRIES):
    view = SiteView()
    view.apply_document(make_document(services=[Service('s', engine=ENGINE), ORIGIN]))
    view.apply_members('c', Members(['c'], list(entries), []))
    return view


def settings_of(address, region):
    return NodeSettings('n', address, f'z{region[1:]}', region, REGIONS)


def test_each_piece_is_prefetched_by_one_relay_of_each_region():
    view = make_view()
    for region in ('r1', 'r2'):
        entries = [entry for entry in ENTRIES if entry.region == region]
        shares = [
            relayed_pieces(settings_of(entry.address, region), view, DIGESTS) for entry in entries
        ]
        assert sorted(index for share in shares for index in share) == list(range(96))
        assert sum(bool(share) for share in shares) == 8


def test_piece_stays_at_its_relay_when_another_one_is_lost():
    few = [entry for entry in ENTRIES if entry.region == 'r2' or entry in ENTRIES[:8]]
    lost, *others = relays_of(make_view(few), 'r1')
    rest = make_view([entry for entry in few if entry != lost])
    for relay in others:
        settings = settings_of(relay.address, 'r1')
        before = set(relayed_pieces(settings, make_view(few), DIGESTS))
        assert before <= set(relayed_pieces(settings, rest, DIGESTS))


def test_agents_fetch_all_missing_pieces_once_each_in_another_order():
    view = make_view()
    orders = [
        agent_order(settings_of(f'10.1.9.{host}', 'r1'), view, DIGESTS, range(96))
        for host in range(15)
    ]
    assert all(sorted(order) == list(range(96)) for order in orders)
    assert max(Counter(order[0] for order in orders).values()) < 6
    runs = [[set(order[at : at + PIECES_PER_RUN]) for order in orders] for at in range(0, 96, 8)]
    assert all(run == same_run[0] for same_run in runs for run in same_run)


def test_agent_fetches_in_the_order_of_the_list_while_no_entry_is_known():
    settings = settings_of('10.1.9.1', 'r1')
    order = agent_order(settings, make_view([]), DIGESTS, range(3, 30))
    assert sorted(order) == list(range(3, 30))
    assert set(order[:PIECES_PER_RUN]) == set(range(3, 11))
