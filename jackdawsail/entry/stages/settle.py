"""Last stage: the ledger is told how a claimed call ended; the customer's place is freed."""

from dataclasses import dataclass

from jackdawsail.entry.call import Call, WholeAnswer
from jackdawsail.entry.ledger_client import LedgerClient
from jackdawsail.entry.metrics import REQUESTS
from jackdawsail.entry.stages.admit import Admission
from jackdawsail.entry.stages.claim import digest_of
from jackdawsail.wire.claim_messages import ClaimRequest, StoredAnswer
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.work_messages import Outcome


@dataclass(frozen=True, slots=True)
class Settler:
    """Ends each call that was admitted."""

    identity: Identity
    admission: Admission
    ledger: LedgerClient

    def settle(self, call: Call, outcome: Outcome, answer: WholeAnswer | None) -> None:
        """Frees the place, and settles the claim if there is one."""
        self.admission.release(call)
        REQUESTS.labels(call.backend, call.customer, str(outcome)).inc()
        if not call.claim_number:
            return
        claim = ClaimRequest(
            request_id=call.request_id,
            customer=call.customer,
            key=call.key,
            body_digest=digest_of(call),
            entry=self.identity.name,
            entry_incarnation=self.identity.incarnation,
        )
        self.ledger.settle(claim, call.claim_number, outcome, _stored(answer))


def _stored(answer: WholeAnswer | None) -> StoredAnswer | None:
    if answer is None:
        return None
    return StoredAnswer(answer.status, answer.content_type, answer.body)
