"""Answers of a control host to operators, upstreams and callers, as leader and as follower."""

from dataclasses import replace

from returns.result import Failure, Success
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from jackdawsail.consensus.interfaces import ProposeError
from jackdawsail.group import calls
from jackdawsail.group.call_handler import CallHandler
from jackdawsail.group.directory import KnownEntry, addresses_for
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.group.linked import LinkedProcesses
from jackdawsail.message_router import MessageRouter
from jackdawsail.site.machine import SiteMachine
from jackdawsail.wire.identity import Identity, Role
from jackdawsail.wire.site_messages import (
    DocumentPushed,
    DocumentWanted,
    EntryStatus,
    Registrations,
    SiteSummary,
    UpstreamLeft,
)
from test.registry.test_registration import BEAT
from test.site.documents import make_document

DOCUMENT = calls.PutDocument(make_document(7), 'digest', b'{"version":7}')


class Replicator:
    """Commits each proposal immediately, or confirms none while ``lost`` is set."""

    def __init__(self, machine):
        self.machine = machine
        self.leads, self.leader, self.lost, self.index = True, 'own', False, 0

    def is_leader(self):
        return self.leads

    def leader_name(self):
        return self.leader

    def propose(self, command):
        if self.lost:
            return succeed(Failure(ProposeError('not confirmed in time', '', True)))
        self.index += 1
        return succeed(Success(self.machine.apply(self.index, command)))


class Link:
    """Records the messages that are sent to one peer."""

    def __init__(self, role, name='peer'):
        self.peer = Identity(role, name, 'z', 'r', 1)
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def sent_of(self, message_type):
        return [message for message in self.sent if isinstance(message, message_type)]


class Host:
    """One control host with its call handler and linked processes."""

    def __init__(self, clock=None):
        self.clock = clock or Clock()
        self.machine = SiteMachine()
        self.router = MessageRouter()
        self.linked = LinkedProcesses('own', self.router)
        self.fanout = SiteFanout(self.clock, self.router, self.machine)
        self.replicator = Replicator(self.machine)
        self.call_handler = CallHandler(self.replicator, self.fanout, self.linked)
        self.linked.start()
        self.fanout.start()

    def ask(self, call):
        answers = []
        answered = self.call_handler.handle(call)
        assert isinstance(answered, Deferred)
        answered.addCallback(answers.append)
        return answers[0]

    def link(self, role=Role.entry, name='10.0.0.5'):
        link = Link(role, name)
        self.router.link_opened(link)
        return link


def test_a_document_is_acknowledged_read_back_and_may_be_sent_again():
    host = Host()
    assert isinstance(host.ask(calls.ReadDocument()), calls.Unavailable)
    assert host.ask(DOCUMENT) == calls.Done()
    assert host.ask(DOCUMENT) == calls.Done()
    assert host.ask(calls.ReadDocument()) == calls.DocumentFound(b'{"version":7}')


def test_other_content_under_the_same_version_is_refused():
    host = Host()
    host.ask(DOCUMENT)
    other = calls.PutDocument(make_document(7), 'other', b'{}')
    assert isinstance(host.ask(other), calls.Conflict)
    assert host.ask(calls.ReadDocument()) == calls.DocumentFound(b'{"version":7}')


def test_invalid_call_is_refused_on_a_follower_too():
    host = Host()
    host.replicator.leads = False
    assert host.ask(calls.InvalidCall('cut short')) == calls.Invalid('cut short')


def test_follower_redirects_to_the_leader_and_answers_nothing_itself():
    host = Host()
    host.ask(DOCUMENT)
    host.replicator.leads, host.replicator.leader = False, 'other'
    for call in (DOCUMENT, calls.ReadDocument(), calls.SetZoneEmptied('z', emptied=True)):
        assert host.ask(call) == calls.AskHost('other')
    host.replicator.leader = ''
    assert isinstance(host.ask(calls.ReadDocument()), calls.Unavailable)


def test_a_leader_whose_lease_has_lapsed_does_not_send_callers_to_itself():
    host = Host()
    host.replicator.leads = False
    assert isinstance(host.ask(calls.ReadDocument()), calls.Unavailable)


def test_a_change_that_is_not_confirmed_is_not_acknowledged():
    host = Host()
    host.replicator.lost = True
    assert isinstance(host.ask(DOCUMENT), calls.Unavailable)


