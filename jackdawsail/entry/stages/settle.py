"""Last stage: settles a claimed call in the ledger and releases the customer's slot."""

from dataclasses import dataclass

from jackdawsail.entry.call import Call, WholeAnswer
from jackdawsail.entry.ledger_client import LedgerClient
from jackdawsail.entry.metrics import REQUESTS
from jackdawsail.entry.stages.admit import Admission
from jackdawsail.entry.stages.claim import call_digest
from jackdawsail.wire.claim_messages import ClaimRequest, StoredAnswer
from jackdawsail.wire.identity import Identity
from jackdawsail.wire.work_messages import Outcome


@dataclass(frozen=True, slots=True)
class Settler:
    """Ends every call that has passed the claim stage."""

    identity: Identity
    admission: Admission
    ledger: LedgerClient

    def settle(self, call: Call, outcome: Outcome, answer: WholeAnswer | None) -> None:
        """Releases the slot, counts the outcome and settles the claim if there is one."""
        self.admission.release(call)
        REQUESTS.labels(call.backend, call.customer, str(outcome)).inc()
        if not call.claim_number:
            return
        claim = ClaimRequest(
            request_id=call.request_id,
            customer=call.customer,
            key=call.key,
            body_digest=call_digest(call),
            entry=self.identity.name,
            entry_incarnation=self.identity.incarnation,
        )
        self.ledger.settle(claim, call.claim_number, outcome, _make_stored_answer(answer))


def _make_stored_answer(answer: WholeAnswer | None) -> StoredAnswer | None:
    if answer is None:
        return None
    return StoredAnswer(answer.status, answer.content_type, answer.body)
