"""Handlers of the callers' routes outside the pipeline: entry list, health, call state, cancel."""

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
RETRY_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class HandlerDependencies:
    """The components that the handlers use."""

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
    """Handles the routes that do not run a request, one method each."""

    def __init__(
        self, deps: HandlerDependencies, customer_of_request: Callable[[str], str]
    ) -> None:
        self._deps = deps
        self._customer_of_request = customer_of_request

    def entries(self, _request: Any, answer: HttpAnswer, _argument: str) -> None:
        """Sends the list of entries to use and how many seconds the list is valid."""
        deps = self._deps
        listed = order_entries(self._directory(), deps.identity, deps.replica, deps.rng)
        entries = [
            {'name': entry.name, 'zone': entry.zone, 'address': entry.caller_address}
            for entry in listed
        ]
        answer.send_json({'entries': entries, 'valid_seconds': deps.address_valid_seconds})

    def health(self, _request: Any, answer: HttpAnswer, _argument: str) -> None:
        """Sends the state of this entry: lease, state revision and number of running requests."""
        deps = self._deps
        document = {
            'name': deps.identity.name,
            'zone': deps.identity.zone,
            'in_service': deps.control.lease.is_live(deps.reactor.seconds()),
            'leaving': deps.control.leaving,
            'revision': deps.replica.revision,
            'running': deps.dispatcher.running,
        }
        answer.send_json(document)

    def show_call(self, request: Any, answer: HttpAnswer, key: str) -> None:
        """Sends the stored answer of an earlier call by its idempotency key, or a problem."""
        customer = self._deps.authenticate.customer_of(_bearer_token(request))
        if not customer:
            answer.send_problem(Problem(UNAUTHORIZED, 'unknown-token'))
            return
        replied: Any = self._deps.ledger.query(CallQuery(answer.request_id, customer, key))
        replied.addCallback(_send_call_state, answer)

    def cancel_call(self, request: Any, answer: HttpAnswer, request_id: str) -> None:
        """Cancels a running request; requests of other customers are answered with 404."""
        customer = self._deps.authenticate.customer_of(_bearer_token(request))
        if not customer or self._customer_of_request(request_id) != customer:
            answer.send_problem(Problem(NOT_FOUND, 'no-such-call'))
            return
        self._deps.dispatcher.cancel(request_id, 'cancelled')
        answer.send_json({'request_id': request_id, 'cancelled': True})

    def _directory(self) -> list[DirectoryEntry]:
        deps = self._deps
        control = deps.control
        own = deps.identity
        if control.directory:
            return control.directory
        caller_address, link_address = control.addresses
        own_entry = DirectoryEntry(
            own.name, own.zone, own.region, caller_address, link_address, control.leaving
        )
        return [own_entry]


def _send_call_state(state: CallState, answer: HttpAnswer) -> None:
    stored = state.answer
    if stored is None:
        answer.send_problem(_state_problem(state))
    else:
        answer.send_whole(WholeAnswer(stored.status, stored.content_type, stored.body))


def _state_problem(state: CallState) -> Problem:
    if state.verdict is ClaimVerdict.unavailable:
        return Problem(
            UNAVAILABLE,
            'ledger-unavailable',
            Outcome.unknown,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    if not state.found:
        return Problem(NOT_FOUND, 'no-such-call', detail='no call of this key is kept')
    if state.verdict is ClaimVerdict.running:
        return Problem(CONFLICT, 'call-is-running', Outcome.unknown)
    return Problem(CONFLICT, 'call-outcome-unknown', Outcome.unknown)


def _bearer_token(request: Any) -> str:
    header = request.getHeader('authorization') or ''
    scheme, _, token = header.partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''
