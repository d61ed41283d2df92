"""The tables of the replicated state machine and their versioned snapshot encoding.

A snapshot is the CBOR mapping ``{"version": n, ...}``. Loading upgrades older
versions step by step. A newer version is refused, because a host that cannot
interpret a part of the state must not lose it.
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
    """An operator's role and the SHA-256 of its token."""

    role: str
    token_digest: str


@dataclass(frozen=True, slots=True)
class FirstAnswer:
    """The encoded first reply to a request id, and the digest of its command."""

    command_digest: bytes
    reply: bytes


@dataclass(slots=True)
class Tables:
    """The whole replicated state; ``revision`` counts the accepted administration commands."""

    revision: int = 0
    records: dict[str, Record] = field(default_factory=dict)
    ordinals: dict[str, int] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    answers: dict[str, FirstAnswer] = field(default_factory=dict)
    audit: AuditTrail = field(default_factory=AuditTrail)
    ledger: Ledger = field(default_factory=Ledger)

    def put_operator(self, name: str, operator: Operator) -> None:
        """Stores an operator; one without a token is removed."""
        if operator.token_digest:
            self.operators[name] = operator
        else:
            self.operators.pop(name, None)

    def has_answer(self, actor: str, request_id: str) -> bool:
        """Returns whether an operator's request id has a stored reply."""
        return answer_key(actor, request_id) in self.answers

    def store_answer(self, request_id: str, answer: FirstAnswer) -> None:
        """Stores the first reply to a request id; drops the oldest one when full."""
        self.answers[request_id] = answer
        if len(self.answers) > MAX_ANSWERS_KEPT:
            self.answers.pop(next(iter(self.answers)))


def answer_key(actor: str, request_id: str) -> str:
    """Returns the key of a request id, which is separate for each operator."""
    return f'{actor}/{request_id}'


def encode_tables(tables: Tables) -> bytes:
    """Encodes the whole state in the current snapshot version."""
    ledger = tables.ledger
    return cbor2.dumps(
        {
            'version': SNAPSHOT_VERSION,
            'revision': tables.revision,
            'records': tables.records,
            'ordinals': tables.ordinals,
            'operators': {name: as_plain(operator) for name, operator in tables.operators.items()},
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
    """Decodes a snapshot of this or an older version; raises AssertionError for a newer one."""
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
        operators={name: Operator(**fields) for name, fields in document['operators'].items()},
        answers={name: FirstAnswer(*stored) for name, *stored in document['answers']},
        audit=AuditTrail(document['audit']),
        ledger=_decode_ledger(document),
    )


def _decode_ledger(document: dict[str, Any]) -> Ledger:
    settled: dict[str, dict[str, bytes]] = document['settled']
    # Loaded unchanged: enforcing retention again could evict other calls than those
    # evicted by the voters that applied the commands.
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
    # Version 1 had no settlement order; the order of the claims is the closest to it.
    settled = [
        [customer, key]
        for customer, key, plain in document['calls']
        if plain['status'] != 'running'
    ]
    return {**document, 'version': 2, 'settled_order': settled}


def _upgrade_from_2(document: dict[str, Any]) -> dict[str, Any]:
    # Version 2 stored all calls unencoded, and the settlement order separately.
    calls = {(customer, key): plain for customer, key, plain in document['calls']}
    settled: dict[str, dict[str, bytes]] = {}
    for customer, key in document['settled_order']:
        settled.setdefault(customer, {})[key] = cbor2.dumps(calls.pop((customer, key)))
    running = [[*call_key, cbor2.dumps(plain)] for call_key, plain in calls.items()]
    return {**document, 'version': 3, 'settled': settled, 'running': running}
