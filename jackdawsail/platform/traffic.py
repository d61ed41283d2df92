"""Headers of callers' requests and of upstreams' answers.

The names on the wire are decoded here once; what the system sets itself is
never taken from a caller.
"""

import math

from jackdawsail.http1.messages import Headers, HttpAnswerHead, HttpRequest, end_to_end_headers
from jackdawsail.platform.fields import MILLISECOND
from jackdawsail.proxy.calls import CallerCall, DispatchDetails, UpstreamHead

_SCHEME = b'token '
_REPLACED = frozenset(
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
    """Decodes what a caller's request says of itself."""
    prompt_tokens, answer_tokens = _usage(request.header(b'token-usage'))
    return CallerCall(
        attempt=request.header(b'attempt-id').decode('latin-1'),
        host=request.header(b'host').decode('latin-1').partition(':')[0].lower(),
        key=_key(request.header(b'authorization')),
        patience_seconds=_number(request.header(b'request-deadline')) * MILLISECOND,
        model=request.header(b'model').decode('latin-1'),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        likely_answer_tokens=int(_number(request.header(b'length-hint'))),
        prompt=request.header(b'prompt-prefix').decode('latin-1'),
        last_event=request.header(b'last-event-id').decode('latin-1'),
    )


def upstream_headers(request: HttpRequest, handover: DispatchDetails) -> Headers:
    """Makes the headers under which a request is handed to an upstream."""
    kept = tuple(
        pair for pair in end_to_end_headers(request.headers) if pair[0].lower() not in _REPLACED
    )
    left_milliseconds = max(1, int(handover.left_seconds / MILLISECOND))
    added = [
        (b'Request-Deadline', str(left_milliseconds).encode()),
        (b'Expect-Instance', handover.upstream.encode()),
    ]
    if handover.customer:
        added.append((b'Tenant', handover.customer.encode()))
    if handover.last_event:
        added.append((b'Last-Event-Id', handover.last_event.encode('latin-1')))
    if handover.weight_version:
        added.append((b'Expect-Version', str(handover.weight_version).encode()))
    if handover.engine_rank is not None:
        added.append((b'Request-Priority', str(handover.engine_rank).encode()))
    if request.body or request.header(b'content-length'):
        added.append((b'Content-Length', str(len(request.body)).encode()))
    return (*kept, *added)


def decode_upstream_head(head: HttpAnswerHead) -> UpstreamHead:
    """Decodes what an upstream's answer says of itself."""
    versions = head.header(b'weight-versions').decode('latin-1')
    return UpstreamHead(
        status=head.status,
        attempt=head.header(b'attempt-id').decode('latin-1'),
        not_run=bool(head.header(b'not-executed')) or head.status == 421,
        weight_version=int(versions) if versions.isdigit() else 0,
        cold_seconds=_number(head.header(b'cold-ms')) * MILLISECOND,
    )


def retry_after(seconds: float) -> Headers:
    """Makes the header that tells a refused caller when to come back."""
    return ((b'Retry-After', f'{seconds:.3f}'.encode()),)


def _key(value: bytes) -> str:
    if value[: len(_SCHEME)].lower() != _SCHEME:
        return ''
    return value[len(_SCHEME) :].strip().decode('latin-1')


def _usage(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b',')
    return int(_number(first)), int(_number(second))


def _number(value: bytes) -> float:
    """Reads a number; what is none, or not finite, counts as not given."""
    try:
        read = float(value)
    except ValueError:
        return 0
    return max(0, read) if math.isfinite(read) else 0
