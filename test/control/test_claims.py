"""Claims and settlements between an entry and a control host that loses its leadership."""

from returns.result import Failure, Success
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from jackdawsail.consensus.interfaces import ProposeError
from jackdawsail.control.claims import make_claim_handler
from jackdawsail.entry.ledger_client import RESEND_SECONDS, LedgerClient
from jackdawsail.message_router import MessageRouter
from jackdawsail.state.replies import LedgerReplies
from jackdawsail.wire.claim_messages import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    SettleReply,
    StoredAnswer,
)
from jackdawsail.wire.work_messages import Outcome

CLAIM = ClaimRequest('r1', 'label', 'key', 'digest', 'entry-1', 7)


class FakeReplicator:
    """A replicator whose leadership the test sets."""

    leads = True

    def is_leader(self):
        return self.leads


class FakeProposer:
    """Records the proposals; the test fires their results."""

    def __init__(self):
        self.replicator = FakeReplicator()
        self.proposed = []

    def submit_internal(self, body):
        self.proposed.append((body, Deferred()))
        return self.proposed[-1][1]


class Wire:
    """A link that delivers messages directly to the handlers of the other side."""

    def __init__(self, target):
        self.target = target
        self.reverse = None

    def send(self, sent):
        self.target.link_received(self.reverse, sent)
        return True


def make_sides():
    clock, proposer = Clock(), FakeProposer()
    control, entry = MessageRouter(), MessageRouter()
    to_control, to_entry = Wire(control), Wire(entry)
    to_control.reverse, to_entry.reverse = to_entry, to_control
    make_claim_handler(control, proposer)
    client = LedgerClient(clock, entry, lambda: to_control)
    client.start()
    return clock, proposer, client


def test_settlement_is_resent_after_a_leader_could_not_commit_it():
    clock, proposer, client = make_sides()
    client.settle(CLAIM, 1, Outcome.done, StoredAnswer(200, 'text/plain', b'booked'))
    proposer.proposed[0][1].callback(Success(Failure(ProposeError('lost', '', True))))
    assert client.busy
    proposer.replicator.leads = False
    clock.advance(RESEND_SECONDS)
    assert len(proposer.proposed) == 1
    proposer.replicator.leads = True
    clock.advance(RESEND_SECONDS)
    clock.advance(RESEND_SECONDS)
    proposer.proposed[1][1].callback(Success(LedgerReplies([], [SettleReply('r1', True)])))
    assert not client.busy


def test_abandoned_claim_is_settled_as_not_run_when_its_grant_arrives_late():
    clock, proposer, client = make_sides()
    verdicts = []
    client.claim(CLAIM, deadline_seconds=1).addCallback(verdicts.append)
    for _ in range(12):
        clock.advance(0.1)
    assert verdicts == [ClaimReply('r1', ClaimVerdict.unavailable, 0)]
    granted = LedgerReplies([ClaimReply('r1', ClaimVerdict.granted, 4)], [])
    proposer.proposed[0][1].callback(Success(granted))
    cleared = [body.settles for body, _ in proposer.proposed if body.settles]
    assert [settle.outcome for settle in cleared[0]] == ['not-run']
    assert cleared[0][0].claim_number == 4
