"""Answers queries for the state of earlier calls from the leader's ledger."""

from jackdawsail.consensus.interfaces import Replicator
from jackdawsail.message_router import MessageRouter
from jackdawsail.state.machine import ControlState
from jackdawsail.wire.claim_messages import CallQuery, CallState, ClaimVerdict
from jackdawsail.wire.link import Link

_VERDICTS = {
    'running': ClaimVerdict.running,
    'done': ClaimVerdict.settled,
    'unknown': ClaimVerdict.unknown,
}


def find_call_state(query: CallQuery, state: ControlState, leads: bool) -> CallState:
    """Returns the state of a call; unavailable on a host that does not lead."""
    if not leads:
        return CallState(query.request_id, found=False, verdict=ClaimVerdict.unavailable)
    call = state.tables.ledger.find(query.customer, query.key)
    if call is None:
        return CallState(query.request_id, found=False, verdict=ClaimVerdict.unknown)
    return CallState(query.request_id, True, _VERDICTS[call.status], call.answer)


def answer_call_queries(
    router: MessageRouter, state: ControlState, replicator: Replicator
) -> None:
    """Registers the handler of call queries on the links of entries."""

    def receive(link: Link, query: CallQuery) -> None:
        link.send(find_call_state(query, state, replicator.is_leader()))

    router.register_handler(CallQuery, receive)
