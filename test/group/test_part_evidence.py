"""Control hosts keep and relay the evidence against parts, and store the blocked ones."""

from types import SimpleNamespace

import msgspec
import pytest

from jackdawsail.group import calls
from jackdawsail.group.operator_calls import with_operator_calls
from jackdawsail.group.part_calls import LiftBlockedPart, ListBlockedParts
from jackdawsail.group.part_evidence import RELAY_SECONDS
from jackdawsail.group.replicated_lists import make_replicated_lists
from jackdawsail.http1.messages import HttpAnswer, make_request
from jackdawsail.routing.part_blame import PartBlame
from jackdawsail.site.machine import MAX_BLOCKED_PARTS, SiteMachine, block_part, lift_part
from jackdawsail.wire.identity import Role
from jackdawsail.wire.part_messages import AgedEnd, BlockedParts, PartEvidence, SuspectCall
from jackdawsail.wire.site_messages import SiteSummary
from test.group.test_call_handler import Host

END = AgedEnd('i-1/1', 0.01, [SuspectCall('own', ['bad', 'first'], True)])
EVIDENCE = PartEvidence(0, [END])
BLOCK = PartEvidence(0, blocked=['bad'])


class World(Host):
    """A control host that keeps its lists."""

    def __init__(self):
        super().__init__()
        self.lists = make_replicated_lists(self.clock, self.replicator, self.fanout)

    def receive(self, link, evidence):
        self.router.link_received(link, evidence)

    @property
    def stored(self):
        return self.machine.state.blocked_parts


@pytest.fixture
def world():
    return World()


def relayed_to(link):
    return [message for message in link.sent_of(PartEvidence) if not message.is_empty]


def test_evidence_is_relayed_once_with_its_age(world):
    sender, other, control = world.link(), world.link(), world.link(Role.control)
    agent = world.link(Role.agent)
    world.receive(sender, EVIDENCE)
    world.receive(control, EVIDENCE)
    world.clock.advance(RELAY_SECONDS)
    for link in (other, control):
        [message] = relayed_to(link)
        assert [end.engine for end in message.ends] == ['i-1/1']
        assert message.ends[0].age_seconds == pytest.approx(END.age_seconds + RELAY_SECONDS)
    assert agent.sent_of(PartEvidence) == []
    world.receive(other, EVIDENCE)
    world.clock.advance(1)
    assert len(relayed_to(other)) == 1


def test_an_entry_knows_blocked_parts_and_evidence_before_it_gets_the_document(world):
    world.receive(world.link(), EVIDENCE)
    world.receive(world.link(), BLOCK)
    later = world.link(name='later')
    kinds = [type(message) for message in later.sent]
    assert kinds.index(BlockedParts) < kinds.index(SiteSummary)
    assert kinds.index(PartEvidence) < kinds.index(SiteSummary)
    assert later.sent_of(BlockedParts)[0].parts == ['bad']


def test_the_leader_stores_a_blocked_part_at_once_and_sends_the_list(world):
    link = world.link()
    world.receive(link, BLOCK)
    assert world.stored == ('bad',)
    assert link.sent_of(BlockedParts)[-1].parts == ['bad']


def test_a_new_leader_stores_what_the_old_one_did_not(world):
    world.replicator.leads = False
    world.receive(world.link(), BLOCK)
    assert world.stored == ()
    world.replicator.leads = True
    world.lists.update([])
    assert world.stored == ('bad',)


def test_a_proposal_that_was_not_confirmed_is_made_again(world):
    world.replicator.lost = True
    world.receive(world.link(), BLOCK)
    world.replicator.lost = False
    world.lists.update([])
    assert world.stored == ('bad',)


def test_a_restarted_control_host_gets_the_evidence_of_an_entry():
    entry = PartBlame()
    entry.merge(EVIDENCE, 100)
    entry.block('worse')
    world = World()
    world.receive(world.link(), entry.snapshot(100))
    assert world.stored == ('worse',)
    assert [end.engine for end in world.fanout.parts.blame.snapshot(0).ends] == ['i-1/1']


