"""The ledger of non-idempotent calls: each key of a customer is dispatched at most once.

A call is claimed before it is sent and settled with its answer. Settled calls
are kept up to a limit for each customer, so that no clock decides when a key
may run again and no customer can evict the calls of another.
"""

from collections import Counter
from dataclasses import dataclass, field, replace

import cbor2
from pydantic import TypeAdapter

from jackdawsail.wire.claim_messages import (
    ClaimReply,
    ClaimRequest,
    ClaimVerdict,
    SettleReply,
    SettleRequest,
    StoredAnswer,
)
from jackdawsail.wire.codec import as_plain

MAX_SETTLED = 50_000
MAX_SETTLED_BYTES = 24_000_000
MAX_SETTLED_PER_CUSTOMER = 10_000
MIN_SETTLED_PER_CUSTOMER = 50
MAX_STORED_ANSWER_BYTES = 65_536

CallKey = tuple[str, str]
Process = tuple[str, int]


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
    def process(self) -> Process:
        """Returns the name and incarnation of the entry process that holds the claim."""
        return self.entry, self.entry_incarnation


_CALL_ADAPTER = TypeAdapter(LedgerCall)


def encode_call(call: LedgerCall) -> bytes:
    """Encodes a call; settled ones are stored encoded, as most are never read again."""
    return cbor2.dumps(as_plain(call))


def decode_call(encoded: bytes) -> LedgerCall:
    """Decodes the output of ``encode_call``."""
    return _CALL_ADAPTER.validate_python(cbor2.loads(encoded))


@dataclass(slots=True)
class Ledger:
    """All running calls, and the latest settled calls of each customer in settlement order.

    ``settled`` maps a customer and a key to the encoded call, ``settled_bytes`` a customer to
    the total size of these.
    """

    next_number: int = 1
    running: dict[CallKey, LedgerCall] = field(default_factory=dict)
    settled: dict[str, dict[str, bytes]] = field(default_factory=dict)
    settled_bytes: dict[str, int] = field(default_factory=dict)
    running_per_process: Counter[Process] = field(default_factory=Counter)

    def find(self, customer: str, key: str) -> LedgerCall | None:
        """Returns the call of a key if it is running or still stored, else None."""
        running = self.running.get((customer, key))
        if running is not None:
            return running
        encoded = self.settled.get(customer, {}).get(key)
        return None if encoded is None else decode_call(encoded)

    def claim(self, request: ClaimRequest) -> ClaimReply:
        """Grants a key once; the reply to any other claim carries the status of the call."""
        call = self.find(request.customer, request.key)
        if call is None:
            return self._grant(request)
        verdict = _verdict(call, request)
        answer = call.answer if verdict is ClaimVerdict.settled else None
        return ClaimReply(request.request_id, verdict, call.number, answer)

    def settle(self, request: SettleRequest) -> SettleReply:
        """Records the outcome of a claimed call; a repeated settlement is accepted again."""
        call_key = (request.customer, request.key)
        call = self.find(*call_key)
        if call is None or not _may_settle(request, call):
            was_cleared = request.outcome == 'not-run'
            return SettleReply(request.request_id, was_cleared)
        if call.status == 'done':
            return SettleReply(request.request_id, request.outcome == 'done')
        self._end_call(call_key, call, request)
        return SettleReply(request.request_id, accepted=True)

    def mark_entry_lost(self, entry: str, incarnation: int) -> int:
        """Marks the running calls of an ended entry process as unknown; returns their number."""
        process = (entry, incarnation)
        lost_keys = [
            call_key for call_key, call in self.running.items() if call.process == process
        ]
        for call_key in lost_keys:
            self.store(call_key, replace(self.running[call_key], status='unknown'))
        return len(lost_keys)

    def store(self, call_key: CallKey, call: LedgerCall) -> None:
        """Stores a call and enforces the retention limits of its customer."""
        self._remove(call_key)
        if call.status == 'running':
            self.running[call_key] = call
            self.running_per_process[call.process] += 1
        else:
            self._add_settled(call_key, encode_call(call))

    def _add_settled(self, call_key: CallKey, encoded: bytes) -> None:
        customer, key = call_key
        is_new = customer not in self.settled
        self.settled.setdefault(customer, {})[key] = encoded
        self.settled_bytes[customer] = self.settled_bytes.get(customer, 0) + len(encoded)
        # An additional customer reduces the share of each of the others.
        for affected in list(self.settled) if is_new else [customer]:
            self._trim_settled(affected)

    def _grant(self, request: ClaimRequest) -> ClaimReply:
        number = self.next_number
        self.next_number += 1
        call = LedgerCall(
            number,
            request.request_id,
            request.body_digest,
            request.entry,
            request.entry_incarnation,
        )
        self.store((request.customer, request.key), call)
        return ClaimReply(request.request_id, ClaimVerdict.granted, number)

    def _end_call(self, call_key: CallKey, call: LedgerCall, request: SettleRequest) -> None:
        if request.outcome == 'not-run':
            self._remove(call_key)
            return
        status = 'done' if request.outcome == 'done' else 'unknown'
        self.store(call_key, replace(call, status=status, answer=_answer_to_store(request.answer)))

    def _remove(self, call_key: CallKey) -> None:
        call = self.running.pop(call_key, None)
        if call is not None:
            self.running_per_process[call.process] -= 1
            self.running_per_process += Counter()  # drops processes without running calls
        customer, key = call_key
        encoded = self.settled.get(customer, {}).pop(key, None)
        if encoded is not None:
            self.settled_bytes[customer] -= len(encoded)

    def _trim_settled(self, customer: str) -> None:
        calls_by_key = self.settled[customer]
        customer_count = len(self.settled)
        max_calls = min(MAX_SETTLED_PER_CUSTOMER, MAX_SETTLED // customer_count)
        max_bytes = MAX_SETTLED_BYTES // customer_count
        while len(calls_by_key) > MIN_SETTLED_PER_CUSTOMER and (
            len(calls_by_key) > max_calls or self.settled_bytes[customer] > max_bytes
        ):
            self._remove((customer, next(iter(calls_by_key))))


def _may_settle(request: SettleRequest, call: LedgerCall) -> bool:
    # An entry that never received its claim number may still withdraw its own claim.
    if request.claim_number == 0:
        withdraws = request.outcome == 'not-run' and call.status == 'running'
        return withdraws and call.request_id == request.request_id
    return call.number == request.claim_number


def _answer_to_store(answer: StoredAnswer | None) -> StoredAnswer | None:
    return None if answer and len(answer.body) > MAX_STORED_ANSWER_BYTES else answer


def _verdict(call: LedgerCall, request: ClaimRequest) -> ClaimVerdict:
    if call.body_digest != request.body_digest:
        return ClaimVerdict.mismatch
    if call.status == 'done' and call.answer is not None:
        return ClaimVerdict.settled
    if call.status != 'running':
        # If the answer was too large to store, a repeated claim gets unknown.
        return ClaimVerdict.unknown
    same_process = call.process == (request.entry, request.entry_incarnation)
    if same_process and call.request_id == request.request_id:
        return ClaimVerdict.granted
    return ClaimVerdict.running
