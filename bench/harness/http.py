"""A small blocking HTTP client for experiments, scenarios and the fakes' admin APIs."""

import json
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Any

TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class Reply:
    """An HTTP response; with status 0 there was none, and the body is the error text."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def content(self) -> Any:
        """The decoded JSON body, or an empty mapping if there is none."""
        return json.loads(self.body) if self.body else {}


def call(
    method: str,
    address: str,
    path: str,
    content: Any = None,
    headers: dict[str, str] | None = None,
    timeout_seconds: float = TIMEOUT_SECONDS,
    source_address: str = '',
) -> Reply:
    """Sends one HTTP request to ``host:port``; returns status 0 if the connection fails."""
    host, _, port = address.rpartition(':')
    source = (source_address, 0) if source_address else None
    body = None if content is None else json.dumps(content).encode()
    all_headers = {'Content-Type': 'application/json', **(headers or {})}
    connection = HTTPConnection(host, int(port), timeout_seconds, source)
    try:
        return _exchange(connection, method, path, body, all_headers)
    except (OSError, HTTPException) as error:
        return Reply(0, str(error).encode())
    finally:
        connection.close()


def _exchange(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
) -> Reply:
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    names = {name.lower(): text for name, text in response.getheaders()}
    return Reply(response.status, response.read(), names)


def get(address: str, path: str, **options: Any) -> Any:
    """Sends a GET request and returns the decoded JSON body."""
    return call('GET', address, path, **options).content


def post(address: str, path: str, content: Any, **options: Any) -> Any:
    """Posts JSON and returns the decoded JSON body."""
    return call('POST', address, path, content, **options).content
