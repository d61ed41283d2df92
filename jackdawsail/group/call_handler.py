"""Carries out the calls of operators, upstreams and callers on a control host.

Only the leader changes or reads the replicated state; other hosts redirect the
sender to it. Every host accepts heartbeats, but it acknowledges that an upstream
leaves only while it knows a leader.
"""

from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from returns.result import Failure, Result
from twisted.internet.defer import Deferred, succeed

from jackdawsail import events
from jackdawsail.consensus.interfaces import ProposeError, Replicator
from jackdawsail.group import calls
from jackdawsail.group.block_calls import BlockedTraitsFound, LiftBlockedTrait, ListBlockedTraits
from jackdawsail.group.directory import addresses_for
from jackdawsail.group.fanout import SiteFanout
from jackdawsail.group.linked import LinkedProcesses
from jackdawsail.site.machine import (
    CommandOutcome,
    announce_weights,
    lift_trait,
    put_document,
    set_zone_emptied,
)
from jackdawsail.site.stored_document import store_document

ADDRESSES_VALID_SECONDS = 2.0  # callers leave a stopped entry within two or three such periods
CHANGE_ANSWERED = events.define(241, 'info', 'site change answered')
CALL_REFUSED = events.define(242, 'warning', 'call to a control host refused')

DeferredAnswer = Deferred[calls.Answer]


@dataclass(slots=True)
class CallHandler:
    """Answers calls with the help of the replicator, the fan-out and the linked processes."""

    replicator: Replicator
    fanout: SiteFanout
    linked: LinkedProcesses
    stopping: bool = False

    def handle(self, call: calls.Call) -> DeferredAnswer:
        """Carries out a call; the answer of a change waits until the voters commit it."""
        return self._handle(call)

    @singledispatchmethod
    def _handle(self, call: calls.Call) -> DeferredAnswer:
        return succeed(calls.NotFound())

    @_handle.register
    def _refuse_invalid(self, call: calls.InvalidCall) -> DeferredAnswer:
        events.log(CALL_REFUSED, reason=call.reason)
        return succeed(calls.Invalid(call.reason))

    @_handle.register
    def _put_document(self, call: calls.PutDocument) -> DeferredAnswer:
        stored = store_document(call.document.version, call.digest, call.body)
        return self._propose(put_document(stored), f'document {stored.version}')

    @_handle.register
    def _set_zone_emptied(self, call: calls.SetZoneEmptied) -> DeferredAnswer:
        command = set_zone_emptied(call.zone, emptied=call.emptied)
        return self._propose(command, f'zone {call.zone} emptied={call.emptied}')

    @_handle.register
    def _announce_weights(self, call: calls.AnnounceWeights) -> DeferredAnswer:
        command = announce_weights(call.model, call.version)
        return self._propose(command, f'weights {call.model} {call.version}')

    @_handle.register
    def _read_document(self, _call: calls.ReadDocument) -> DeferredAnswer:
        if not self.replicator.is_leader():
            return succeed(self._redirect())
        document = self.fanout.machine.state.document
        if not document.version:
            return succeed(calls.Unavailable('no document has been accepted yet'))
        return succeed(calls.DocumentFound(document.body))

    @_handle.register
    def _heartbeat(self, call: calls.Heartbeat) -> DeferredAnswer:
        if self.stopping:
            return succeed(calls.Unavailable('this host is stopping'))
        # A departure is acknowledged only if it reaches the entries. A host that knows no
        # leader may be cut off from them.
        if call.registration.leaving and not self.replicator.leader_name():
            return succeed(calls.Unavailable('no leader is known here'))
        self.fanout.register(call.registration, 'heartbeat')
        return succeed(calls.Done())

    @_handle.register
    def _deregister(self, call: calls.Deregister) -> DeferredAnswer:
        if not self.replicator.leader_name():
            return succeed(calls.Unavailable('no leader is known here'))
        self.fanout.deregister(call.upstream)
        return succeed(calls.Done())

    @_handle.register
    def _find_entries(self, call: calls.FindEntries) -> DeferredAnswer:
        addresses = addresses_for(self.linked.entries(), call.region, call.zone)
        if not addresses or self.stopping:
            return succeed(calls.Unavailable('no entry is known here'))
        return succeed(calls.EntriesFound(addresses, ADDRESSES_VALID_SECONDS))

    @_handle.register
    def _list_blocked_traits(self, _call: ListBlockedTraits) -> DeferredAnswer:
        state = self.fanout.machine.state
        found = self.fanout.traits.blame.blocked
        return succeed(BlockedTraitsFound(state.revision, found, state.blocked_traits))

    @_handle.register
    def _lift_blocked_trait(self, call: LiftBlockedTrait) -> DeferredAnswer:
        if not self.replicator.is_leader():
            return succeed(self._redirect())
        if call.trait not in self.fanout.machine.state.blocked_traits:
            return succeed(calls.NotFound())
        return self._propose(lift_trait(call.trait), f'lift trait {call.trait}')

    def _propose(self, command: bytes, change: str) -> DeferredAnswer:
        if not self.replicator.is_leader():
            return succeed(self._redirect())
        proposed: Any = self.replicator.propose(command)
        return proposed.addCallback(self._answer_change, change)

    def _answer_change(
        self, outcome: Result[CommandOutcome, ProposeError], change: str
    ) -> calls.Answer:
        answer = _answer_of(outcome)
        revision = self.fanout.machine.state.revision
        events.log(CHANGE_ANSWERED, change=change, revision=revision, answer=type(answer).__name__)
        return answer

    def _redirect(self) -> calls.Answer:
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
