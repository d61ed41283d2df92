"""Messages between an entry and the control leader about at-most-once calls."""

from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.wire.codec import message


class ClaimVerdict(StrEnum):
    """What the ledger says of a claim."""

    granted = 'granted'
    running = 'running'
    settled = 'settled'
    unknown = 'unknown'
    mismatch = 'mismatch'
    unavailable = 'unavailable'


@message('claim-request')
class ClaimRequest:
    """Entry to the control leader: may this non-idempotent call be sent?"""

    request_id: str
    customer: str
    key: str
    body_digest: str
    entry: str
    entry_incarnation: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a settled call."""

    status: int
    content_type: str
    body: bytes


@message('claim-reply')
class ClaimReply:
    """Control leader to entry; ``answer`` is set when the verdict is settled."""

    request_id: str
    verdict: ClaimVerdict
    claim_number: int
    answer: StoredAnswer | None = None


@message('settle-request')
class SettleRequest:
    """Entry to the control leader: how a claimed call ended.

    ``outcome`` is ``done`` (with the answer), ``not-run`` (the key may be claimed
    again) or ``unknown``.
    """

    request_id: str
    customer: str
    key: str
    claim_number: int
    outcome: str
    answer: StoredAnswer | None = None


@message('settle-reply')
class SettleReply:
    """Control leader to entry: the settlement is committed."""

    request_id: str
    accepted: bool


@message('call-query')
class CallQuery:
    """Entry to the control leader: how does an earlier call of this key stand?"""

    request_id: str
    customer: str
    key: str


@message('call-state')
class CallState:
    """Control leader to entry.

    ``verdict`` is ``running``, ``settled`` (with the answer), ``unknown``, or
    ``unavailable`` when the ledger cannot be read; ``found`` is False when no call
    of the key is kept.
    """

    request_id: str
    found: bool
    verdict: ClaimVerdict
    answer: StoredAnswer | None = None
