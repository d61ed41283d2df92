"""A client of the administration API that finds the leader and retries safely.

A command keeps its request id over all attempts, so that a lost response, a change
of leader or a restart never makes it take effect twice.
"""

import json
import secrets
import time
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass
from http import HTTPStatus
from http.client import BadStatusLine, HTTPConnection, HTTPException
from typing import Any

from jackdawsail.errors import UserError
from jackdawsail.http1.messages import FINAL_STATUSES
from jackdawsail.ui.exit_codes import ExitCode

ATTEMPT_TIMEOUT_SECONDS = 5.0
GIVE_UP_SECONDS = 15.0
RETRY_PAUSE_SECONDS = 0.3
MAX_ANSWER_BYTES = 67_108_864  # a longer answer is cut here and no longer valid JSON

_RETRIED_STATUSES = frozenset((HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE))
_EXIT_CODES: dict[int, ExitCode] = {
    HTTPStatus.UNAUTHORIZED: ExitCode.forbidden,
    HTTPStatus.FORBIDDEN: ExitCode.forbidden,
    HTTPStatus.NOT_FOUND: ExitCode.not_found,
    HTTPStatus.CONFLICT: ExitCode.conflict,
}


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """Status and JSON document of an HTTP response."""

    status: int
    document: dict[str, Any]


class AdminError(UserError):
    """A rejected request, with the problem document and the exit code for its status."""

    def __init__(self, response: AdminResponse) -> None:
        problem = response.document
        super().__init__(
            f'{problem.get("code", "error")}: {problem.get("detail", response.status)}',
            int(_EXIT_CODES.get(response.status, ExitCode.invalid)),
        )
        self.problem = problem


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Sends requests to the control hosts in turn until the leader responds."""

    hosts: list[str]
    token: str
    sleep: Callable[[float], None] = time.sleep
    monotonic: Callable[[], float] = time.monotonic

    def get(self, path: str) -> dict[str, Any]:
        """Reads a document, for example ``/v1/status``."""
        return self._request('GET', path, None)

    def listing(self, path: str) -> dict[str, Any]:
        """Reads all pages of a list; the revision is that of the last page."""
        page = self.get(path)
        rows = page['items']
        while page['next_after'] is not None:
            page = self.get(f'{path}?after={page["next_after"]}')
            rows.extend(page['items'])
        return {'revision': page['revision'], 'items': rows}

    def delete(self, path: str) -> dict[str, Any]:
        """Deletes a resource, for example ``/v1/blocks/3f``."""
        return self._request('DELETE', path, None)

    def command(
        self,
        kind: str,
        fields: dict[str, Any],
        expected_revision: int | None = None,
        request_id: str = '',
    ) -> dict[str, Any]:
        """Sends a command, with retries, and returns the response document.

        Raises AdminError if it is rejected, and UserError if no leader responds.
        """
        body = {
            **fields,
            'kind': kind,
            'request_id': request_id or secrets.token_hex(16),
            'expected_revision': expected_revision,
        }
        return self._request('POST', '/v1/commands', body)

    def preview(self, kind: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Returns what a command would change, without executing it."""
        body = {**fields, 'kind': kind, 'request_id': 'preview', 'expected_revision': None}
        return self._request('POST', '/v1/preview', body)

    def _request(self, method: str, path: str, body: dict[str, Any] | None) -> dict[str, Any]:
        give_up_at_seconds = self.monotonic() + GIVE_UP_SECONDS
        while True:
            problems = []
            for host in self.hosts:
                outcome = self._try_host(host, method, path, body)
                if isinstance(outcome, AdminResponse):
                    return _document(outcome)
                problems.append(f'{host}: {outcome}')
            if self.monotonic() >= give_up_at_seconds:
                raise _unreachable(problems)
            self.sleep(RETRY_PAUSE_SECONDS)

    def _try_host(
        self, host: str, method: str, path: str, body: dict[str, Any] | None
    ) -> AdminResponse | str:
        try:
            response = self._send(host, method, path, body)
        except (OSError, HTTPException, ValueError) as error:
            return str(error) or type(error).__name__
        if response.status in _RETRIED_STATUSES:
            return str(response.document.get('detail', response.status))
        return response

    def _send(
        self, host: str, method: str, path: str, body: dict[str, Any] | None
    ) -> AdminResponse:
        headers = {'Authorization': f'Bearer {self.token}', 'Content-Type': 'application/json'}
        raw = None if body is None else json.dumps(body)
        with closing(HTTPConnection(host, timeout=ATTEMPT_TIMEOUT_SECONDS)) as connection:
            connection.request(method, path, raw, headers)
            http_response = connection.getresponse()
            if http_response.status not in FINAL_STATUSES:
                raise BadStatusLine(f'status {http_response.status} is no final answer')
            document = json.loads(http_response.read(MAX_ANSWER_BYTES))
            return AdminResponse(http_response.status, document)


def _document(response: AdminResponse) -> dict[str, Any]:
    if response.status >= HTTPStatus.BAD_REQUEST:
        raise AdminError(response)
    return response.document


def _unreachable(problems: list[str]) -> UserError:
    attempts = '\n'.join(f'  {problem}' for problem in problems)
    message = (
        f'no control host has responded as the leader within {GIVE_UP_SECONDS:.0f} s:\n{attempts}\n'
        'Name the control hosts with --control host:port or JACKDAWSAIL_CONTROL. Without a '
        'majority of control hosts there is no leader, and nothing can be changed.'
    )
    return UserError(message, ExitCode.unreachable)
