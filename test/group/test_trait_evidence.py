"""Control hosts keep and relay the evidence against traits, and store the blocked ones."""

from types import SimpleNamespace

import msgspec
import pytest

from jackdawsail.group import calls
from jackdawsail.group.block_calls import LiftBlockedTrait, ListBlockedTraits
from jackdawsail.group.operator_calls import with_operator_calls
from jackdawsail.group.replicated_lists import make_replicated_lists
from jackdawsail.group.trait_evidence import RELAY_SECONDS
from jackdawsail.http1.messages import HttpAnswer, make_request
from jackdawsail.routing.trait_blame import TraitBlame
from jackdawsail.site.machine import MAX_BLOCKED_TRAITS, SiteMachine, block_trait, lift_trait
from jackdawsail.wire.identity import Role
from jackdawsail.wire.site_messages import SiteSummary
from jackdawsail.wire.trait_messages import AgedEnd, BlockedTraits, SuspectCall, TraitEvidence
from test.group.test_call_handler import Host

END = AgedEnd('i-1/1', 0.01, [SuspectCall('own', ['bad', 'first'], True)])
EVIDENCE = TraitEvidence(0, [END])
BLOCK = TraitEvidence(0, blocked=['bad'])


class World(Host):
    """A control host that keeps its lists."""

    def __init__(self):
        super().__init__()
        self.lists = make_replicated_lists(self.clock, self.replicator, self.fanout)

    def receive(self, link, evidence):
        self.router.link_received(link, evidence)

    @property
    def stored(self):
        return self.machine.state.blocked_traits


@pytest.fixture
def world():
    return World()


def relayed_to(link):
    return [message for message in link.sent_of(TraitEvidence) if not message.is_empty]


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
    assert agent.sent_of(TraitEvidence) == []
    world.receive(other, EVIDENCE)
    world.clock.advance(1)
    assert len(relayed_to(other)) == 1


def test_an_entry_knows_blocked_parts_and_evidence_before_it_gets_the_document(world):
    world.receive(world.link(), EVIDENCE)
    world.receive(world.link(), BLOCK)
    later = world.link(name='later')
    kinds = [type(message) for message in later.sent]
    assert kinds.index(BlockedTraits) < kinds.index(SiteSummary)
    assert kinds.index(TraitEvidence) < kinds.index(SiteSummary)
    assert later.sent_of(BlockedTraits)[0].traits == ['bad']


def test_the_leader_stores_a_blocked_part_at_once_and_sends_the_list(world):
    link = world.link()
    world.receive(link, BLOCK)
    assert world.stored == ('bad',)
    assert link.sent_of(BlockedTraits)[-1].traits == ['bad']


def test_a_new_leader_stores_what_the_old_one_did_not(world):
    world.replicator.leads = False
    world.receive(world.link(), BLOCK)
    assert world.stored == ()
    world.replicator.leads = True
    world.lists.update([], 8.0)
    assert world.stored == ('bad',)


def test_a_proposal_that_was_not_confirmed_is_made_again(world):
    world.replicator.lost = True
    world.receive(world.link(), BLOCK)
    world.replicator.lost = False
    world.lists.update([], 8.0)
    assert world.stored == ('bad',)


def test_a_restarted_control_host_gets_the_evidence_of_an_entry():
    entry = TraitBlame()
    entry.merge(EVIDENCE, 100)
    entry.block('worse')
    world = World()
    world.receive(world.link(), entry.snapshot(100))
    assert world.stored == ('worse',)
    assert [end.engine for end in world.fanout.traits.blame.snapshot(0).ends] == ['i-1/1']


def test_blocked_parts_outlive_a_restart_of_all_processes(world):
    world.receive(world.link(), BLOCK)
    restarted = World()
    restarted.machine.restore(world.machine.snapshot())
    assert restarted.link().sent_of(BlockedTraits)[0].traits == ['bad']
    assert restarted.fanout.traits.blame.blocked == ('bad',)


class TestLift:
    """An operator lifts a trait."""

    def setup_method(self):
        self.world = World()
        self.link = self.world.link()
        self.world.receive(self.link, BLOCK)

    def test_a_lifted_part_is_sent_to_entries_and_stays_lifted(self):
        assert self.world.ask(LiftBlockedTrait('bad')) == calls.Done()
        assert self.link.sent_of(BlockedTraits)[-1].traits == []
        self.world.receive(self.link, BLOCK)
        self.world.lists.update([], 8.0)
        assert self.world.stored == ()
        assert self.world.ask(ListBlockedTraits()).traits == ()

    def test_a_part_that_is_lifted_may_be_blocked_again_by_newer_evidence(self):
        self.world.ask(LiftBlockedTrait('bad'))
        revision = self.link.sent_of(BlockedTraits)[-1].revision
        self.world.receive(self.link, TraitEvidence(revision, blocked=['bad']))
        assert self.world.stored == ('bad',)

    def test_a_part_that_is_not_blocked_cannot_be_lifted(self):
        assert self.world.ask(LiftBlockedTrait('other')) == calls.NotFound()

    def test_only_the_leader_lifts(self):
        self.world.replicator.leads = False
        self.world.replicator.leader = 'another'
        assert self.world.ask(LiftBlockedTrait('bad')) == calls.AskHost('another')


def test_the_stored_list_is_bounded():
    machine = SiteMachine()
    for number in range(MAX_BLOCKED_TRAITS + 2):
        machine.apply(number + 1, block_trait(f'p{number}'))
    assert len(machine.state.blocked_traits) == MAX_BLOCKED_TRAITS
    machine.apply(9999, lift_trait('p9'))
    assert 'p9' not in machine.state.blocked_traits


class TestOperatorCalls:
    """The requests of ``jackdawsail trait``."""

    def setup_method(self):
        def encode(answer, target):
            return HttpAnswer(418)

        site = SimpleNamespace(decode=lambda request: 'site', encode=encode)
        self.codec = with_operator_calls(site)

    def decode(self, method, target):
        return self.codec.decode(make_request(method, 'c:80', target))

    def test_lists_and_lifts_are_decoded(self):
        assert self.decode(b'GET', b'/v1/blocks') == ListBlockedTraits()
        assert self.decode(b'DELETE', b'/v1/blocks/a%2Fb') == LiftBlockedTrait('a/b')

    @pytest.mark.parametrize('target', [b'/v1/blocks', b'/v1/blocks/'])
    def test_a_lift_without_a_part_is_unknown(self, target):
        assert self.decode(b'DELETE', target) == calls.UnknownCall()

    @pytest.mark.parametrize('target', [b'/api/config', b'/v1/blocksx', b'/'])
    def test_other_paths_are_left_to_the_site(self, target):
        assert self.decode(b'GET', target) == 'site'

    def test_answers_are_documents_that_the_command_line_reads(self):
        world = World()
        world.receive(world.link(), BLOCK)
        answer = self.codec.encode(world.ask(ListBlockedTraits()), b'/v1/blocks')
        items = msgspec.json.decode(answer.body)['items']
        assert (answer.status, items) == (200, [{'trait': 'bad', 'stored': True}])
        refused = self.codec.encode(calls.AskHost('c2'), b'/v1/blocks/bad')
        assert (refused.status, msgspec.json.decode(refused.body)['code']) == (503, 'not-leader')
        assert self.codec.encode(calls.NotFound(), b'/v1/blocks/x').status == 404
        assert self.codec.encode(calls.Done(), b'/api/config').status == 418
