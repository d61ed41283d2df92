"""A request as its dispatch needs it, and the effects that the dispatch returns."""

from dataclasses import dataclass

from jackdawsail.routing.affinity import PrefixMark
from jackdawsail.wire.work_messages import (
    AnswerHead,
    CancelReserve,
    CancelWork,
    Granted,
    Outcome,
    Priority,
    Reserve,
    Work,
)


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """The request to run, as far as its dispatch needs to know it.

    Until its answer has begun, a ``repeatable`` call may run again. A ``resumable`` one may
    also continue later, on the same release, after the tokens that were forwarded.
    ``resume_from`` is the number of tokens that the caller already has. An empty
    ``release`` allows any.
    """

    request_id: str
    customer: str
    backend: str
    tokens_estimate: int
    priority: Priority
    deadline_seconds: float
    method: str
    path: str
    content_type: str
    body: bytes
    repeatable: bool
    resumable: bool
    claim_number: int = 0
    prefix_marks: tuple[PrefixMark, ...] = ()
    release: str = ''
    resume_from: int = 0
    idempotency_key: str = ''


@dataclass(frozen=True, slots=True)
class SendTo:
    """Effect: sends a message to a candidate."""

    candidate: str
    message: Reserve | CancelReserve | Work | CancelWork


@dataclass(frozen=True, slots=True)
class NeedCandidates:
    """Effect: chooses candidates other than ``avoid`` and offers them to the dispatch.

    An empty offer ends the request unless a reservation is still open. A retry is taken
    from the retry budget first.
    """

    avoid: frozenset[str]
    is_retry: bool


@dataclass(frozen=True, slots=True)
class BeginAnswer:
    """Effect: begins the answer to the caller with this head."""

    head: AnswerHead


@dataclass(frozen=True, slots=True)
class ForwardPart:
    """Effect: forwards the next part of the answer's body to the caller."""

    body: bytes
    tokens: int


@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Effect: ends the request; the outcome ``done`` means that the answer is complete."""

    outcome: Outcome
    reason: str = ''
    retry_after_seconds: float = 0
    tokens: int = 0


Effect = SendTo | NeedCandidates | BeginAnswer | ForwardPart | FinishRequest
Effects = list[Effect]


def make_reserve(spec: RequestSpec, attempt_id: str, now_seconds: float) -> Reserve:
    """Builds the reservation that asks one candidate for capacity."""
    return Reserve(
        attempt_id=attempt_id,
        request_id=spec.request_id,
        customer=spec.customer,
        backend=spec.backend,
        release=spec.release,
        tokens_estimate=spec.tokens_estimate,
        priority=spec.priority,
        wait_seconds=max(0, spec.deadline_seconds - now_seconds),
        prefix_digest=spec.prefix_marks[0].digest if spec.prefix_marks else '',
    )


def make_work(spec: RequestSpec, grant: Granted, forwarded_tokens: int) -> Work:
    """Builds the message that sends the request to the candidate that granted it."""
    return Work(
        attempt_id=grant.attempt_id,
        grant_number=grant.grant_number,
        incarnation=grant.incarnation,
        method=spec.method,
        path=spec.path,
        content_type=spec.content_type,
        body=spec.body,
        claim_number=spec.claim_number,
        resume_from=spec.resume_from + forwarded_tokens,
        idempotency_key=spec.idempotency_key,
    )
