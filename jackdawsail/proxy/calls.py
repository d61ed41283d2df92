"""Decoded metadata of calls and answers, independent of the names on the wire."""

from dataclasses import dataclass

from jackdawsail.http1.messages import LARGE_BODY_BYTES, HttpRequest
from jackdawsail.routing.late_calls import call_fingerprint
from jackdawsail.routing.named_limits import NamedLimit
from jackdawsail.routing.request_suspicion import request_trait
from jackdawsail.routing.rest import RequestedRest


@dataclass(frozen=True, slots=True)
class CallerCall:
    """Metadata of one request of a caller; ``attempt`` is the id that the caller gave it.

    ``patience_seconds`` is how long the caller waits, 0 if it gives no deadline.
    ``prompt_tokens`` and ``answer_tokens`` (the most that may be generated) are 0 for
    calls that are not for a model. ``likely_answer_tokens`` is the length that the caller
    expects, 0 if it gives none. ``prompt`` identifies the parts of the prompt: ``own_part``
    that no other call has, and before it the ``shared_parts``, which have ``shared_tokens``.
    ``last_event`` is the last event of the stream that the caller received earlier.
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
    shared_parts: tuple[str, ...] = ()
    own_part: str = ''
    shared_tokens: float = 0
    last_event: str = ''


@dataclass(frozen=True, slots=True)
class DispatchDetails:
    """What is sent to an upstream in addition to the request itself.

    ``upstream`` is the only incarnation that may run the call, ``weight_version`` the
    only version that may (0: any). ``remaining_seconds`` is the time until its deadline.
    ``engine_rank`` is the position in the engine's own queue, 0 first; None leaves it to
    the engine.
    """

    upstream: str
    remaining_seconds: float
    customer: str = ''
    last_event: str = ''
    weight_version: int = 0
    engine_rank: int | None = None


@dataclass(frozen=True, slots=True)
class UpstreamHead:
    """Metadata in the head of an upstream's answer.

    ``not_run`` means that the upstream did not run the call and never will.
    ``rest`` is the time for which the upstream wants no calls from this entry, None if it names
    none, and ``is_leaving`` is true if it accepts no new calls and ends soon.
    ``weight_version`` is 0 if the answer does not give it. ``limit`` is what it names of the
    calls that the upstream takes from all entries together, None if it names no limit.
    """

    status: int
    attempt: str
    not_run: bool
    weight_version: int
    cold_seconds: float
    limit: NamedLimit | None = None
    rest: RequestedRest | None = None
    is_leaving: bool = False


def fingerprint_of(call: CallerCall, request: HttpRequest) -> bytes:
    """Returns a digest that a call shares with its retries, which have other attempt ids."""
    fields = (call.key, call.host, call.model, call.prompt, call.last_event)
    encoded = [field.encode('utf8', 'replace') for field in fields]
    return call_fingerprint(*encoded, request.method, request.target, request.body)


@dataclass(slots=True)
class CallIdentity:
    """What a call shares with its repeats at any entry: host, path, caller and body.

    ``caller`` is the customer, or the key if no customer has it. Other headers are left out, as
    repeats may differ in them.
    """

    call: CallerCall
    caller: str
    request: HttpRequest
    _digest: str = ''

    @property
    def traits(self) -> tuple[str, ...]:
        """Returns what may be blamed for the end of an engine: parts of the prompt, the request."""
        return (*self.call.shared_parts, request_trait(self.digest))

    def drop_large_body(self) -> None:
        """Drops the body of an ended call, once its digest is known."""
        if len(self.request.body) > LARGE_BODY_BYTES and self.digest:
            self.request = self.request.without_large_body()

    @property
    def digest(self) -> str:
        """Returns a digest of the identity, which is computed when it is first needed."""
        if not self._digest:
            request = self.request
            fields = [field.encode('utf8', 'replace') for field in (self.caller, self.call.host)]
            digest = call_fingerprint(*fields, request.method, request.target, request.body)
            self._digest = digest.hex()
        return self._digest
