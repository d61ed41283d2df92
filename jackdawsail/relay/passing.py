"""Passes claims, settlements and reports of entries on, and the answers back."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from jackdawsail.message_router import MessageRouter
from jackdawsail.wire.claim_messages import (
    CallQuery,
    CallState,
    ClaimReply,
    ClaimRequest,
    SettleReply,
    SettleRequest,
)
from jackdawsail.wire.link import Link
from jackdawsail.wire.release_messages import ManifestReport, ReleaseProblem

MAX_PENDING = 20_000


class Passing:
    """Remembers which entry asked; an entry resends what gets no answer."""

    def __init__(self, leader: Callable[[], Link | None]) -> None:
        self._leader = leader
        self._pending: OrderedDict[str, Link] = OrderedDict()

    def ask(self, link: Link, request: Any) -> None:
        """Passes a request on to the leader."""
        leader = self._leader()
        if leader is None or not leader.send(request):
            return
        self._pending[request.request_id] = link
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)

    def answer(self, _link: Link, reply: Any) -> None:
        """Passes an answer back to the entry that asked."""
        asked_by = self._pending.pop(reply.request_id, None)
        if asked_by is not None:
            asked_by.send(reply)

    def report(self, _link: Link, report: Any) -> None:
        """Passes a report on to the leader; it needs no answer."""
        leader = self._leader()
        if leader is not None:
            leader.send(report)


def make_passing(router: MessageRouter, leader: Callable[[], Link | None]) -> Passing:
    """Connects the messages that are only passed on."""
    passing = Passing(leader)
    for asked in (ClaimRequest, SettleRequest, CallQuery):
        router.register_handler(asked, passing.ask)
    for answered in (ClaimReply, SettleReply, CallState):
        router.register_handler(answered, passing.answer)
    for reported in (ManifestReport, ReleaseProblem):
        router.register_handler(reported, passing.report)
    return passing
