"""First stage: parses an HTTP request into a call, or fails with status 400."""

import json
import re
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from jackdawsail.entry.call import DEFAULT_DEADLINE_SECONDS, Call, CallKind, Problem
from jackdawsail.routing.affinity import make_marks
from jackdawsail.wire.work_messages import Priority

MAX_DEADLINE_SECONDS = 600.0
MAX_TOKENS = 1_000_000
BYTES_PER_TOKEN = 4
SERVICE_CALL_TOKENS = 1
BAD_REQUEST = 400
_NAME = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')
_KEY = re.compile(r'[\x21-\x7e]{1,200}')
_PATH = re.compile(r'[A-Za-z0-9._~!$&\x27()*+,;=:@%/?-]{0,2000}')
_METHODS = frozenset(('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD'))


class GenerateBody(BaseModel):
    """The JSON body of a generate request; unknown fields are refused."""

    model_config = ConfigDict(extra='forbid', strict=True)

    prompt: Annotated[str, Field(max_length=1_000_000)]
    max_tokens: Annotated[int, Field(ge=1, le=MAX_TOKENS)] = 256
    stream: bool = False
    resume_from: Annotated[int, Field(ge=0, le=MAX_TOKENS)] = 0
    release: Annotated[str, Field(max_length=200)] = ''


@dataclass(frozen=True, slots=True)
class RawRequest:
    """The parts of an HTTP request that the stages use; header names are lower case."""

    request_id: str
    kind: CallKind
    backend: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def parse_request(raw: RawRequest, now_seconds: float) -> Result[Call, Problem]:
    """Parses headers and body; the problem's detail names the faulty header or field."""
    problem = _header_problem(raw)
    if problem:
        return _bad_request(problem)
    deadline_seconds = _deadline_seconds(raw.headers)
    if deadline_seconds is None:
        return _bad_request('jackdawsail-deadline-seconds must be between 0 and 600')
    call = Call(
        request_id=raw.request_id,
        kind=raw.kind,
        backend=raw.backend,
        method=raw.method,
        path=raw.path,
        content_type=raw.headers.get('content-type', ''),
        body=raw.body,
        token=_bearer_token(raw.headers.get('authorization', '')),
        key=raw.headers.get('idempotency-key', ''),
        priority=Priority(raw.headers.get('jackdawsail-priority', 'live')),
        deadline_seconds=now_seconds + deadline_seconds,
    )
    return _parse_body(call)


def _header_problem(raw: RawRequest) -> str:
    if not _NAME.fullmatch(raw.backend):
        return 'back end name is malformed'
    if raw.method not in _METHODS:
        return 'method is not supported'
    if not _PATH.fullmatch(raw.path):
        return 'path is malformed'
    if raw.headers.get('jackdawsail-priority', 'live') not in set(Priority):
        return 'jackdawsail-priority must be live or batch'
    key = raw.headers.get('idempotency-key')
    if key is not None and not _KEY.fullmatch(key):
        return 'idempotency-key must be 1 to 200 visible ASCII characters'
    return ''


def _deadline_seconds(headers: dict[str, str]) -> float | None:
    text = headers.get('jackdawsail-deadline-seconds')
    if text is None:
        return DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if 0 < seconds <= MAX_DEADLINE_SECONDS else None


def _bearer_token(header: str) -> str:
    scheme, _, token = header.partition(' ')
    return token.strip() if scheme.lower() == 'bearer' else ''


def _parse_body(call: Call) -> Result[Call, Problem]:
    if call.kind is CallKind.service:
        call.tokens_estimate = SERVICE_CALL_TOKENS
        return Success(call)
    try:
        generate_body = GenerateBody.model_validate_json(call.body)
    except ValidationError as error:
        first_error = error.errors()[0]
        field = '.'.join(str(part) for part in first_error['loc'])
        return _bad_request(f'body: {field} {first_error["msg"]}'.strip())
    return Success(_apply_generate_body(call, generate_body))


def _apply_generate_body(call: Call, generate_body: GenerateBody) -> Call:
    call.stream = generate_body.stream
    call.resume_from = generate_body.resume_from
    call.release = generate_body.release
    call.content_type = 'application/json'
    call.tokens_estimate = (
        1 + len(generate_body.prompt) // BYTES_PER_TOKEN + generate_body.max_tokens
    )
    call.prefix_marks = make_marks(generate_body.prompt)
    document = {'prompt': generate_body.prompt, 'max_tokens': generate_body.max_tokens}
    call.body = json.dumps(document).encode()
    return call


def _bad_request(detail: str) -> Result[Call, Problem]:
    return Failure(Problem(BAD_REQUEST, 'bad-request', detail=detail))
