"""Everything that the replicated state machine holds, and its versioned snapshot encoding.

A snapshot is the CBOR mapping ``{"version": n, ...}``. Loading upgrades every
older version step by step; a newer one is refused, because a host that does not
understand a part of the state must not lose it.
"""

from dataclasses import dataclass, field
from typing import Any

import cbor2

from jackdawsail.state.audit import AuditTrail
from jackdawsail.state.ledger import Ledger, decode_call, encode_call
from jackdawsail.state.replica import Record
from jackdawsail.wire.codec import as_plain

SNAPSHOT_VERSION = 3
MAX_ANSWERS_KEPT = 20_000


@dataclass(frozen=True, slots=True)
class Operator:
    """One operator: its role and the SHA-256 of its token."""

    role: str
    token_digest: str


@dataclass(frozen=True, slots=True)
class FirstAnswer:
    """The stored answer to a request id, and the digest of the command it was for."""

    command_digest: bytes
    reply: bytes


@dataclass(slots=True)
class Tables:
    """The state proper; ``revision`` counts the accepted administration commands."""

    revision: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    ordinals: dict[str, int] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    answers: dict[str, FirstAnswer] = field(default_factory=dict)
    audit: AuditTrail = field(default_factory=AuditTrail)
    ledger: Ledger = field(default_factory=Ledger)

    def put_operator(self, name: str, operator: Operator) -> None:
        """Sets an operator; one without a token is removed."""
        if operator.token_digest:
            self.operators[name] = operator
        else:
            self.operators.pop(name, None)

    def has_answer(self, actor: str, request_id: str) -> bool:
        """Returns whether a request of an operator has its first answer."""
        return answer_key(actor, request_id) in self.answers

    def remember(self, request_id: str, answer: FirstAnswer) -> None:
        """Stores the first answer to a request id; the oldest goes when it is full."""
        self.answers[request_id] = answer
        if len(self.answers) > MAX_ANSWERS_KEPT:
            self.answers.pop(next(iter(self.answers)))


def answer_key(actor: str, request_id: str) -> str:
    """Names a request id; no operator can use another's."""
    return f'{actor}/{request_id}'


def encode_tables(tables: Tables) -> bytes:
    """Encodes the whole state in the newest version."""
    ledger = tables.ledger
    return cbor2.dumps(
        {
            'version': SNAPSHOT_VERSION,
            'revision': tables.revision,
            'records': tables.records,
            'ordinals': tables.ordinals,
            'operators': {name: as_plain(found) for name, found in tables.operators.items()},
            'answers': [
                [request_id, answer.command_digest, answer.reply]
                for request_id, answer in tables.answers.items()
            ],
            'audit': list(tables.audit.encoded),
            'next_claim_number': ledger.next_number,
            'running': [[*key, encode_call(call)] for key, call in ledger.running.items()],
            'settled': ledger.settled,
        }
    )


def decode_tables(snapshot: bytes) -> Tables:
    """Decodes a snapshot of this version or an older one; a newer one is refused."""
    document: dict[str, Any] = cbor2.loads(snapshot)
    version = document['version']
    if version > SNAPSHOT_VERSION:
        raise AssertionError(f'snapshot version {version} is newer than {SNAPSHOT_VERSION}')
    for upgrade in (_upgrade_from_1, _upgrade_from_2)[version - 1 :]:
        document = upgrade(document)
    return Tables(
        revision=document['revision'],
        records=document['records'],
        ordinals=document['ordinals'],
        operators={name: Operator(**found) for name, found in document['operators'].items()},
        answers={name: FirstAnswer(*parts) for name, *parts in document['answers']},
        audit=AuditTrail(document['audit']),
        ledger=_decode_ledger(document),
    )


def _decode_ledger(document: dict[str, Any]) -> Ledger:
    settled: dict[str, dict[str, bytes]] = document['settled']
    # Taken as they are: deciding retention anew could evict other calls than the
    # voters did that applied the commands.
    ledger = Ledger(
        next_number=document['next_claim_number'],
        settled=settled,
        settled_bytes={
            customer: sum(len(encoded) for encoded in names.values())
            for customer, names in settled.items()
        },
    )
    for customer, name, encoded in document['running']:
        ledger.store((customer, name), decode_call(encoded))
    return ledger


def _upgrade_from_1(document: dict[str, Any]) -> dict[str, Any]:
    # Version 1 kept no order of settlement; the order of the claims is the nearest to it.
    settled = [
        [customer, key]
        for customer, key, plain in document['calls']
        if plain['status'] != 'running'
    ]
    return {**document, 'version': 2, 'settled_order': settled}


def _upgrade_from_2(document: dict[str, Any]) -> dict[str, Any]:
    # Version 2 kept every call in full, and the order of the settled ones beside them.
    calls = {(customer, key): plain for customer, key, plain in document['calls']}
    settled: dict[str, dict[str, bytes]] = {}
    for customer, key in document['settled_order']:
        settled.setdefault(customer, {})[key] = cbor2.dumps(calls.pop((customer, key)))
    running = [[*place, cbor2.dumps(plain)] for place, plain in calls.items()]
    return {**document, 'version': 3, 'settled': settled, 'running': running}
