"""Messages between entries and the control leader that make calls run at most once."""

from dataclasses import dataclass
from enum import StrEnum

from jackdawsail.wire.codec import message


class ClaimVerdict(StrEnum):
    """The ledger's answer to a claim, or the state of an earlier call."""

    granted = 'granted'
    running = 'running'
    settled = 'settled'
    unknown = 'unknown'
    mismatch = 'mismatch'
    unavailable = 'unavailable'


@message('claim-request')
class ClaimRequest:
    """Entry to the control leader: asks whether this non-idempotent call may be sent."""

    request_id: str
    customer: str
    key: str
    body_digest: str
    entry: str
    entry_incarnation: int


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a settled call, as the ledger keeps it."""

    status: int
    content_type: str
    body: bytes


@message('claim-reply')
class ClaimReply:
    """Control leader to entry: the verdict on a claim, with ``answer`` if it is settled."""

    request_id: str
    verdict: ClaimVerdict
    claim_number: int
    answer: StoredAnswer | None = None


@message('settle-request')
class SettleRequest:
    """Entry to the control leader: reports how a claimed call ended.

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
    """Control leader to entry: confirms that the settlement is committed."""

    request_id: str
    accepted: bool


@message('call-query')
class CallQuery:
    """Entry to the control leader: asks for the state of an earlier call with this key."""

    request_id: str
    customer: str
    key: str


@message('call-state')
class CallState:
    """Control leader to entry: the state of an earlier call.

    ``verdict`` is ``running``, ``settled`` (with the answer), ``unknown``, or
    ``unavailable`` when the ledger cannot be read. ``found`` is False when the
    ledger holds no call with the key.
    """

    request_id: str
    found: bool
    verdict: ClaimVerdict
    answer: StoredAnswer | None = None
