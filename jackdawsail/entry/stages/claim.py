"""Fifth stage: a call with a key is claimed in the replicated ledger before it is sent."""

import hashlib
from typing import Any

from returns.result import Failure, Result, Success
from twisted.internet.defer import Deferred, succeed

from jackdawsail.entry.call import Call, Problem, WholeAnswer
from jackdawsail.entry.ledger_client import LedgerClient
from jackdawsail.wire.claim_messages import ClaimReply, ClaimRequest, ClaimVerdict
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.work_messages import Outcome

CONFLICT = 409
UNPROCESSABLE = 422
UNAVAILABLE = 503
RUNNING_RETRY_SECONDS = 1.0

_PROBLEMS = {
    ClaimVerdict.running: Problem(
        CONFLICT,
        'call-is-running',
        Outcome.unknown,
        'a call with this key is still running',
        RUNNING_RETRY_SECONDS,
    ),
    ClaimVerdict.unknown: Problem(
        CONFLICT,
        'call-outcome-unknown',
        Outcome.unknown,
        'a call with this key may or may not have run; it will not be run again',
    ),
    ClaimVerdict.mismatch: Problem(
        UNPROCESSABLE,
        'key-used-for-another-call',
        Outcome.not_run,
        'this key was used with another body',
    ),
    ClaimVerdict.unavailable: Problem(
        UNAVAILABLE,
        'ledger-unavailable',
        Outcome.not_run,
        'the ledger has no quorum; nothing was run',
        RUNNING_RETRY_SECONDS,
    ),
}

ClaimOutcome = Result[Call | WholeAnswer, Problem]


class Claimer:
    """Asks the ledger, and turns its verdict into what happens next."""

    def __init__(self, identity: Identity, ledger: LedgerClient) -> None:
        self._identity = identity
        self._ledger = ledger

    def claim(self, call: Call) -> 'Deferred[ClaimOutcome]':
        """Fires with the call to go on with, a stored answer, or a problem."""
        if not call.key:
            return succeed(Success(call))
        asked = ClaimRequest(
            request_id=call.request_id,
            customer=call.customer,
            key=call.key,
            body_digest=digest_of(call),
            entry=self._identity.name,
            entry_incarnation=self._identity.incarnation,
        )
        replied: Any = self._ledger.claim(asked, call.deadline_seconds)
        return replied.addCallback(_decide, call)


def digest_of(call: Call) -> str:
    """Returns the digest that tells one call from another under the same key."""
    parts = (call.backend, call.method, call.path, call.content_type)
    head = '\n'.join(parts).encode()
    return hashlib.sha256(head + b'\n\n' + call.body).hexdigest()


def _decide(reply: ClaimReply, call: Call) -> ClaimOutcome:
    if reply.verdict is ClaimVerdict.granted:
        call.claim_number = reply.claim_number
        return Success(call)
    if reply.verdict is ClaimVerdict.settled and reply.answer is not None:
        stored = reply.answer
        return Success(WholeAnswer(stored.status, stored.content_type, stored.body))
    return Failure(_PROBLEMS.get(reply.verdict, _PROBLEMS[ClaimVerdict.unknown]))
