"""Decodes and encodes the headers of callers' requests and of upstreams' answers.

Headers that the system sets itself are never copied from a caller's request.
"""

import math
import re
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime

from jackdawsail.http1.messages import Headers, HttpAnswerHead, HttpRequest, end_to_end_headers
from jackdawsail.platform.fields import MILLISECOND
from jackdawsail.proxy.calls import CallerCall, DispatchDetails, UpstreamHead
from jackdawsail.routing.named_limits import NamedLimit
from jackdawsail.routing.rest import MAX_REST_SECONDS, RequestedRest

MAX_VERSION_DIGITS = 18
REFUSALS = frozenset((429, 503))
NOT_LEAVING = frozenset((b'', b'0'))
MAX_PROMPT_PARTS = 64
_DECIMAL_NUMBER = re.compile(rb'\d{1,9}(\.\d{0,9})?|\.\d{1,9}')
_TOKEN_COUNT = re.compile(r'[0-9]{1,9}')
_SECONDS = re.compile(rb'\d{1,400}(\.\d{0,400})?|\.\d{1,400}')
_AUTHORIZATION_SCHEME = b'token '
_NOT_FORWARDED = frozenset(
    (
        b'authorization',
        b'request-deadline',
        b'expect-instance',
        b'expect-version',
        b'tenant',
        b'request-priority',
        b'last-event-id',
        b'expect',
        b'content-length',
        b'path',
    )
)


def decode_caller_call(request: HttpRequest) -> CallerCall:
    """Decodes the platform's headers of a caller's request; missing ones become 0 or empty."""
    prompt_tokens, answer_tokens = _token_usage(request.header(b'token-usage'))
    prompt = request.header(b'prompt-prefix').decode('latin-1')
    *shared_parts, own_part = _prompt_parts(prompt) or ['']
    return CallerCall(
        attempt=request.header(b'attempt-id').decode('latin-1'),
        host=request.header(b'host').decode('latin-1').partition(':')[0].lower(),
        key=_authorization_key(request.header(b'authorization')),
        patience_seconds=_non_negative_number(request.header(b'request-deadline')) * MILLISECOND,
        model=request.header(b'model').decode('latin-1'),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        likely_answer_tokens=int(_non_negative_number(request.header(b'length-hint'))),
        prompt=prompt,
        shared_parts=tuple(dict.fromkeys(shared_parts)),
        own_part=own_part,
        shared_tokens=_shared_tokens(prompt, prompt_tokens),
        last_event=request.header(b'last-event-id').decode('latin-1'),
    )


def upstream_headers(request: HttpRequest, details: DispatchDetails) -> Headers:
    """Makes the headers of a request that is sent to an upstream."""
    forwarded = tuple(
        pair
        for pair in end_to_end_headers(request.headers)
        if pair[0].lower() not in _NOT_FORWARDED
    )
    remaining_milliseconds = max(1, int(details.remaining_seconds / MILLISECOND))
    added = [
        (b'Request-Deadline', str(remaining_milliseconds).encode()),
        (b'Expect-Instance', details.upstream.encode()),
    ]
    if details.customer:
        added.append((b'Tenant', details.customer.encode()))
    if details.last_event:
        added.append((b'Last-Event-Id', details.last_event.encode('latin-1')))
    if details.weight_version:
        added.append((b'Expect-Version', str(details.weight_version).encode()))
    if details.engine_rank is not None:
        added.append((b'Request-Priority', str(details.engine_rank).encode()))
    if request.body or request.header(b'content-length'):
        added.append((b'Content-Length', str(len(request.body)).encode()))
    return (*forwarded, *added)


def decode_upstream_head(head: HttpAnswerHead) -> UpstreamHead:
    """Decodes the platform's headers and the status of an upstream's answer."""
    return UpstreamHead(
        status=head.status,
        attempt=head.header(b'attempt-id').decode('latin-1'),
        not_run=bool(head.header(b'not-executed')) or head.status == 421,
        weight_version=_version_number(head.header(b'weight-versions')),
        cold_seconds=_non_negative_number(head.header(b'cold-ms')) * MILLISECOND,
        limit=_named_limit(head.header(b'server-limit')),
        rest=_requested_rest(head) if head.status in REFUSALS else None,
        is_leaving=head.header(b'server-leaving').strip() not in NOT_LEAVING,
    )


def retry_after(seconds: float) -> Headers:
    """Makes the header that states to a refused caller after how many seconds to retry."""
    return ((b'Retry-After', f'{seconds:.3f}'.encode()),)


def _authorization_key(value: bytes) -> str:
    if value[: len(_AUTHORIZATION_SCHEME)].lower() != _AUTHORIZATION_SCHEME:
        return ''
    return value[len(_AUTHORIZATION_SCHEME) :].strip().decode('latin-1')


def _token_usage(value: bytes) -> tuple[int, int]:
    prompt, _, answer = value.partition(b',')
    return int(_non_negative_number(prompt)), int(_non_negative_number(answer))


def _prompt_parts(prompt: str) -> list[str]:
    """Returns the ids of the parts; of a list that is too long the first ones and the last."""
    entries = (entry.partition(':')[0].strip().lower() for entry in prompt.split(','))
    parts = [part for part in entries if part]
    return [*parts[: MAX_PROMPT_PARTS - 1], parts[-1]] if len(parts) > MAX_PROMPT_PARTS else parts


def _shared_tokens(prompt: str, prompt_tokens: int) -> float:
    """Returns the tokens of all parts before the last, at most those of the prompt.

    A part without a count, or with one that is no number, counts as none.
    """
    entries = [entry for entry in prompt.split(',') if entry.strip()][:-1]
    counts = (entry.partition(':')[2].strip() for entry in entries[:MAX_PROMPT_PARTS])
    tokens = sum(int(count) for count in counts if _TOKEN_COUNT.fullmatch(count))
    return min(tokens, prompt_tokens)


def _version_number(value: bytes) -> int:
    """Parses a version; returns 0 for other text and for more digits than any version has."""
    return int(value) if value.isdigit() and len(value) <= MAX_VERSION_DIGITS else 0


def _named_limit(value: bytes) -> NamedLimit | None:
    """Parses a limit in calls a second; one that is not a decimal number is unreadable."""
    if not value.strip():
        return None
    is_decimal = _DECIMAL_NUMBER.fullmatch(value.strip()) is not None
    return NamedLimit(float(value) if is_decimal else None)


def _requested_rest(head: HttpAnswerHead) -> RequestedRest | None:
    """Parses ``Retry-After``: seconds, also fractions, or a date, which counts from ``Date``."""
    value = head.header(b'retry-after').strip()
    if not value:
        return None
    if _SECONDS.fullmatch(value):
        return RequestedRest(min(MAX_REST_SECONDS, float(value)))
    until, sent = _http_date(value), _http_date(head.header(b'date'))
    if until is None or sent is None:
        return RequestedRest(None)
    rest_seconds = (until - sent).total_seconds()
    return RequestedRest(min(MAX_REST_SECONDS, max(0, rest_seconds)))


def _http_date(value: bytes) -> datetime | None:
    """Parses a date of HTTP; a date without a time zone is in UTC."""
    try:
        date = parsedate_to_datetime(value.decode('latin-1'))
    except (ValueError, OverflowError):
        return None
    return date.replace(tzinfo=date.tzinfo or UTC)


def _non_negative_number(value: bytes) -> float:
    """Parses a non-negative number; returns 0 for other text and for infinity or NaN."""
    try:
        number = float(value)
    except ValueError:
        return 0
    return max(0, number) if math.isfinite(number) else 0
