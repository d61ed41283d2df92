"""Fifth stage: claims a call with an idempotency key in the replicated ledger."""

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
RETRY_AFTER_SECONDS = 1.0

_PROBLEMS = {
    ClaimVerdict.running: Problem(
        CONFLICT,
        'call-is-running',
        Outcome.unknown,
        'a call with this key is still running',
        RETRY_AFTER_SECONDS,
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
        RETRY_AFTER_SECONDS,
    ),
}

ClaimOutcome = Result[Call | WholeAnswer, Problem]


class Claimer:
    """Claims calls and turns the ledger's verdict into a call, an answer or a problem."""

    def __init__(self, identity: Identity, ledger: LedgerClient) -> None:
        self._identity = identity
        self._ledger = ledger

    def claim(self, call: Call) -> 'Deferred[ClaimOutcome]':
        """Fires with the call to run, the stored answer of an earlier call, or a problem.

        A call without a key needs no claim.
        """
        if not call.key:
            return succeed(Success(call))
        request = ClaimRequest(
            request_id=call.request_id,
            customer=call.customer,
            key=call.key,
            body_digest=call_digest(call),
            entry=self._identity.name,
            entry_incarnation=self._identity.incarnation,
        )
        replied: Any = self._ledger.claim(request, call.deadline_seconds)
        return replied.addCallback(_claim_outcome, call)


def call_digest(call: Call) -> str:
    """Returns the digest that detects a different call under the same key."""
    head_lines = (call.backend, call.method, call.path, call.content_type)
    head = '\n'.join(head_lines).encode()
    return hashlib.sha256(head + b'\n\n' + call.body).hexdigest()


def _claim_outcome(reply: ClaimReply, call: Call) -> ClaimOutcome:
    if reply.verdict is ClaimVerdict.granted:
        call.claim_number = reply.claim_number
        return Success(call)
    if reply.verdict is ClaimVerdict.settled and reply.answer is not None:
        stored = reply.answer
        return Success(WholeAnswer(stored.status, stored.content_type, stored.body))
    return Failure(_PROBLEMS.get(reply.verdict, _PROBLEMS[ClaimVerdict.unknown]))
