"""Third stage: checks the back end and decides whether the call may be repeated."""

from returns.result import Failure, Result, Success

from jackdawsail.entry.call import Call, CallKind, Problem
from jackdawsail.state.replica import Record, StateReplica

NOT_FOUND = 404
BAD_REQUEST = 400


class Validator:
    """Checks calls against the replicated configuration."""

    def __init__(self, replica: StateReplica) -> None:
        self._replica = replica

    def __call__(self, call: Call) -> Result[Call, Problem]:
        """Sets ``repeatable``, or fails for an unknown back end or one of the other kind.

        A call with an idempotency key is claimed and never dispatched twice.
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
    """Returns whether the back end lists the call as idempotent.

    It lists methods like ``GET``, or methods with a path prefix like ``POST /quote``.
    """
    path = call.path.partition('?')[0]
    for listed in backend.get('idempotent_methods', []):
        method, _, prefix = str(listed).partition(' ')
        if method.upper() == call.method and path.startswith(prefix):
            return True
    return False
