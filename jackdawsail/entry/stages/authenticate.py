"""Second stage: finds the customer of the bearer token."""

import hashlib

from returns.result import Failure, Result, Success

from jackdawsail.entry.call import Call, Problem
from jackdawsail.state.replica import StateReplica

UNAUTHORIZED = 401
CUSTOMER_PREFIX = 'customer/'


class Authenticator:
    """Finds customers by token digest; the index is rebuilt when a customer record changes."""

    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica
        self._customers_by_digest: dict[str, str] = {}
        replica.watch(self._on_records_changed)
        self._rebuild_index()

    def customer_of(self, token: str) -> str:
        """Returns the customer of a token, or an empty string if the token is unknown."""
        digest = hashlib.sha256(token.encode('utf8', 'replace')).hexdigest()
        return self._customers_by_digest.get(digest, '')

    def __call__(self, call: Call) -> Result[Call, Problem]:
        """Sets the call's customer, or fails with status 401."""
        call.customer = self.customer_of(call.token) if call.token else ''
        if not call.customer:
            return Failure(Problem(UNAUTHORIZED, 'unknown-token', detail='token is not known'))
        return Success(call)

    def _on_records_changed(self, keys: set[str]) -> None:
        if any(key.startswith(CUSTOMER_PREFIX) for key in keys):
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        customers = self._replica.of_kind('customer')
        customers_by_digest = {
            str(record.get('token_digest', '')): name for name, record in customers.items()
        }
        customers_by_digest.pop('', None)
        self._customers_by_digest = customers_by_digest
