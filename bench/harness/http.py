"""A small blocking HTTP client for experiments, scenarios and the fakes' controls."""

import json
from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Any

TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True)
class Reply:
    """An HTTP answer; status 0 means that none came, with the reason as body."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def content(self) -> Any:
        """The body as JSON; an empty mapping when there is none."""
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
    """Makes one HTTP call to ``host:port``; a lost connection is a reply of status 0."""
    host, _, port = address.rpartition(':')
    source = (source_address, 0) if source_address else None
    body = None if content is None else json.dumps(content).encode()
    sent = {'Content-Type': 'application/json', **(headers or {})}
    connection = HTTPConnection(host, int(port), timeout_seconds, source)
    try:
        return _exchange(connection, method, path, body, sent)
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
    """Gets JSON."""
    return call('GET', address, path, **options).content


def post(address: str, path: str, content: Any, **options: Any) -> Any:
    """Posts JSON and returns the JSON answer."""
    return call('POST', address, path, content, **options).content