def test_agents_do_not_get_the_registrations_of_all_upstreams():
    host = Host()
    early = host.link(Role.agent, '10.0.0.3')
    assert host.ask(calls.Heartbeat(BEAT)) == calls.Done()
    assert host.ask(calls.Heartbeat(replace(BEAT, sequence=2))) == calls.Done()
    host.clock.advance(1)
    late = host.link(Role.agent, '10.0.0.4')
    assert host.ask(calls.Deregister('i-1')) == calls.Done()
    for link in (early, late):
        assert link.sent_of(Registrations) == link.sent_of(UpstreamLeft) == []
        assert link.sent_of(SiteSummary)


def test_registration_is_sent_to_every_process_that_places_calls_before_the_acknowledgement():
    host = Host()
    entry, other_control = host.link(), host.link(Role.control, '10.0.0.2')
    assert host.ask(calls.Heartbeat(BEAT)) == calls.Done()
    for link in (entry, other_control):
        assert link.sent_of(Registrations)[-1].heard[0].registration == BEAT
    assert host.ask(calls.Deregister('i-1')) == calls.Done()
    assert entry.sent_of(UpstreamLeft) == [UpstreamLeft('i-1')]


def test_leaving_upstream_is_not_acknowledged_without_a_leader():
    host = Host()
    host.replicator.leader = ''
    assert host.ask(calls.Heartbeat(BEAT)) == calls.Done()
    leaving = replace(BEAT, sequence=2, leaving=True)
    assert isinstance(host.ask(calls.Heartbeat(leaving)), calls.Unavailable)
    assert isinstance(host.ask(calls.Deregister('i-1')), calls.Unavailable)


def test_process_that_links_later_receives_the_whole_state():
    host = Host()
    host.ask(calls.Heartbeat(BEAT))
    host.ask(DOCUMENT)
    host.ask(calls.AnnounceWeights('m', 2))
    late = host.link()
    assert late.sent_of(Registrations)[0].heard[0].registration == BEAT
    summary = late.sent_of(SiteSummary)[0]
    assert (summary.document_version, summary.weights[0].version) == (7, 2)
    host.router.link_received(late, DocumentWanted(summary.revision))
    assert late.sent_of(DocumentPushed)[0].version == 7


def test_summary_lists_an_older_weight_version_beside_a_newer_one():
    host = Host()
    host.ask(calls.AnnounceWeights('m', 2))
    host.clock.advance(3)
    host.ask(calls.AnnounceWeights('m', 3))
    announced = host.link().sent_of(SiteSummary)[0].weights
    assert {weights.version: weights.age_seconds for weights in announced} == {2: 3.0, 3: 0.0}


def test_callers_are_sent_to_entries_that_accept_and_are_linked():
    host = Host()
    assert isinstance(host.ask(calls.FindEntries('r', 'z')), calls.Unavailable)
    first, second = host.link(name='10.0.0.5'), host.link(name='10.0.0.6')
    host.router.link_received(first, EntryStatus('10.0.0.5:80', True))
    host.router.link_received(second, EntryStatus('10.0.0.6:80', True))
    assert host.ask(calls.FindEntries('r', 'z')).addresses == ('10.0.0.5:80', '10.0.0.6:80')
    host.router.link_received(second, EntryStatus('10.0.0.6:80', False))
    assert host.ask(calls.FindEntries('r', 'z')).addresses == ('10.0.0.5:80',)
    host.router.link_closed(first, 'peer is silent')
    assert isinstance(host.ask(calls.FindEntries('r', 'z')), calls.Unavailable)


def test_an_entry_that_no_longer_accepts_is_listed_as_leaving():
    host = Host()
    link = host.link(name='10.0.0.5')
    assert [member.leaving for member in host.linked.members([]).entries] == [False]
    host.router.link_received(link, EntryStatus('10.0.0.5:80', False))
    assert [member.leaving for member in host.linked.members([]).entries] == [True]


def entry(number, zone, region):
    return KnownEntry(f'10.0.0.{number}:80', zone, region)


def test_nearest_scope_with_two_entries_is_used():
    known = [entry(1, 'a', 'r'), entry(2, 'a', 'r'), entry(3, 'b', 'r'), entry(4, 'c', 's')]
    assert addresses_for(known, 'r', 'a') == ('10.0.0.1:80', '10.0.0.2:80')
    assert len(addresses_for(known, 'r', 'b')) == 3
    assert len(addresses_for(known, 's', 'c')) == 4
    assert len(addresses_for(known, 'unknown', 'unknown')) == 4


def test_number_of_addresses_is_limited():
    known = [entry(number, 'a', 'r') for number in range(100)]
    assert len(addresses_for(known, 'r', 'a')) == 64
