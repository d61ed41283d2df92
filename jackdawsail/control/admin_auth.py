"""Operators of the administration API: tokens, roles and what each role may do."""

import hashlib
import hmac
from dataclasses import dataclass
from http import HTTPStatus

from returns.result import Failure, Result, Success
from twisted.web.server import Request

from jackdawsail.control.admin_http import Problem, make_problem
from jackdawsail.state.machine import ControlState

BOOTSTRAP_OPERATOR = 'bootstrap'
_ROLE_RANKS = {'read': 0, 'operate': 1, 'administer': 2}
_UNAUTHORIZED = make_problem(
    HTTPStatus.UNAUTHORIZED, 'unauthorized', 'a valid operator token is required'
)


@dataclass(frozen=True, slots=True)
class Caller:
    """An operator that has proved itself."""

    name: str
    role: str

    def may(self, role: str) -> bool:
        """Tells whether this operator's role includes another."""
        return _ROLE_RANKS[self.role] >= _ROLE_RANKS[role]


def authenticate(
    request: Request, state: ControlState, bootstrap_token: str
) -> Result[Caller, Problem]:
    """Finds the operator whose token the request bears."""
    header = request.getHeader('authorization') or ''
    scheme, _, token = header.partition(' ')
    if scheme.lower() != 'bearer' or not token:
        return Failure(_UNAUTHORIZED)
    digest = hashlib.sha256(token.encode()).hexdigest()
    if bootstrap_token and hmac.compare_digest(token.encode(), bootstrap_token.encode()):
        return Success(Caller(BOOTSTRAP_OPERATOR, 'administer'))
    for name, operator in state.tables.operators.items():
        if hmac.compare_digest(operator.token_digest, digest):
            return Success(Caller(name, operator.role))
    return Failure(_UNAUTHORIZED)


def require(caller: Caller, role: str) -> Result[Caller, Problem]:
    """Checks that an operator has a role."""
    if caller.may(role):
        return Success(caller)
    detail = f'operator {caller.name} has the role {caller.role}, this needs {role}'
    return Failure(make_problem(HTTPStatus.FORBIDDEN, 'forbidden', detail))
