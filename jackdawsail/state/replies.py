"""What the state machine answers to a command."""

from dataclasses import dataclass
from typing import Any

from jackdawsail.wire.claim_messages import ClaimReply, SettleReply
from jackdawsail.wire.codec import message


@message('accepted')
class Accepted:
    """The command is in force from ``revision`` on."""

    revision: int
    detail: dict[str, Any]


@message('conflict')
class Conflict:
    """Another command came first; ``differences`` are the audit records since."""

    revision: int
    expected_revision: int
    differences: list[dict[str, Any]]


@message('rejected')
class Rejected:
    """The command breaks a rule; ``code`` is stable, ``reason`` is for people."""

    code: str
    reason: str


@dataclass(frozen=True, slots=True)
class LedgerReplies:
    """The answers to a ledger batch, in its order."""

    claims: list[ClaimReply]
    settles: list[SettleReply]


Reply = Accepted | Conflict | Rejected | LedgerReplies
