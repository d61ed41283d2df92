"""A process never returns to an older state of the site, whichever host sends it."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from jackdawsail.site.view import SiteView
from jackdawsail.wire.site_messages import AnnouncedWeights, MemberHost, Members, SiteSummary
from test.site.documents import make_document


def summary(revision, document=0, zones=(), weights=()):
    return SiteSummary(revision, document, list(zones), list(weights))


def test_summary_is_applied_only_with_its_document():
    view = SiteView()
    newer = summary(4, document=2, zones=['z'])
    assert view.wants_document(newer)
    assert not view.apply_summary(newer, 1.0).in_force
    assert view.apply_document(make_document(2))
    assert view.apply_summary(newer, 1.0).in_force
    assert view.emptied_zones == {'z'}


def test_older_summary_or_document_is_ignored():
    view = SiteView()
    view.apply_document(make_document(5))
    view.apply_summary(summary(9, 5, ['z']), 1.0)
    assert not view.apply_document(make_document(4))
    assert not view.apply_summary(summary(8, 5, []), 2.0).in_force
    assert view.emptied_zones == {'z'}
    assert view.document_version == 5


@given(st.permutations(range(1, 7)))
def test_newest_revision_stays_in_force_for_any_order_of_summaries(order):
    view = SiteView()
    highest = 0
    for revision in order:
        view.apply_summary(summary(revision, zones=[str(revision)]), 1.0)
        highest = max(highest, revision)
        assert view.emptied_zones == {str(highest)}


def test_each_weight_version_keeps_the_time_when_it_was_announced():
    view = SiteView()
    view.apply_summary(summary(1, weights=[AnnouncedWeights('m', 2, 0.5)]), 10.0)
    both = [AnnouncedWeights('m', 2, 3.5), AnnouncedWeights('m', 3, 0.0)]
    view.apply_summary(summary(2, weights=both), 13.0)
    targets = view.weights['m']
    assert [(target.version, target.announced_seconds) for target in targets] == [
        (2, 9.5),
        (3, 13.0),
    ]
    assert view.newest_weights('m').version == 3
    assert view.newest_weights('other') is None


def test_members_are_the_union_of_what_linked_controls_see():
    view = SiteView()
    first = MemberHost('10.0.0.1', 'z', 'r')
    second = MemberHost('10.0.0.2', 'z', 'r')
    view.apply_members('c1', Members(['c1'], [first], []))
    view.apply_members('c2', Members(['c1', 'c2'], [first, second], [second]))
    assert view.entries() == [first, second]
    assert view.controls() == {'c1', 'c2'}
    leaving_host = replace(second, leaving=True)
    view.apply_members('c3', Members(['c3'], [leaving_host], []))
    assert view.entries() == [first, leaving_host]
    view.forget_control('c3')
    view.forget_control('c2')
    assert view.entries() == [first]
    assert view.agents() == []
