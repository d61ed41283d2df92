"""A caller's request as it passes through the stages, and the answers that can end it."""

from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsail.routing.affinity import PrefixMark
from jackdawsail.wire.work_messages import Outcome, Priority

DEFAULT_DEADLINE_SECONDS = 60.0


class CallKind(StrEnum):
    """The caller's interface: ``generate`` for engines, ``call`` for plain services."""

    generate = 'generate'
    service = 'call'


@dataclass(slots=True)
class Call:
    """The state of a request, filled in stage by stage.

    ``body`` is the body sent to the upstream. ``deadline_seconds`` is a time on the
    reactor's clock; ``claim_number`` is zero without a claim in the ledger.
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
    prefix_marks: tuple[PrefixMark, ...] = ()
    release: str = ''
    resume_from: int = 0
    customer: str = ''
    repeatable: bool = False
    claim_number: int = 0
    admitted: bool = False


@dataclass(frozen=True, slots=True)
class Problem:
    """A final answer of the entry itself, sent as an RFC 9457 problem document."""

    status: int
    code: str
    outcome: Outcome = Outcome.not_run
    detail: str = ''
    retry_after_seconds: float = 0


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete, checked answer."""

    status: int
    content_type: str
    body: bytes
    release: str = ''
    tokens: int = 0


@dataclass(slots=True)
class AnswerBuffer:
    """Collects the parts of an answer that is sent to the caller in one piece."""

    parts: list[bytes] = field(default_factory=list)
    size_bytes: int = 0

    def add(self, body: bytes) -> None:
        """Appends one part of the body."""
        self.parts.append(body)
        self.size_bytes += len(body)

    def joined(self) -> bytes:
        """Returns the whole body."""
        return b''.join(self.parts)
