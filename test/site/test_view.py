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


def test_a_zone_is_emptied_while_the_document_of_its_summary_has_not_arrived():
    view, notified = SiteView(), []
    view.on_change.append(lambda: notified.append(view.emptied_zones))
    assert not view.apply_summary(summary(9, document=2, zones=['z']), 1.0).in_force
    assert view.emptied_zones == {'z'}
    assert notified == [{'z'}]
    view.apply_summary(summary(8), 1.0)
    assert (view.revision, view.emptied_zones) == (8, {'z'})


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


def test_a_wrong_list_of_members_is_replaced_by_the_next_one_of_its_sender():
    view = SiteView()
    right = MemberHost('10.0.0.1', 'z', 'r')
    view.apply_members('c', Members(['c', 'wrong'], [MemberHost('10.9.9.9', 'z', 'r')], []))
    view.apply_members('c', Members(['c'], [right], []))
    assert view.entries() == [right]
    assert view.controls() == {'c'}


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


class TestAnnouncements:
    """The time of an announcement is the earliest that any control host has told."""

    def setup_method(self):
        self.view, self.notified = SiteView(), []
        self.view.on_change.append(lambda: self.notified.append(self.announced()))

    def announced(self):
        return {target.version: target.announced_seconds for target in self.view.weights['m']}

    def receive(self, revision, *weights, document=0):
        announced = [AnnouncedWeights('m', version, age) for version, age in weights]
        return self.view.apply_summary(summary(revision, document, weights=announced), 10.0)

    def test_a_held_revision_still_corrects_a_time_that_is_too_late(self):
        self.receive(4, (2, 0.0))
        assert not self.receive(4, (2, 5.0)).in_force
        assert self.announced() == {2: 5.0}

    def test_an_older_revision_still_announces_a_version_that_was_not_known(self):
        self.receive(4, (3, 0.0))
        self.receive(3, (2, 5.0))
        assert self.announced() == {2: 5.0, 3: 10.0}
        assert self.view.revision == 4

    def test_weights_are_announced_while_the_document_has_not_arrived(self):
        assert not self.receive(4, (2, 1.0), document=2).in_force
        assert self.announced() == {2: 9.0}
        assert self.notified == [{2: 9.0}]

    def test_a_corrected_time_alone_notifies_nobody(self):
        self.receive(4, (2, 0.0))
        self.receive(4, (2, 5.0))
        assert self.notified == [{2: 10.0}]


class SimulatedHost:
    """A control host that counts announcements from its own, perhaps later, start."""

    def __init__(self):
        self.first_seen_seconds = {}

    def see(self, versions, now_seconds):
        for version in versions:
            self.first_seen_seconds.setdefault(version, now_seconds)

    def restart(self, versions, now_seconds):
        self.first_seen_seconds = dict.fromkeys(versions[-1:], now_seconds)

    def summary(self, revision, document, now_seconds):
        weights = [
            AnnouncedWeights('m', version, now_seconds - seen_seconds)
            for version, seen_seconds in self.first_seen_seconds.items()
        ]
        return summary(revision, document, weights=weights)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(['announce', 'restart', 'send', 'send', 'send', 'document']),
        st.integers(0, 2),  # the control host
        st.integers(0, 40).map(lambda eighths: eighths / 8),  # seconds until the step
        st.integers(0, 8).map(lambda eighths: eighths / 8),  # seconds on the way
    ),
    max_size=30,
)


@given(STEPS)
def test_no_order_of_messages_makes_an_announcement_later_than_the_earliest_told(steps):
    view, hosts = SiteView(), [SimulatedHost() for _ in range(3)]
    announced, earliest, versions, now_seconds = {}, {}, [], 0.0
    for step, number, wait_seconds, way_seconds in steps:
        now_seconds += wait_seconds
        if step == 'announce':
            versions.append(len(versions) + 1)
            announced[versions[-1]] = now_seconds
        elif step == 'restart':
            hosts[number].restart(versions, now_seconds)
        elif step == 'document':
            view.apply_document(make_document(len(versions)))
        else:
            hosts[number].see(versions[-2:], now_seconds)
            message = hosts[number].summary(len(versions), len(versions), now_seconds)
            now_seconds += way_seconds
            view.apply_summary(message, now_seconds)
            for weights in message.weights:
                told_seconds = now_seconds - weights.age_seconds
                held_seconds = earliest.get(weights.version, told_seconds)
                earliest[weights.version] = min(held_seconds, told_seconds)
        targets = view.weights.get('m', ())
        assert {target.version: target.announced_seconds for target in targets} == earliest
        assert all(earliest[version] >= announced[version] for version in earliest)
