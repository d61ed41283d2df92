"""One caller's request on its way through the stages, and the problem that ends it."""

from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsail.wire.work_messages import Outcome, Priority

DEADLINE_SECONDS = 60.0


class CallKind(StrEnum):
    """Which of the two interfaces the caller used."""

    generate = 'generate'
    service = 'call'


@dataclass(slots=True)
class Call:
    """What the stages learn of a request, each adding its part.

    ``body`` is what the upstream gets. ``deadline_seconds`` is by the reactor's
    clock; ``claim_number`` is zero without a claim in the ledger.
    """

    request_id: str
    kind: CallKind
    backend: str
    method: str
    path: str
    content_type: str
    body: bytes
    token: str = ''
    key: str = ''
    priority: Priority = Priority.live
    deadline_seconds: float = 0
    stream: bool = False
    tokens_estimate: int = 1
    prefix_digest: str = ''
    release: str = ''
    resume_from: int = 0
    customer: str = ''
    repeatable: bool = False
    claim_number: int = 0
    admitted: bool = False


@dataclass(frozen=True, slots=True)
class Problem:
    """A final answer other than the upstream's, as RFC 9457 has it."""

    status: int
    code: str
    outcome: Outcome = Outcome.not_run
    detail: str = ''
    retry_after_seconds: float = 0


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer that is complete and checked."""

    status: int
    content_type: str
    body: bytes
    release: str = ''
    tokens: int = 0


@dataclass(slots=True)
class AnswerBuffer:
    """Collects the parts of an answer that is given to the caller as a whole."""

    parts: list[bytes] = field(default_factory=list)
    size_bytes: int = 0

    def add(self, body: bytes) -> None:
        """Adds a part."""
        self.parts.append(body)
        self.size_bytes += len(body)

    def joined(self) -> bytes:
        """Returns everything that was added."""
        return b''.join(self.parts)
