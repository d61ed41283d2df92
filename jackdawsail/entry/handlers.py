"""The callers' routes beside the pipeline: addresses, health, state of a call, cancel."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from jackdawsail.entry.addresses import order_entries
from jackdawsail.entry.call import Problem, WholeAnswer
from jackdawsail.entry.control_links import ControlLinks
from jackdawsail.entry.http_answers import HttpAnswer
from jackdawsail.entry.ledger_client import LedgerClient
from jackdawsail.entry.stages.authenticate import Authenticator
from jackdawsail.entry.stages.dispatch import Dispatcher
from jackdawsail.state.replica import StateReplica
from jackdawsail.wire.claim_messages import CallQuery, CallState, ClaimVerdict
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.membership_messages import DirectoryEntry
from jackdawsail.wire.work_messages import Outcome

UNAUTHORIZED = 401
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
RETRY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class HandlerTools:
    """What the routes read."""

    reactor: Any
    identity: Identity
    replica: StateReplica
    control: ControlLinks
    authenticate: Authenticator
    ledger: LedgerClient
    dispatcher: Dispatcher
    address_valid_seconds: float
    rng: random.Random


class CallerHandlers:
    """One method a route."""

    def __init__(self, tools: HandlerTools, owner_of: Callable[[str], str]) -> None:
        self._tools = tools
        self._owner_of = owner_of

    def entries(self, _request: Any, answer: HttpAnswer, _argument: str) -> None:
        """Answers which entries to use, and how long the answer may be kept."""
        tools = self._tools
        listed = order_entries(self._directory(), tools.identity, tools.replica, tools.rng)
        entries = [
            {'name': entry.name, 'zone': entry.zone, 'address': entry.caller_address}
            for entry in listed
        ]
        answer.send_json({'entries': entries, 'valid_seconds': tools.address_valid_seconds})

    def health(self, _request: Any, answer: HttpAnswer, _argument: str) -> None:
        """Answers how the entry stands."""
        tools = self._tools
        document = {
            'name': tools.identity.name,
            'zone': tools.identity.zone,
            'in_service': tools.control.lease.is_live(tools.reactor.seconds()),
            'leaving': tools.control.leaving,
            'revision': tools.replica.revision,
            'running': tools.dispatcher.running,
        }
        answer.send_json(document)

    def show_call(self, request: Any, answer: HttpAnswer, key: str) -> None:
        """Answers how an earlier call with an idempotency key stands."""
        customer = self._tools.authenticate.customer_of(_token(request))
        if not customer:
            answer.send_problem(Problem(UNAUTHORIZED, 'unknown-token'))
            return
        replied: Any = self._tools.ledger.query(CallQuery(answer.request_id, customer, key))
        replied.addCallback(_show, answer)

    def cancel_call(self, request: Any, answer: HttpAnswer, request_id: str) -> None:
        """Cancels a running request of the caller's customer."""
        customer = self._tools.authenticate.customer_of(_token(request))
        if not customer or self._owner_of(request_id) != customer:
            answer.send_problem(Problem(NOT_FOUND, 'no-such-call'))
            return
        self._tools.dispatcher.leave(request_id, 'cancelled')
        answer.send_json({'request_id': request_id, 'cancelled': True})

    def _directory(self) -> list[DirectoryEntry]:
        tools = self._tools
        control = tools.control
        own = tools.identity
        if control.directory:
            return control.directory
        caller_address, link_address = control.addresses
        itself = DirectoryEntry(
            own.name, own.zone, own.region, caller_address, link_address, control.leaving
        )
        return [itself]


def _show(state: CallState, answer: HttpAnswer) -> None:
    stored = state.answer
    if stored is None:
        answer.send_problem(_state_problem(state))
    else:
        answer.send_whole(WholeAnswer(stored.status, stored.content_type, stored.body))


def _state_problem(state: CallState) -> Problem:
    if state.verdict is ClaimVerdict.unavailable:
        return Problem(
            UNAVAILABLE, 'ledger-unavailable', Outcome.unknown, retry_after_seconds=RETRY_SECONDS
        )
    if not state.found:
        return Problem(NOT_FOUND, 'no-such-call', detail='no call of this key is kept')
    if state.verdict is ClaimVerdict.running:
        return Problem(CONFLICT, 'call-is-running', Outcome.unknown)
    return Problem(CONFLICT, 'call-outcome-unknown', Outcome.unknown)


def _token(request: Any) -> str:
    header = request.getHeader('authorization') or ''
    scheme, _, token = header.partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''
