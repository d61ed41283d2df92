"""Third stage: is there such a back end, and may its calls be repeated?"""

from returns.result import Failure, Result, Success

from jackdawsail.entry.call import Call, CallKind, Problem
from jackdawsail.state.replica import Record, StateReplica

NOT_FOUND = 404
BAD_REQUEST = 400


class Validator:
    """Checks a call against the configuration in force."""

    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica

    def __call__(self, call: Call) -> Result[Call, Problem]:
        """Sets whether the call may be repeated.

        A call with an idempotency key is claimed, and never handed over twice.
        """
        backend = self._replica.get('backend', call.backend)
        if backend is None:
            return Failure(Problem(NOT_FOUND, 'no-such-backend', detail='back end is not known'))
        is_engine = backend.get('kind') == 'engine'
        if is_engine is not (call.kind is CallKind.generate):
            detail = 'back end is of the other kind: use generate for engines, call for services'
            return Failure(Problem(BAD_REQUEST, 'wrong-kind', detail=detail))
        call.repeatable = not call.key and (is_engine or _is_idempotent(call, backend))
        return Success(call)


def _is_idempotent(call: Call, backend: Record) -> bool:
    """Methods are listed as ``GET``, or with the start of a path as ``POST /quote``."""
    path = call.path.partition('?')[0]
    for listed in backend.get('idempotent_methods', []):
        method, _, prefix = str(listed).partition(' ')
        if method.upper() == call.method and path.startswith(prefix):
            return True
    return False