def test_blocked_parts_outlive_a_restart_of_all_processes(world):
    world.receive(world.link(), BLOCK)
    restarted = World()
    restarted.machine.restore(world.machine.snapshot())
    assert restarted.link().sent_of(BlockedParts)[0].parts == ['bad']
    assert restarted.fanout.parts.blame.blocked == ('bad',)


class TestLift:
    """An operator lifts a part."""

    def setup_method(self):
        self.world = World()
        self.link = self.world.link()
        self.world.receive(self.link, BLOCK)

    def test_a_lifted_part_is_sent_to_entries_and_stays_lifted(self):
        assert self.world.ask(LiftBlockedPart('bad')) == calls.Done()
        assert self.link.sent_of(BlockedParts)[-1].parts == []
        self.world.receive(self.link, BLOCK)
        self.world.lists.update([])
        assert self.world.stored == ()
        assert self.world.ask(ListBlockedParts()).parts == ()

    def test_a_part_that_is_lifted_may_be_blocked_again_by_newer_evidence(self):
        self.world.ask(LiftBlockedPart('bad'))
        revision = self.link.sent_of(BlockedParts)[-1].revision
        self.world.receive(self.link, PartEvidence(revision, blocked=['bad']))
        assert self.world.stored == ('bad',)

    def test_a_part_that_is_not_blocked_cannot_be_lifted(self):
        assert self.world.ask(LiftBlockedPart('other')) == calls.NotFound()

    def test_only_the_leader_lifts(self):
        self.world.replicator.leads = False
        self.world.replicator.leader = 'another'
        assert self.world.ask(LiftBlockedPart('bad')) == calls.AskHost('another')


def test_the_stored_list_is_bounded():
    machine = SiteMachine()
    for number in range(MAX_BLOCKED_PARTS + 2):
        machine.apply(number + 1, block_part(f'p{number}'))
    assert len(machine.state.blocked_parts) == MAX_BLOCKED_PARTS
    machine.apply(9999, lift_part('p9'))
    assert 'p9' not in machine.state.blocked_parts


class TestOperatorCalls:
    """The requests of ``jackdawsail part``."""

    def setup_method(self):
        def encode(answer, target):
            return HttpAnswer(418)

        site = SimpleNamespace(decode=lambda request: 'site', encode=encode)
        self.codec = with_operator_calls(site)

    def decode(self, method, target):
        return self.codec.decode(make_request(method, 'c:80', target))

    def test_lists_and_lifts_are_decoded(self):
        assert self.decode(b'GET', b'/v1/blocked-parts') == ListBlockedParts()
        assert self.decode(b'DELETE', b'/v1/blocked-parts/a%2Fb') == LiftBlockedPart('a/b')

    @pytest.mark.parametrize('target', [b'/v1/blocked-parts', b'/v1/blocked-parts/'])
    def test_a_lift_without_a_part_is_unknown(self, target):
        assert self.decode(b'DELETE', target) == calls.UnknownCall()

    @pytest.mark.parametrize('target', [b'/api/config', b'/v1/blocked-partsx', b'/'])
    def test_other_paths_are_left_to_the_site(self, target):
        assert self.decode(b'GET', target) == 'site'

    def test_answers_are_documents_that_the_command_line_reads(self):
        world = World()
        world.receive(world.link(), BLOCK)
        answer = self.codec.encode(world.ask(ListBlockedParts()), b'/v1/blocked-parts')
        items = msgspec.json.decode(answer.body)['items']
        assert (answer.status, items) == (200, [{'part': 'bad', 'stored': True}])
        refused = self.codec.encode(calls.AskHost('c2'), b'/v1/blocked-parts/bad')
        assert (refused.status, msgspec.json.decode(refused.body)['code']) == (503, 'not-leader')
        assert self.codec.encode(calls.NotFound(), b'/v1/blocked-parts/x').status == 404
        assert self.codec.encode(calls.Done(), b'/api/config').status == 418
