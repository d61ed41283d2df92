"""The ledger of non-idempotent calls: each key of a customer is handed over at most once.

A call is claimed before it is sent and settled with its answer. Settled calls
are kept up to a number for each customer, so that no clock decides when a key
may run again and no customer can push out the calls of another.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

from jackdawsail.wire.claim_messages import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    SettleReply,
    SettleRequest,
    StoredAnswer,
)

MAX_SETTLED_PER_CUSTOMER = 10_000
MAX_ANSWER_BYTES_PER_CUSTOMER = 8_000_000

CallKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class LedgerCall:
    """One claimed call; ``status`` is running, done or unknown."""

    number: int
    request_id: str
    body_digest: str
    entry: str
    entry_incarnation: int
    status: str = 'running'
    answer: StoredAnswer | None = None

    @property
    def process(self) -> tuple[str, int]:
        """The entry process that holds the claim."""
        return self.entry, self.entry_incarnation


@dataclass(slots=True)
class Ledger:
    """Every running call, and the last settled ones of each customer."""

    next_number: int = 1
    calls: dict[CallKey, LedgerCall] = field(default_factory=dict)
    settled: dict[str, dict[str, int]] = field(default_factory=dict)
    settled_bytes: dict[str, int] = field(default_factory=dict)
    running: Counter[tuple[str, int]] = field(default_factory=Counter)

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grants a call once; every other claim of its key hears how it stands."""
        key = (request.customer, request.key)
        call = self.calls.get(key)
        if call is None:
            return self._grant(key, request)
        verdict = _verdict(call, request)
        return ClaimReply(request.request_id, verdict, call.number, _shown_answer(call, verdict))

    def settle(self, request: SettleRequest) -> SettleReply:
        """Records how a claimed call ended; a repeated settlement is accepted again."""
        key = (request.customer, request.key)
        call = self.calls.get(key)
        if call is None or not _settles(request, call):
            was_cleared = request.outcome == 'not-run'
            return SettleReply(request.request_id, was_cleared)
        if call.status == 'done':
            return SettleReply(request.request_id, request.outcome == 'done')
        self._end(key, call, request)
        return SettleReply(request.request_id, accepted=True)

    def lose_entry(self, entry: str, incarnation: int) -> int:
        """Makes the running calls of an ended entry process unknown; returns how many."""
        lost = [
            (key, call)
            for key, call in self.calls.items()
            if call.status == 'running' and call.process == (entry, incarnation)
        ]
        for key, call in lost:
            self.store(key, replace(call, status='unknown'))
        return len(lost)

    def store(self, key: CallKey, call: LedgerCall) -> None:
        """Sets a call and keeps the retention count of its customer."""
        self._forget(key)
        self.calls[key] = call
        if call.status == 'running':
            self.running[call.process] += 1
            return
        customer, name = key
        size_bytes = len(call.answer.body) if call.answer else 0
        self.settled.setdefault(customer, {})[name] = size_bytes
        self.settled_bytes[customer] = self.settled_bytes.get(customer, 0) + size_bytes
        self._retain(customer)

    def _grant(self, key: CallKey, request: ClaimRequest) -> ClaimReply:
        number = self.next_number
        self.next_number += 1
        call = LedgerCall(
            number,
            request.request_id,
            request.body_digest,
            request.entry,
            request.entry_incarnation,
        )
        self.store(key, call)
        return ClaimReply(request.request_id, ClaimVerdict.granted, number)

    def _end(self, key: CallKey, call: LedgerCall, request: SettleRequest) -> None:
        if request.outcome == 'not-run':
            self._forget(key)
            return
        status = 'done' if request.outcome == 'done' else 'unknown'
        self.store(key, replace(call, status=status, answer=request.answer))

    def _forget(self, key: CallKey) -> None:
        call = self.calls.pop(key, None)
        if call is not None and call.status == 'running':
            self.running[call.process] -= 1
            self.running += Counter()  # drops the processes that have none left
        customer, name = key
        size_bytes = self.settled.get(customer, {}).pop(name, None)
        if size_bytes is not None:
            self.settled_bytes[customer] -= size_bytes

    def _retain(self, customer: str) -> None:
        names = self.settled[customer]
        while (
            len(names) > MAX_SETTLED_PER_CUSTOMER
            or self.settled_bytes[customer] > MAX_ANSWER_BYTES_PER_CUSTOMER
        ):
            self._forget((customer, next(iter(names))))


def _settles(request: SettleRequest, call: LedgerCall) -> bool:
    # An entry that never heard its claim number may still give its own claim up.
    if request.claim_number == 0:
        gives_up = request.outcome == 'not-run' and call.status == 'running'
        return gives_up and call.request_id == request.request_id
    return call.number == request.claim_number


def _verdict(call: LedgerCall, request: ClaimRequest) -> ClaimVerdict:
    if call.body_digest != request.body_digest:
        return ClaimVerdict.mismatch
    if call.status == 'done':
        return ClaimVerdict.settled
    if call.status == 'unknown':
        return ClaimVerdict.unknown
    same_process = call.process == (request.entry, request.entry_incarnation)
    if same_process and call.request_id == request.request_id:
        return ClaimVerdict.granted
    return ClaimVerdict.running


def _shown_answer(call: LedgerCall, verdict: ClaimVerdict) -> StoredAnswer | None:
    return call.answer if verdict is ClaimVerdict.settled else None
