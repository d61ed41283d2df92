"""Each kind of fault in a site document is detected and named."""

import pytest

from jackdawsail.site.document import Share, document_faults
from test.site.documents import make_customer, make_document, make_route


def test_valid_document_has_no_faults():
    assert document_faults(make_document()) == []


@pytest.mark.parametrize(
    ('document', 'word'),
    [
        (make_document(routes=[make_route(shares=(Share('nowhere', 1),))]), 'unknown services'),
        (make_document(routes=[make_route(shares=(Share('s', 0),))]), 'add up to nothing'),
        (make_document(routes=[make_route(shares=())]), 'add up to nothing'),
        (make_document(routes=[make_route(shares=(Share('s', 2), Share('s', -1)))]), 'negative'),
        (make_document(routes=[make_route(time_limit_seconds=0)]), 'no time limit'),
        (make_document(routes=[make_route('a'), make_route('b')]), 'two routes share'),
        (
            make_document(customers=[make_customer('a', 'k'), make_customer('b', 'k')]),
            'share a key',
        ),
    ],
)
def test_each_fault_is_named(document, word):
    faults = document_faults(document)
    assert len(faults) == 1
    assert word in faults[0]
