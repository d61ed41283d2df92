"""Messages that carry a request from an entry to an agent (or to a peer entry).

A request is reserved first and handed over only to the one candidate that
granted it. ``attempt_id`` names one reservation at one candidate and is never
used twice.
"""

from enum import StrEnum

from jackdawsail.wire.codec import message


class Outcome(StrEnum):
    """What a caller is told of its request."""

    done = 'done'
    not_run = 'not-run'
    unknown = 'unknown'


class Priority(StrEnum):
    """Live work goes before batch work."""

    live = 'live'
    batch = 'batch'


@message('reserve')
class Reserve:
    """Entry to candidate: asks for capacity for one request."""

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
    """Candidate to entry: the capacity is held for ``hold_seconds``."""

    attempt_id: str
    grant_number: int
    incarnation: int
    release: str
    hold_seconds: float


@message('refused')
class Refused:
    """Candidate to entry: the request was not run here and will not be."""

    attempt_id: str
    reason: str
    retry_after_seconds: float


@message('cancel-reserve')
class CancelReserve:
    """Entry to candidate: the reservation or unused grant is given up."""

    attempt_id: str


@message('work')
class Work:
    """Entry to the candidate that granted: the request itself.

    ``incarnation`` and ``grant_number`` repeat the grant; an agent refuses work
    that does not match a live grant of its present run. ``claim_number`` is zero
    for calls that may be repeated.
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
    """Agent to entry: the work was not handed to the upstream and never will be."""

    attempt_id: str
    reason: str


@message('answer-head')
class AnswerHead:
    """Agent to entry: the upstream has begun to answer."""

    attempt_id: str
    status: int
    content_type: str
    release: str


@message('answer-part')
class AnswerPart:
    """Agent to entry: a piece of the answer; sequences count from zero."""

    attempt_id: str
    sequence: int
    body: bytes
    tokens: int


@message('answer-parts')
class AnswerParts:
    """Agent to entry: the next pieces of several answers in one frame."""

    parts: list[AnswerPart]


@message('answer-end')
class AnswerEnd:
    """Agent to entry: the answer is whole; parts, bytes and SHA-256 of all of it."""

    attempt_id: str
    parts: int
    length_bytes: int
    digest: str


@message('answer-failed')
class AnswerFailed:
    """Agent to entry: the attempt ended without a whole answer."""

    attempt_id: str
    outcome: Outcome
    reason: str


@message('cancel-work')
class CancelWork:
    """Entry to agent: the caller has left; stop the upstream's stream."""

    attempt_id: str
