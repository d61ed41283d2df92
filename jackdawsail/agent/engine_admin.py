"""Client of the engine's administration interface: reads its state, orders it to load."""

import json
from dataclasses import dataclass
from io import BytesIO
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

from jackdawsail.clocks import Clock

STATE_TIMEOUT_SECONDS = 2.0
LOAD_TIMEOUT_SECONDS = 600.0
STATUS_OK = 200
STATUS_CONFLICT = 409


class EngineState(BaseModel):
    """The answer of ``GET /admin/state``; ``generation`` changes at each engine restart."""

    model_config = ConfigDict(extra='ignore', frozen=True)

    generation: int | str
    release: str = ''
    loaded: bool = False
    cold: bool = False


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """One load order; an engine that checks fences refuses a ``fence`` older than it has seen."""

    release: str
    path: str
    digest: str
    fence: int


class EngineAdminClient:
    """Sends requests to ``/admin``; every result is a ``Result``, never an errback."""

    def __init__(self, http_agent: Agent, clock: Clock, base_url: str) -> None:
        self._http_agent = http_agent
        self._clock = clock
        self._base_url = base_url.rstrip('/')

    def read_state(self) -> Any:
        """Fires with the engine's state, or a failure with its reason."""
        requested = self._request(b'GET', '/admin/state', None, STATE_TIMEOUT_SECONDS)
        return requested.addCallback(_parse_state)

    def load(self, order: LoadOrder) -> Any:
        """Orders a load; fires with its release once the engine confirms it, or a failure."""
        body = {
            'release': order.release,
            'path': order.path,
            'digest': order.digest,
            'fence': order.fence,
        }
        requested = self._request(b'POST', '/admin/load', body, LOAD_TIMEOUT_SECONDS)
        return requested.addCallback(_parse_load_answer, order.release)

    def _request(self, method: bytes, path: str, body: Any, timeout_seconds: float) -> Any:
        url = f'{self._base_url}{path}'.encode()
        headers = Headers({'Content-Type': ['application/json']})
        producer: Any = None
        if body is not None:
            producer = FileBodyProducer(BytesIO(json.dumps(body).encode()))
        requested: Any = self._http_agent.request(method, url, headers, producer)
        requested.addCallback(_read_answer)
        requested.addTimeout(timeout_seconds, self._clock)
        return requested.addErrback(_as_failure)


def _read_answer(response: Any) -> Any:
    body: Any = readBody(response)
    return body.addCallback(lambda content: Success((response.code, content)))


def _as_failure(failure: Any) -> Any:
    return Failure(failure.getErrorMessage() or failure.type.__name__)


def _parse_state(answer: Any) -> Result[EngineState, str]:
    if not isinstance(answer, Success):
        return Failure(f'engine is not reachable: {answer.failure()}')
    status, body = answer.unwrap()
    if status != STATUS_OK:
        return Failure(f'engine answers {status}')
    try:
        return Success(EngineState.model_validate_json(body))
    except ValidationError:
        return Failure('engine state is not understood')


def _parse_load_answer(answer: Any, release: str) -> Result[str, str]:
    if not isinstance(answer, Success):
        return Failure(f'engine load failed: {answer.failure()}')
    status, body = answer.unwrap()
    if status == STATUS_CONFLICT:
        return Failure('engine has seen a newer fence number')
    if status != STATUS_OK:
        return Failure(f'engine answers {status} to the load: {body[:200]!r}')
    return Success(release)
