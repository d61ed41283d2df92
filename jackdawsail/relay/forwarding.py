"""Forwards claims, settlements and reports of entries to the leader, and the replies back."""

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

MAX_PENDING_REQUESTS = 20_000


class Forwarder:
    """Tracks which entry sent each request; entries resend requests without a reply."""

    def __init__(self, leader: Callable[[], Link | None]) -> None:
        self._leader = leader
        self._pending: OrderedDict[str, Link] = OrderedDict()

    def forward_request(self, link: Link, request: Any) -> None:
        """Forwards a request to the leader; drops it if there is none."""
        leader = self._leader()
        if leader is None or not leader.send(request):
            return
        self._pending[request.request_id] = link
        if len(self._pending) > MAX_PENDING_REQUESTS:
            self._pending.popitem(last=False)

    def forward_reply(self, _link: Link, reply: Any) -> None:
        """Forwards a reply to the entry that sent the request."""
        sender = self._pending.pop(reply.request_id, None)
        if sender is not None:
            sender.send(reply)

    def forward_report(self, _link: Link, report: Any) -> None:
        """Forwards a report to the leader; reports have no reply."""
        leader = self._leader()
        if leader is not None:
            leader.send(report)


def connect_forwarder(router: MessageRouter, leader: Callable[[], Link | None]) -> Forwarder:
    """Creates the forwarder and registers it for the messages that the relay only forwards."""
    forwarder = Forwarder(leader)
    for request_type in (ClaimRequest, SettleRequest, CallQuery):
        router.register_handler(request_type, forwarder.forward_request)
    for reply_type in (ClaimReply, SettleReply, CallState):
        router.register_handler(reply_type, forwarder.forward_reply)
    for report_type in (ManifestReport, ReleaseProblem):
        router.register_handler(report_type, forwarder.forward_report)
    return forwarder
