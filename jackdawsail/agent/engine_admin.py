"""Client of the engine's administration interface: reads its state, orders it to load."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from jackdawsail.http1.base_url import BaseUrl, parse_base_url
from jackdawsail.http1.channel_pool import ChannelPool, MakeChannelPool
from jackdawsail.http1.fetch import FetchedAnswer, FetchLimits, fetch
from jackdawsail.http1.messages import CLOSE, JSON_BODY

MAX_ANSWER_BYTES = 65_536
STATE_LIMITS = FetchLimits(silent_seconds=2.0, total_seconds=2.0, body_bytes=MAX_ANSWER_BYTES)
# An engine answers once it has loaded the release.
LOAD_LIMITS = FetchLimits(silent_seconds=600.0, total_seconds=600.0, body_bytes=MAX_ANSWER_BYTES)
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

    def __init__(self, pool: ChannelPool, base_url: BaseUrl) -> None:
        self._pool = pool
        self._base_url = base_url

    def read_state(self) -> Any:
        """Fires with the engine's state, or a failure with its reason."""
        requested = self._request('GET', '/admin/state', b'', STATE_LIMITS)
        return requested.addCallback(_parse_state)

    def load(self, order: LoadOrder) -> Any:
        """Orders a load; fires with its release once the engine confirms it, or a failure."""
        body = {
            'release': order.release,
            'path': order.path,
            'digest': order.digest,
            'fence': order.fence,
        }
        encoded = json.dumps(body).encode()
        requested = self._request('POST', '/admin/load', encoded, LOAD_LIMITS)
        return requested.addCallback(_parse_load_answer, order.release)

    def _request(self, method: str, path: str, body: bytes, limits: FetchLimits) -> Any:
        headers = (CLOSE, JSON_BODY)
        request = self._base_url.make_request(method, path, headers, body)
        return fetch(self._pool, self._base_url.address, request, limits)


def make_engine_admin(make_pool: MakeChannelPool, upstream_url: str) -> EngineAdminClient:
    """Makes the client of the engine at a URL; raises UserError if that is not usable."""
    base_url = parse_base_url(upstream_url)
    return EngineAdminClient(make_pool(uses_tls=base_url.uses_tls), base_url)


def _parse_state(outcome: Result[FetchedAnswer, str]) -> Result[EngineState, str]:
    if isinstance(outcome, Failure):
        return Failure(f'engine is not reachable: {outcome.failure()}')
    answer = outcome.unwrap()
    if answer.status != STATUS_OK:
        return Failure(f'engine answers {answer.status}')
    try:
        return Success(EngineState.model_validate_json(answer.body))
    except ValidationError:
        return Failure('engine state is not understood')


def _parse_load_answer(outcome: Result[FetchedAnswer, str], release: str) -> Result[str, str]:
    if isinstance(outcome, Failure):
        return Failure(f'engine load failed: {outcome.failure()}')
    answer = outcome.unwrap()
    if answer.status == STATUS_CONFLICT:
        return Failure('engine has seen a newer fence number')
    if answer.status != STATUS_OK:
        return Failure(f'engine answers {answer.status} to the load: {answer.body[:200]!r}')
    return Success(release)
