"""The replicated state machine: the same commands in the same order give the same state.

It reads no clock, random source or socket. A command either takes effect completely,
with its audit record, or changes nothing.
"""

import hashlib
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any, get_args

from returns.result import Success

from jackdawsail.state.audit import AuditRecord
from jackdawsail.state.commands import (
    CommandEnvelope,
    LedgerBatch,
    LedgerEntryLost,
    OperatorPut,
    ReleaseCommand,
)
from jackdawsail.state.draft import Draft, differences
from jackdawsail.state.releases import Outcome, run_release
from jackdawsail.state.replica import Record, apply_changes
from jackdawsail.state.replies import Accepted, Conflict, LedgerReplies, Rejected, Reply
from jackdawsail.state.tables import (
    FirstAnswer,
    Operator,
    Tables,
    answer_key,
    decode_tables,
    encode_tables,
)
from jackdawsail.state.topology import run_topology
from jackdawsail.state.voter_command import VotersChange
from jackdawsail.wire.codec import as_plain, decode, encode, tag_of

MAX_DIFFERENCES_SHOWN = 50

Changes = dict[str, Record | None]
ChangeListener = Callable[[int, Changes], None]
ResetListener = Callable[[], None]


class ControlState:
    """Implements ``consensus.interfaces.StateMachine`` on ``Tables``."""

    def __init__(self) -> None:
        self.tables = Tables()
        self._listeners: list[ChangeListener] = []
        self._reset_listeners: list[ResetListener] = []

    def add_listeners(self, on_change: ChangeListener, on_reset: ResetListener) -> None:
        """Registers callbacks for each accepted command and for each restored snapshot."""
        self._listeners.append(on_change)
        self._reset_listeners.append(on_reset)

    def apply(self, index: int, command: bytes) -> Reply:
        """Applies one committed command and returns its reply."""
        decoded = decode(command)
        if not isinstance(decoded, Success) or not isinstance(decoded.unwrap(), CommandEnvelope):
            return Rejected('undecodable', f'log entry {index} holds no command')
        return self._apply_envelope(decoded.unwrap())

    def snapshot(self) -> bytes:
        """Returns the whole state in its versioned encoding."""
        return encode_tables(self.tables)

    def restore(self, snapshot: bytes) -> None:
        """Replaces the state with the content of a snapshot."""
        self.tables = decode_tables(snapshot)
        for on_reset in self._reset_listeners:
            on_reset()

    def first_answer(self, envelope: CommandEnvelope) -> Reply | None:
        """Returns the stored reply to a resent command, or None for a new one.

        A reused request id with another command gets a rejection.
        """
        stored = self.tables.answers.get(answer_key(envelope.actor, envelope.request_id))
        if stored is None:
            return None
        if stored.command_digest != _command_digest(envelope):
            return Rejected('request-id-reused', 'the request id was used for another command')
        reply: Reply = decode(stored.reply).unwrap()
        return reply

    def _apply_envelope(self, envelope: CommandEnvelope) -> Reply:
        decoded = decode(envelope.body)
        if not isinstance(decoded, Success):
            return Rejected('undecodable', decoded.failure().reason)
        body = decoded.unwrap()
        if isinstance(body, (LedgerBatch, LedgerEntryLost)):
            return self._apply_ledger(body)
        stored_reply = self.first_answer(envelope)
        if stored_reply is not None:
            return stored_reply
        reply = self._apply_administration(envelope, body)
        answer = FirstAnswer(_command_digest(envelope), encode(reply))
        self.tables.store_answer(answer_key(envelope.actor, envelope.request_id), answer)
        return reply

    def _apply_administration(self, envelope: CommandEnvelope, body: object) -> Reply:
        tables = self.tables
        expected = envelope.expected_revision
        if expected is not None and expected != tables.revision:
            later_records = tables.audit.after(expected, MAX_DIFFERENCES_SHOWN)
            return Conflict(tables.revision, expected, later_records)
        draft = Draft(tables.records, dict(tables.ordinals))
        outcome = run_command(body, draft)
        if not isinstance(outcome, Success):
            return outcome.failure()
        self._commit(envelope, body, draft)
        return Accepted(tables.revision, outcome.unwrap())

    def _commit(self, envelope: CommandEnvelope, body: object, draft: Draft) -> None:
        tables = self.tables
        record = AuditRecord(
            request_id=envelope.request_id,
            actor=envelope.actor,
            stamp_seconds=envelope.stamp_seconds,
            kind=tag_of(type(body)),
            from_revision=tables.revision,
            to_revision=tables.revision + 1,
            changes=differences(tables.records, draft.changes) or describe_unrecorded(body),
        )
        tables.revision += 1
        tables.ordinals = draft.ordinals
        apply_changes(tables.records, draft.changes)
        if isinstance(body, OperatorPut):
            tables.put_operator(body.name, Operator(body.role, body.token_digest))
        tables.audit.add(record)
        for on_change in self._listeners:
            on_change(tables.revision, draft.changes)

    @singledispatchmethod
    def _apply_ledger(self, body: Any) -> Reply:
        raise AssertionError(f'not a ledger command: {body!r}')

    @_apply_ledger.register
    def _(self, body: LedgerBatch) -> Reply:
        ledger = self.tables.ledger
        settles = [ledger.settle(request) for request in body.settles]
        return LedgerReplies([ledger.claim(request) for request in body.claims], settles)

    @_apply_ledger.register
    def _(self, body: LedgerEntryLost) -> Reply:
        unknown_calls = self.tables.ledger.mark_entry_lost(body.entry, body.incarnation)
        return Accepted(self.tables.revision, {'unknown_calls': unknown_calls})


def run_command(body: object, draft: Draft) -> Outcome:
    """Runs an administration command on a draft, without committing its changes."""
    if isinstance(body, get_args(ReleaseCommand)):
        return run_release(body, draft)
    if isinstance(body, OperatorPut):
        # Operators are not records: they are changed when the command is committed.
        return Success({'role': body.role})
    if isinstance(body, VotersChange):
        # The group of voters is not part of this state either.
        return Success(as_plain(body))
    return run_topology(body, draft)


def describe_unrecorded(body: object) -> list[dict[str, Any]]:
    """Describes a change of operators or voters, which are not distributed records."""
    if isinstance(body, VotersChange):
        requested: dict[str, Any] = as_plain(body)
        return [
            {'key': 'control/voters', 'field': name, 'before': None, 'after': requested[name]}
            for name in requested
            if requested[name]
        ]
    if not isinstance(body, OperatorPut):
        return []
    shown_role = body.role if body.token_digest else None
    return [{'key': f'operator/{body.name}', 'field': 'role', 'before': None, 'after': shown_role}]


def _command_digest(envelope: CommandEnvelope) -> bytes:
    # The expected revision is part of the command: the same change against another
    # revision is a different request.
    expected = str(envelope.expected_revision).encode()
    return hashlib.sha256(expected + b'|' + envelope.body).digest()[:16]
