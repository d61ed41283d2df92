"""Replies of the state machine to commands."""

from dataclasses import dataclass
from typing import Any

from jackdawsail.wire.claim_messages import ClaimReply, SettleReply
from jackdawsail.wire.codec import message


@message('accepted')
class Accepted:
    """The command took effect; ``revision`` is the resulting revision."""

    revision: int
    detail: dict[str, Any]


@message('conflict')
class Conflict:
    """Another command was applied first; ``differences`` are the audit records since."""

    revision: int
    expected_revision: int
    differences: list[dict[str, Any]]


@message('rejected')
class Rejected:
    """The command breaks a rule; ``code`` is stable for programs, ``reason`` is free text."""

    code: str
    reason: str


@dataclass(frozen=True, slots=True)
class LedgerReplies:
    """The replies to a ledger batch, in the order of its claims and settlements."""

    claims: list[ClaimReply]
    settles: list[SettleReply]


Reply = Accepted | Conflict | Rejected | LedgerReplies
