"""Takes claims and settlements of entries and commits many of them in one command."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from returns.result import Success

from jackdawsail.control.proposer import Proposer
from jackdawsail.state.commands import LedgerBatch
from jackdawsail.state.replies import LedgerReplies
from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.claim_messages import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    SettleRequest,
)
from jackdawsail.wire.link import Link

MAX_BATCH = 512
MAX_BATCH_BYTES = 262_144
MAX_BATCHES_IN_FLIGHT = 4

_Waiting = tuple[Link, ClaimRequest | SettleRequest]


@dataclass(slots=True)
class ClaimDesk:
    """Collects requests while batches are under way, and answers each on its own link."""

    proposer: Proposer
    waiting: list[_Waiting] = field(default_factory=list)
    in_flight: int = 0

    def receive(self, link: Link, request: ClaimRequest | SettleRequest) -> None:
        """Queues one request; a host that does not lead refuses a claim at once."""
        if not self.proposer.replicator.is_leader():
            _refuse(link, request)
            return
        self.waiting.append((link, request))
        self._propose_next()

    def _propose_next(self) -> None:
        if not self.waiting or self.in_flight >= MAX_BATCHES_IN_FLIGHT:
            return
        taken = _count_within(self.waiting[:MAX_BATCH])
        batch = self.waiting[:taken]
        self.waiting = self.waiting[taken:]
        self.in_flight += 1
        # Claims go first in the reply lists, whatever the order of arrival; the two
        # kinds never concern the same attempt within one batch.
        claims = [request for _, request in batch if isinstance(request, ClaimRequest)]
        settles = [request for _, request in batch if isinstance(request, SettleRequest)]
        proposed = self.proposer.own(LedgerBatch(claims, settles))
        proposed.addCallback(self._answer, batch)

    def _answer(self, outcome: Any, batch: list[_Waiting]) -> None:
        self.in_flight -= 1
        if isinstance(outcome, Success) and isinstance(outcome.unwrap(), LedgerReplies):
            _send_replies(batch, outcome.unwrap())
        else:
            for link, request in batch:
                _refuse(link, request)
        self._propose_next()


def make_claim_desk(router: MessageRouter, proposer: Proposer) -> ClaimDesk:
    """Makes the desk and connects it to the links of entries."""
    desk = ClaimDesk(proposer)
    receive: Callable[[Link, Any], None] = desk.receive
    router.register_handler(ClaimRequest, receive)
    router.register_handler(SettleRequest, receive)
    return desk


def _count_within(waiting: list[_Waiting]) -> int:
    """Returns how many requests one command may hold; one at least."""
    size_bytes = 0
    for position, (_link, request) in enumerate(waiting):
        answer = request.answer if isinstance(request, SettleRequest) else None
        size_bytes += 0 if answer is None else len(answer.body)
        if position and size_bytes > MAX_BATCH_BYTES:
            return position
    return len(waiting)


def _send_replies(batch: list[_Waiting], replies: LedgerReplies) -> None:
    claims, settles = iter(replies.claims), iter(replies.settles)
    for link, request in batch:
        link.send(next(claims) if isinstance(request, ClaimRequest) else next(settles))


def _refuse(link: Link, request: ClaimRequest | SettleRequest) -> None:
    # A settlement without an answer is sent again by its entry until a leader has it;
    # an answer would end that, and leave the call running in the ledger.
    if isinstance(request, ClaimRequest):
        link.send(ClaimReply(request.request_id, ClaimVerdict.unavailable, 0))
