"""Commits claims and settlements of entries, many of them in one command."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success

from jackdawsail.control.proposer import Proposer
from jackdawsail.message_router import MessageRouter
from jackdawsail.state.commands import LedgerBatch
from jackdawsail.state.replies import LedgerReplies
from jackdawsail.wire.claim_messages import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    SettleRequest,
)
from jackdawsail.wire.link import Link

MAX_BATCH_REQUESTS = 512
MAX_BATCH_BYTES = 262_144
MAX_BATCHES_IN_FLIGHT = 4

_QueuedRequest = tuple[Link, ClaimRequest | SettleRequest]


@dataclass(slots=True)
class ClaimHandler:
    """Collects requests while batches are in flight, and answers each on its own link."""

    proposer: Proposer
    waiting: list[_QueuedRequest] = field(default_factory=list)
    in_flight: int = 0

    def receive(self, link: Link, request: ClaimRequest | SettleRequest) -> None:
        """Queues a request; a host that does not lead refuses claims and drops settlements."""
        if not self.proposer.replicator.is_leader():
            _refuse_claim(link, request)
            return
        self.waiting.append((link, request))
        self._propose_next()

    def _propose_next(self) -> None:
        if not self.waiting or self.in_flight >= MAX_BATCHES_IN_FLIGHT:
            return
        count = _count_fitting(self.waiting[:MAX_BATCH_REQUESTS])
        batch = self.waiting[:count]
        self.waiting = self.waiting[count:]
        self.in_flight += 1
        # The command and its replies list claims and settlements separately, which loses
        # their order of arrival. One batch never holds both kinds for the same attempt.
        claims = [request for _, request in batch if isinstance(request, ClaimRequest)]
        settles = [request for _, request in batch if isinstance(request, SettleRequest)]
        proposed = self.proposer.submit_internal(LedgerBatch(claims, settles))
        proposed.addCallback(self._answer_batch, batch)

    def _answer_batch(self, outcome: Any, batch: list[_QueuedRequest]) -> None:
        self.in_flight -= 1
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), LedgerReplies):
            _send_replies(batch, outcome.unwrap())
        else:
            for link, request in batch:
                _refuse_claim(link, request)
        self._propose_next()


def make_claim_handler(router: MessageRouter, proposer: Proposer) -> ClaimHandler:
    """Creates the handler and registers it on the links of entries."""
    handler = ClaimHandler(proposer)
    receive: Callable[[Link, Any], None] = handler.receive
    router.register_handler(ClaimRequest, receive)
    router.register_handler(SettleRequest, receive)
    return handler


def _count_fitting(waiting: list[_QueuedRequest]) -> int:
    """Returns how many of the waiting requests fit into one command; at least one."""
    size_bytes = 0
    for position, (_link, request) in enumerate(waiting):
        answer = request.answer if isinstance(request, SettleRequest) else None
        size_bytes += 0 if answer is None else len(answer.body)
        if position and size_bytes > MAX_BATCH_BYTES:
            return position
    return len(waiting)


def _send_replies(batch: list[_QueuedRequest], replies: LedgerReplies) -> None:
    claims, settles = iter(replies.claims), iter(replies.settles)
    for link, request in batch:
        link.send(next(claims) if isinstance(request, ClaimRequest) else next(settles))


def _refuse_claim(link: Link, request: ClaimRequest | SettleRequest) -> None:
    # An entry resends a settlement until it is answered. Any answer would end that and leave
    # the call running in the ledger, so settlements are not refused.
    if isinstance(request, ClaimRequest):
        link.send(ClaimReply(request.request_id, ClaimVerdict.unavailable, 0))
