"""Sends claims and settlements to the control leader and resends them to a new leader.

An unanswered claim may have been committed. When its call is given up, the
client continues in the background: it resends the claim under the same request
id and settles it as not run, so that the key can be used again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from jackdawsail import events
from jackdawsail.loops import make_loop
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.claim_messages import (
    CallQuery,
    CallState,
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    SettleReply,
    SettleRequest,
    StoredAnswer,
)
from jackdawsail.wire.link import Link
from jackdawsail.wire.work_messages import Outcome

RESEND_SECONDS = 0.5
TICK_SECONDS = 0.1
CLAIM_WAIT_SECONDS = 5.0
MAX_PENDING_CLAIMS = 10_000

CLAIM_ABANDONED = events.define(
    410, 'warning', 'claim was not answered in time; it will be settled as not run'
)
SETTLE_REFUSED = events.define(411, 'warning', 'ledger refused a settlement')

LeaderLink = Callable[[], Link | None]


@dataclass(slots=True)
class _Claim:
    """A claim without a final reply; ``replied`` is None once its call was given up."""

    request: ClaimRequest
    replied: 'Deferred[ClaimReply] | None'
    give_up_at_seconds: float
    sent_seconds: float = 0


@dataclass(slots=True)
class _Settlement:
    request: SettleRequest
    sent_seconds: float = 0


class LedgerClient:
    """Resends claims and settlements until the current leader answers them."""

    def __init__(self, reactor: Any, router: MessageRouter, leader: LeaderLink) -> None:
        self._reactor = reactor
        self._leader = leader
        self._claims: dict[str, _Claim] = {}
        self._settlements: dict[str, _Settlement] = {}
        self._queries: dict[str, Deferred[CallState]] = {}
        self._loop = make_loop(reactor, self.tick)
        router.register_handler(ClaimReply, self._on_claim_reply)
        router.register_handler(SettleReply, self._on_settle_reply)
        router.register_handler(CallState, self._on_call_state)

    def start(self) -> None:
        """Starts the resend timer."""
        self._loop.start(TICK_SECONDS)

    def stop(self) -> None:
        """Stops the resend timer."""
        if self._loop.running:
            self._loop.stop()

    def claim(self, request: ClaimRequest, deadline_seconds: float) -> 'Deferred[ClaimReply]':
        """Sends a claim; fires with the ledger's verdict.

        The verdict is ``unavailable`` after ``CLAIM_WAIT_SECONDS`` or at the deadline, and
        at once while ``MAX_PENDING_CLAIMS`` claims are unanswered.
        """
        replied: Deferred[ClaimReply] = Deferred()
        now_seconds = self._reactor.seconds()
        give_up_at_seconds = min(deadline_seconds, now_seconds + CLAIM_WAIT_SECONDS)
        if len(self._claims) >= MAX_PENDING_CLAIMS:
            replied.callback(_unavailable_reply(request))
            return replied
        claim = _Claim(request, replied, give_up_at_seconds)
        self._claims[request.request_id] = claim
        self._send_claim(claim)
        return replied

    def settle(
        self, claim: ClaimRequest, claim_number: int, outcome: Outcome, answer: StoredAnswer | None
    ) -> None:
        """Settles a granted claim; resends the settlement until the ledger answers."""
        request = SettleRequest(
            claim.request_id, claim.customer, claim.key, claim_number, str(outcome), answer
        )
        settlement = _Settlement(request)
        self._settlements[claim.request_id] = settlement
        self._send_settlement(settlement)

    def query(self, call_query: CallQuery) -> 'Deferred[CallState]':
        """Asks the leader for the state of an earlier call; fires with the answer.

        Without a leader, or without an answer within ``CLAIM_WAIT_SECONDS``, the verdict is
        ``unavailable``.
        """
        replied: Deferred[CallState] = Deferred()
        link = self._leader()
        if link is None or not link.send(call_query):
            replied.callback(_unavailable_state(call_query))
            return replied
        self._queries[call_query.request_id] = replied
        self._reactor.callLater(
            CLAIM_WAIT_SECONDS, self._on_call_state, link, _unavailable_state(call_query)
        )
        return replied

    @property
    def busy(self) -> bool:
        """Returns whether any claim or settlement is unanswered."""
        return bool(self._claims or self._settlements)

    def tick(self) -> None:
        """Resends unanswered claims and settlements, and gives up claims that are too late."""
        now_seconds = self._reactor.seconds()
        for claim in list(self._claims.values()):
            if claim.replied is not None and now_seconds >= claim.give_up_at_seconds:
                self._abandon(claim)
            if now_seconds - claim.sent_seconds >= RESEND_SECONDS:
                self._send_claim(claim)
        for settlement in list(self._settlements.values()):
            if now_seconds - settlement.sent_seconds >= RESEND_SECONDS:
                self._send_settlement(settlement)

    def _abandon(self, claim: _Claim) -> None:
        events.log(CLAIM_ABANDONED, request=claim.request.request_id)
        replied = claim.replied
        claim.replied = None
        if replied is not None:
            replied.callback(_unavailable_reply(claim.request))

    def _send_claim(self, claim: _Claim) -> None:
        link = self._leader()
        if link is not None and link.send(claim.request):
            claim.sent_seconds = self._reactor.seconds()

    def _send_settlement(self, settlement: _Settlement) -> None:
        link = self._leader()
        if link is not None and link.send(settlement.request):
            settlement.sent_seconds = self._reactor.seconds()

    def _on_claim_reply(self, _link: Link, reply: ClaimReply) -> None:
        claim = self._claims.get(reply.request_id)
        if claim is None or reply.verdict is ClaimVerdict.unavailable:
            return
        del self._claims[reply.request_id]
        if claim.replied is not None:
            claim.replied.callback(reply)
        elif reply.verdict is ClaimVerdict.granted:
            self.settle(claim.request, reply.claim_number, Outcome.not_run, None)

    def _on_settle_reply(self, _link: Link, reply: SettleReply) -> None:
        settlement = self._settlements.pop(reply.request_id, None)
        if settlement is not None and not reply.accepted:
            events.log(SETTLE_REFUSED, request=reply.request_id)

    def _on_call_state(self, _link: Link, state: CallState) -> None:
        replied = self._queries.pop(state.request_id, None)
        if replied is not None:
            replied.callback(state)


def _unavailable_reply(request: ClaimRequest) -> ClaimReply:
    return ClaimReply(request.request_id, ClaimVerdict.unavailable, 0)


def _unavailable_state(call_query: CallQuery) -> CallState:
    return CallState(call_query.request_id, found=False, verdict=ClaimVerdict.unavailable)
