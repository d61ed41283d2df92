"""What a call and an answer say of themselves, independent of any wire names."""

from dataclasses import dataclass

from jackdawsail.http1.messages import HttpRequest
from jackdawsail.routing.late_calls import call_fingerprint


@dataclass(frozen=True, slots=True)
class CallerCall:
    """One attempt of a caller.

    ``patience_seconds`` is how long the caller waits; 0 when it does not say.
    ``prompt_tokens`` and ``answer_tokens`` (the most it may generate) are 0 for
    calls that are not for a model; ``prompt`` names the parts of the prompt.
    ``last_event`` is the last event of a stream that the caller has received before.
    """

    attempt: str
    host: str
    key: str
    patience_seconds: float
    model: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    likely_answer_tokens: int = 0
    prompt: str = ''
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class DispatchDetails:
    """What an upstream is told beside the request itself.

    ``upstream`` is the incarnation that is meant, ``weight_version`` the only
    version that may run the call (0: any). ``engine_rank`` orders the engine's
    own queue, 0 first; None leaves it to the engine.
    """

    upstream: str
    left_seconds: float
    customer: str = ''
    last_event: str = ''
    weight_version: int = 0
    engine_rank: int | None = None


@dataclass(frozen=True, slots=True)
class UpstreamHead:
    """What the head of an upstream's answer says.

    ``not_run`` means that the upstream did not run the call and never will.
    ``weight_version`` is 0 when it is not told.
    """

    status: int
    attempt: str
    not_run: bool
    weight_version: int
    cold_seconds: float


def fingerprint_of(call: CallerCall, request: HttpRequest) -> bytes:
    """Returns what a call has in common with its next attempt, which has another id."""
    names = (call.key, call.host, call.model, call.prompt, call.last_event)
    encoded = [name.encode('utf8', 'replace') for name in names]
    return call_fingerprint(*encoded, request.method, request.target, request.body)
