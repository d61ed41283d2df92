"""Messages that carry a request from an entry to an agent (or to a peer entry).

The entry first reserves capacity, and sends the request only to the one candidate
that granted it. ``attempt_id`` identifies one reservation at one candidate and is
never reused.
"""

from enum import StrEnum

from jackdawsail.wire.codec import message


class Outcome(StrEnum):
    """The outcome of a request as reported to the caller."""

    done = 'done'
    not_run = 'not-run'
    unknown = 'unknown'


class Priority(StrEnum):
    """The priority of a request; live requests go before batch requests."""

    live = 'live'
    batch = 'batch'


@message('reserve')
class Reserve:
    """Entry to candidate: requests capacity for one request."""

    attempt_id: str
    request_id: str
    customer: str
    backend: str
    release: str
    tokens_estimate: int
    priority: Priority
    wait_seconds: float
    prefix_digest: str


@message('granted')
class Granted:
    """Candidate to entry: the candidate holds the capacity for ``hold_seconds``."""

    attempt_id: str
    grant_number: int
    incarnation: int
    release: str
    hold_seconds: float


@message('refused')
class Refused:
    """Candidate to entry: it has not run the request and never will."""

    attempt_id: str
    reason: str
    retry_after_seconds: float


@message('cancel-reserve')
class CancelReserve:
    """Entry to candidate: releases a reservation or an unused grant."""

    attempt_id: str


@message('work')
class Work:
    """Entry to the candidate that granted capacity: the request itself.

    ``incarnation`` and ``grant_number`` are copied from the grant; an agent refuses
    work that does not match a valid grant of its current run. ``claim_number`` is
    zero for calls that may be repeated.
    """

    attempt_id: str
    grant_number: int
    incarnation: int
    method: str
    path: str
    content_type: str
    body: bytes
    claim_number: int
    resume_from: int = 0
    idempotency_key: str = ''


@message('work-refused')
class WorkRefused:
    """Agent to entry: it has not sent the work to the upstream and never will."""

    attempt_id: str
    reason: str


@message('answer-head')
class AnswerHead:
    """Agent to entry: the upstream has started to answer, with this status."""

    attempt_id: str
    status: int
    content_type: str
    release: str


@message('answer-part')
class AnswerPart:
    """Agent to entry: one part of the answer; ``sequence`` counts from zero."""

    attempt_id: str
    sequence: int
    body: bytes
    tokens: int


@message('answer-parts')
class AnswerParts:
    """Agent to entry: the next parts of several answers in one frame."""

    parts: list[AnswerPart]


@message('answer-end')
class AnswerEnd:
    """Agent to entry: the answer is complete; its number of parts, bytes and SHA-256."""

    attempt_id: str
    parts: int
    length_bytes: int
    digest: str


@message('answer-failed')
class AnswerFailed:
    """Agent to entry: the attempt ended without a complete answer."""

    attempt_id: str
    outcome: Outcome
    reason: str


@message('cancel-work')
class CancelWork:
    """Entry to agent: the caller has left, so the upstream's stream must be stopped."""

    attempt_id: str
