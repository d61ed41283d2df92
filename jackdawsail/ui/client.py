"""A client of the administration API that finds the leader and resends safely.

A command keeps its request id over all attempts, so that a lost answer, a new
leader or a restart never makes it take effect twice.
"""

import json
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any

from jackdawsail.errors import UserError
from jackdawsail.ui.exit_codes import ExitCode

ATTEMPT_TIMEOUT_SECONDS = 5.0
GIVE_UP_SECONDS = 15.0
PAUSE_SECONDS = 0.3

_RETRIED = frozenset((HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE))
_EXIT_CODES = {
    HTTPStatus.UNAUTHORIZED: ExitCode.forbidden,
    HTTPStatus.FORBIDDEN: ExitCode.forbidden,
    HTTPStatus.NOT_FOUND: ExitCode.not_found,
    HTTPStatus.CONFLICT: ExitCode.conflict,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """One HTTP answer."""

    status: int
    document: dict[str, Any]


class AdminError(UserError):
    """A refused request, with the whole problem document."""

    def __init__(self, answer: Answer) -> None:
        problem = answer.document
        super().__init__(
            f'{problem.get("code", "error")}: {problem.get("detail", answer.status)}',
            int(_EXIT_CODES.get(HTTPStatus(answer.status), ExitCode.invalid)),
        )
        self.problem = problem


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Asks the control hosts in turn until the leader answers."""

    hosts: list[str]
    token: str
    sleep: Callable[[float], None] = time.sleep
    monotonic: Callable[[], float] = time.monotonic

    def get(self, path: str) -> dict[str, Any]:
        """Reads a document, for instance ``/v1/status``."""
        return self._ask('GET', path, None)

    def listing(self, path: str) -> dict[str, Any]:
        """Reads every page of a list."""
        page = self.get(path)
        rows = page['items']
        while page['next_after'] is not None:
            page = self.get(f'{path}?after={page["next_after"]}')
            rows.extend(page['items'])
        return {'revision': page['revision'], 'items': rows}

    def command(
        self,
        kind: str,
        fields: dict[str, Any],
        expected_revision: int | None = None,
        request_id: str = '',
    ) -> dict[str, Any]:
        """Sends a command until it has its answer."""
        body = {
            **fields,
            'kind': kind,
            'request_id': request_id or secrets.token_hex(16),
            'expected_revision': expected_revision,
        }
        return self._ask('POST', '/v1/commands', body)

    def preview(self, kind: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Asks what a command would change."""
        body = {**fields, 'kind': kind, 'request_id': 'preview', 'expected_revision': None}
        return self._ask('POST', '/v1/preview', body)

    def _ask(self, method: str, path: str, body: dict[str, Any] | None) -> dict[str, Any]:
        give_up_at_seconds = self.monotonic() + GIVE_UP_SECONDS
        while True:
            problems = []
            for host in self.hosts:
                outcome = self._attempt(host, method, path, body)
                if isinstance(outcome, Answer):
                    return _document(outcome)
                problems.append(f'{host}: {outcome}')
            if self.monotonic() >= give_up_at_seconds:
                raise _unreachable(problems)
            self.sleep(PAUSE_SECONDS)

    def _attempt(
        self, host: str, method: str, path: str, body: dict[str, Any] | None
    ) -> Answer | str:
        try:
            answer = self._exchange(host, method, path, body)
        except (OSError, HTTPException, ValueError) as error:
            return str(error) or type(error).__name__
        if answer.status in _RETRIED:
            return str(answer.document.get('detail', answer.status))
        return answer

    def _exchange(self, host: str, method: str, path: str, body: dict[str, Any] | None) -> Answer:
        connection = HTTPConnection(host, timeout=ATTEMPT_TIMEOUT_SECONDS)
        headers = {'Authorization': f'Bearer {self.token}', 'Content-Type': 'application/json'}
        raw = None if body is None else json.dumps(body)
        try:
            connection.request(method, path, raw, headers)
            response = connection.getresponse()
            return Answer(response.status, json.loads(response.read()))
        finally:
            connection.close()


def _document(answer: Answer) -> dict[str, Any]:
    if answer.status >= HTTPStatus.BAD_REQUEST:
        raise AdminError(answer)
    return answer.document


def _unreachable(problems: list[str]) -> UserError:
    tried = '\n'.join(f'  {problem}' for problem in problems)
    text = (
        f'no control host has answered as the leader within {GIVE_UP_SECONDS:.0f} s:\n{tried}\n'
        'Name the control hosts with --control host:port or JACKDAWSAIL_CONTROL. Without a '
        'majority of control hosts there is no leader, and nothing can be changed.'
    )
    return UserError(text, ExitCode.unreachable)
