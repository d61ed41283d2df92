"""Authentication and authorization of operators of the administration API."""

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
class AuthenticatedOperator:
    """An operator whose token has been verified."""

    name: str
    role: str

    def has_role(self, role: str) -> bool:
        """Returns whether this operator's role includes the given one."""
        return _ROLE_RANKS[self.role] >= _ROLE_RANKS[role]


def authenticate(
    request: Request, state: ControlState, bootstrap_token: str
) -> Result[AuthenticatedOperator, Problem]:
    """Returns the operator whose bearer token the request carries."""
    header = request.getHeader('authorization') or ''
    scheme, _, token = header.partition(' ')
    if scheme.lower() != 'bearer' or not token:
        return Failure(_UNAUTHORIZED)
    digest = hashlib.sha256(token.encode()).hexdigest()
    if bootstrap_token and hmac.compare_digest(token.encode(), bootstrap_token.encode()):
        return Success(AuthenticatedOperator(BOOTSTRAP_OPERATOR, 'administer'))
    for name, operator in state.tables.operators.items():
        if hmac.compare_digest(operator.token_digest, digest):
            return Success(AuthenticatedOperator(name, operator.role))
    return Failure(_UNAUTHORIZED)


def require_role(
    operator: AuthenticatedOperator, role: str
) -> Result[AuthenticatedOperator, Problem]:
    """Returns the operator, or a ``forbidden`` problem if its role does not suffice."""
    if operator.has_role(role):
        return Success(operator)
    detail = f'operator {operator.name} has the role {operator.role}, this needs {role}'
    return Failure(make_problem(HTTPStatus.FORBIDDEN, 'forbidden', detail))
