"""Claims and settlements that lose their reply or their leader are resent until answered."""

from twisted.internet.task import Clock

from jackdawsail.entry.ledger_client import CLAIM_WAIT_SECONDS, RESEND_SECONDS, LedgerClient
from jackdawsail.message_router import MessageRouter
from jackdawsail.state.ledger import Ledger
from jackdawsail.wire.claim_messages import (
    ClaimRequest,
    ClaimVerdict,
    SettleRequest,
    StoredAnswer,
)
from jackdawsail.wire.work_messages import Outcome


class Leader:
    """A control leader with a ledger; it can lose its replies or be unreachable."""

    peer = None

    def __init__(self, router, ledger):
        self.router, self.ledger, self.loses_replies, self.down = router, ledger, False, False

    def send(self, message):
        if self.down:
            return False
        is_claim = isinstance(message, ClaimRequest)
        reply = self.ledger.claim(message) if is_claim else self.ledger.settle(message)
        if not self.loses_replies:
            self.router.link_received(self, reply)
        return True


def make_client(loses_replies=False):
    clock, router, ledger = Clock(), MessageRouter(), Ledger()
    leader = Leader(router, ledger)
    leader.loses_replies = loses_replies
    client = LedgerClient(clock, router, lambda: leader)
    client.start()
    return clock, leader, client, ledger


def make_claim(request_id='q1', key='k1', entry='e1'):
    return ClaimRequest(request_id, 'label', key, 'digest', entry, 1)


def advance(clock, seconds):
    for _ in range(int(seconds * 10) + 1):
        clock.advance(0.1)


def test_claim_with_a_lost_reply_is_granted_when_it_is_resent():
    clock, leader, client, ledger = make_client(loses_replies=True)
    replies = []
    client.claim(make_claim(), 100).addCallback(replies.append)
    advance(clock, RESEND_SECONDS)
    leader.loses_replies = False
    advance(clock, 2 * RESEND_SECONDS)
    assert [reply.verdict for reply in replies] == [ClaimVerdict.granted]
    assert ledger.claim(make_claim('q2', entry='e2')).verdict is ClaimVerdict.running


def test_claim_that_was_given_up_is_settled_so_that_its_key_can_be_used_again():
    clock, leader, client, ledger = make_client(loses_replies=True)
    replies = []
    client.claim(make_claim(), 100).addCallback(replies.append)
    advance(clock, CLAIM_WAIT_SECONDS)
    assert [reply.verdict for reply in replies] == [ClaimVerdict.unavailable]
    assert client.busy
    leader.loses_replies = False
    advance(clock, 2 * RESEND_SECONDS)
    assert not client.busy
    assert ledger.claim(make_claim('q2', entry='e2')).verdict is ClaimVerdict.granted


def test_settlement_is_resent_until_a_leader_accepts_it():
    clock, leader, client, ledger = make_client()
    replies = []
    client.claim(make_claim(), 100).addCallback(replies.append)
    leader.down = True
    answer = StoredAnswer(200, 'text/plain', b'booked')
    client.settle(make_claim(), replies[0].claim_number, Outcome.done, answer)
    advance(clock, 5)
    assert client.busy
    leader.down = False
    advance(clock, RESEND_SECONDS)
    assert not client.busy
    again = ledger.claim(make_claim('q2', entry='e2'))
    assert (again.verdict, again.answer) == (ClaimVerdict.settled, answer)
    assert ledger.settle(SettleRequest('q1', 'label', 'k1', 1, 'unknown')).accepted is False
