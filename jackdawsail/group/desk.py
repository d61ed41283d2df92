"""Carries out the calls of operators, upstreams and callers on a control host.

Whatever changes or reads the replicated state is done by the leader; another
host names it. Heartbeats are taken by every host; that an upstream leaves, only while a
leader is heard.
"""

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from returns.result import Failure, Result
from twisted.internet.defer import Deferred, succeed

from jackdawsail import events
from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.group import calls
from jackdawsail.group.directory import addresses_for
from jackdawsail.group.fanout import Fanout
from jackdawsail.group.linked import LinkedProcesses
from jackdawsail.site.machine import (
    CommandOutcome,
    StoredDocument,
    announce_weights,
    put_document,
    set_zone_emptied,
)

ADDRESSES_VALID_SECONDS = 2.0  # callers of a stopped entry are gone after two or three of these
CHANGE_ANSWERED = events.define(241, 'info', 'change of the site answered')
CALL_REFUSED = events.define(242, 'warning', 'call to a control host refused')

Answered = Deferred[calls.Answer]


@dataclass(slots=True)
class Desk:
    """Answers calls; owns nothing but its way to the state."""

    replicator: Replicator
    fanout: Fanout
    linked: LinkedProcesses
    stopping: bool = False

    def handle(self, call: calls.Call) -> Answered:
        """Carries one call out; the answer may have to wait for the voters."""
        return self._handle(call)

    @singledispatchmethod
    def _handle(self, call: calls.Call) -> Answered:
        return succeed(calls.NotFound())

    @_handle.register
    def _bad(self, call: calls.InvalidCall) -> Answered:
        events.log(CALL_REFUSED, reason=call.reason)
        return succeed(calls.Invalid(call.reason))

    @_handle.register
    def _put_document(self, call: calls.PutDocument) -> Answered:
        stored = StoredDocument(call.document.version, call.digest, call.body)
        return self._change(put_document(stored), f'document {stored.version}')

    @_handle.register
    def _empty_zone(self, call: calls.SetZoneEmptied) -> Answered:
        command = set_zone_emptied(call.zone, emptied=call.emptied)
        return self._change(command, f'zone {call.zone} emptied={call.emptied}')

    @_handle.register
    def _name_weights(self, call: calls.AnnounceWeights) -> Answered:
        command = announce_weights(call.model, call.version)
        return self._change(command, f'weights {call.model} {call.version}')

    @_handle.register
    def _read_document(self, _call: calls.ReadDocument) -> Answered:
        if not self.replicator.is_leader():
            return succeed(self._elsewhere())
        document = self.fanout.machine.state.document
        if not document.version:
            return succeed(calls.Unavailable('no document has been accepted yet'))
        return succeed(calls.DocumentFound(document.body))

    @_handle.register
    def _heartbeat(self, call: calls.Heartbeat) -> Answered:
        # An upstream that leaves must be told only what the entries in touch will hear.
        if call.registration.leaving and not self.replicator.leader_name():
            return succeed(calls.Unavailable('no leader is known here'))
        self.fanout.registered(call.registration, 'heartbeat')
        return succeed(calls.Done())

    @_handle.register
    def _goodbye(self, call: calls.Deregister) -> Answered:
        if not self.replicator.leader_name():
            return succeed(calls.Unavailable('no leader is known here'))
        self.fanout.left(call.upstream)
        return succeed(calls.Done())

    @_handle.register
    def _find_entries(self, call: calls.FindEntries) -> Answered:
        addresses = addresses_for(self.linked.entries(), call.region, call.zone)
        if not addresses or self.stopping:
            return succeed(calls.Unavailable('no entry is known here'))
        return succeed(calls.EntriesFound(addresses, ADDRESSES_VALID_SECONDS))

    def _change(self, command: bytes, what: str) -> Answered:
        if not self.replicator.is_leader():
            return succeed(self._elsewhere())
        proposed: Any = self.replicator.propose(command)
        return proposed.addCallback(self._changed, what)

    def _changed(self, outcome: Result[CommandOutcome, ProposeError], what: str) -> calls.Answer:
        answer = _answer_of(outcome)
        revision = self.fanout.machine.state.revision
        events.log(CHANGE_ANSWERED, change=what, revision=revision, answer=type(answer).__name__)
        return answer

    def _elsewhere(self) -> calls.Answer:
        leader = self.replicator.leader_name()
        if not leader or leader == self.linked.own_name:
            return calls.Unavailable('no leader is known here')
        return calls.AskHost(leader)


def _answer_of(outcome: Result[CommandOutcome, ProposeError]) -> calls.Answer:
    if isinstance(outcome, Failure):
        return calls.Unavailable(outcome.failure().reason)
    if outcome.unwrap() is CommandOutcome.conflict:
        return calls.Conflict('another document holds this version')
    return calls.Done()
