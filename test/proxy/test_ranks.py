"""Calls of differing rank at one entry: what is enabled, sent to engines and told to others."""

from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.proxy.rank_control import ranks_of
from jackdawsail.site.document import document_faults
from jackdawsail.wire.site_messages import RankDemandReported
from test.proxy.world import MODEL_SERVICE, STREAM, STREAM_HEADERS, World, sent_on, status_of
from test.site.documents import make_customer, make_document

URGENT = replace(STREAM, name='urgent', path_prefix='/urgent/', urgency_rank=0)
ENTRIES = ('10.9.9.9', '10.9.9.8')


def make_world(routes=(STREAM, URGENT)):
    return World(1, MODEL_SERVICE, routes=list(routes), entries=ENTRIES)


def call(world, path, attempt='a1', headers=STREAM_HEADERS):
    return world.call(path, attempt=attempt, headers=headers, method='POST')


def report_of(world, entry=ENTRIES[1], version=1, asked=(50_000, 50_000)):
    return RankDemandReported(entry, 's', version, True, 100, list(asked), [50_000, 0])


def refuse_and_retry_seconds(path):
    world = make_world()
    world.report(1, running=16, waiting=9)
    caller = call(world, path)
    assert status_of(caller) == 503
    return float(caller.value().split(b'Retry-After: ')[1].split(b'\r\n')[0])


def test_engines_get_the_rank_of_a_call_and_late_ones_come_last():
    world = make_world()
    for number, (path, rank) in enumerate((('/urgent/x', b'1'), ('/stream/x', b'2'))):
        call(world, path, f'a{number}')
        assert b'Request-Priority: ' + rank in sent_on(world.accept())
    world.report(1, running=16, waiting=9)
    call(world, '/urgent/y', 'a3')
    world.reactor.advance(0.7)
    world.report(1, running=1)
    call(world, '/urgent/y', 'a4')
    assert b'Request-Priority: 8' in sent_on(world.accept())


def test_calls_of_one_rank_are_served_as_before_and_nothing_is_told():
    world = make_world((STREAM, replace(URGENT, urgency_rank=1)))
    call(world, '/urgent/x')
    assert b'Request-Priority: 3' in sent_on(world.accept())
    world.report(1, running=16, waiting=9)
    assert status_of(call(world, '/urgent/x', 'a2')) == 503
    assert world.context.ranks.of('s') is None
    assert world.context.ranks.take_reports() == []


def test_the_less_urgent_return_later():
    assert refuse_and_retry_seconds('/urgent/x') <= 1.05 < refuse_and_retry_seconds('/stream/x')


def test_an_urgent_call_waits_where_a_less_urgent_one_is_refused():
    world = make_world()
    world.report(1, running=16)
    world.context.ranks.receive(report_of(world))
    assert status_of(call(world, '/stream/x')) == 503
    assert status_of(call(world, '/urgent/x', 'a2')) is None
    assert len(world.reactor.pending_connects) == 1


def test_nothing_is_refused_by_its_share_while_an_engine_has_ample_room():
    world = make_world()
    for number in range(10):
        world.report(1, running=2)
        world.context.ranks.receive(report_of(world))
        assert status_of(call(world, '/stream/x', f'a{number}')) is None
    standing = world.context.ranks.of('s').standing(1, world.reactor.seconds())
    assert not (standing.within_share or standing.within_floor)


def test_reports_are_rare_and_end_with_the_refusals():
    world = make_world()
    assert world.context.ranks.take_reports() == []
    world.report(1, running=16, waiting=9)
    call(world, '/stream/x')
    reports = []
    for _ in range(100):
        reports.extend(world.context.ranks.take_reports())
        world.reactor.advance(0.05)
    assert 4 <= len(reports) <= 6
    assert reports[0].entry == ENTRIES[0]


def test_three_of_four_reports_may_be_lost():
    world = make_world()
    for number in range(40):
        if number % 4 == 0:
            world.context.ranks.receive(report_of(world))
        shares = world.context.ranks.of('s')
        shares.ask(1, 1, world.reactor.seconds())
        assert shares.standing(1, world.reactor.seconds()).is_scarce
        assert shares.fractions.shares[1] < 0.7
        world.reactor.advance(0.4)


@pytest.mark.parametrize(
    'changes',
    [{'entry': '10.7.7.7'}, {'version': 2}, {'asked': (1,)}, {'asked': (-1, 1)}],
)
def test_reports_of_unlisted_entries_other_documents_and_false_amounts_are_ignored(changes):
    world = make_world()
    world.context.ranks.receive(report_of(world, **changes))
    assert not world.context.ranks.of('s').is_scarce(world.reactor.seconds())


def test_a_waiting_call_keeps_its_rank_when_a_document_changes_it():
    world = make_world()
    call(world, '/urgent/x')
    routes = [replace(STREAM, urgency_rank=0), replace(URGENT, urgency_rank=5)]
    world.context.view.apply_document(make_document(2, routes, [MODEL_SERVICE]))
    call(world, '/urgent/y', 'a2')
    ranks = [sent_on(world.accept()).split(b'Request-Priority: ')[1][:1] for _ in range(2)]
    assert ranks == [b'1', b'2']


@given(st.lists(st.one_of(st.none(), st.integers(0, 3)), max_size=4), st.booleans())
def test_ranks_are_those_that_calls_can_have(customer_ranks, is_public):
    """A customer's rank goes before the route's, which applies to calls without a key too."""
    customers = [
        replace(make_customer(f'c{number}', f'k{number}'), urgency_rank=rank)
        for number, rank in enumerate(customer_ranks)
    ]
    route = replace(STREAM, urgency_rank=2, is_public=is_public)
    document = make_document(1, [route], [MODEL_SERVICE], customers)
    expected = {(2 if rank is None else rank, 2) for rank in customer_ranks}
    expected |= {(2, 2)} if is_public or not customers else set()
    assert ranks_of(document, MODEL_SERVICE) == tuple(sorted(expected))


def test_customers_of_one_rank_do_not_hide_the_ranks_of_routes():
    customers = [replace(make_customer(name, name), urgency_rank=1) for name in ('a', 'b')]
    routes = [replace(STREAM, urgency_rank=2), replace(URGENT, urgency_rank=0)]
    document = make_document(1, routes, [MODEL_SERVICE], customers)
    assert ranks_of(document, MODEL_SERVICE) == ((1, 0), (1, 2))


def test_negative_ranks_are_faults_of_a_document():
    customer = replace(make_customer('c', 'k'), urgency_rank=-2)
    document = make_document(1, [replace(STREAM, urgency_rank=-1)], None, [customer])
    assert len(document_faults(document)) == 2
