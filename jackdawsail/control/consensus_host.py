"""Runs a consensus node: steps it, makes its effects durable, then carries them out.

Everything that arrives in one reactor iteration is stepped together and made
durable by one fsync. A failed write halts the host: it no longer votes, leads,
applies or acknowledges anything until the process is restarted.
"""

from collections.abc import Callable, Sequence
from functools import singledispatchmethod
from typing import Any

from returns.result import Failure

from jackdawsail import events
from jackdawsail.clocks import Clock
from jackdawsail.consensus import effects
from jackdawsail.consensus.interfaces import StateMachine
from jackdawsail.consensus.log import Entry, EntryKind, Snapshot
from jackdawsail.consensus.messages import Message
from jackdawsail.consensus.node import Node, Propose, SnapshotTaken
from jackdawsail.consensus.storage import Storage
from jackdawsail.control.proposals import Proposals

HOST_HALTED = events.define(200, 'error', 'consensus host stopped taking part')
SNAPSHOT_SAVED = events.define(202, 'info', 'snapshot saved')
SNAPSHOT_INSTALLED = events.define(203, 'info', 'snapshot of the leader installed')

SendFunction = Callable[[Message], None]


class ConsensusHost:
    """Owns the node, its storage and the state machine of one control process."""

    def __init__(
        self,
        clock: Clock,
        node: Node,
        storage: Storage,
        state_machine: StateMachine,
        send: SendFunction,
    ) -> None:
        self.node = node
        self.proposals = Proposals()
        # Empty while this host takes part in the group.
        self.halt_reason = ''
        snapshot = node.core.snapshot
        self.applied_index = 0 if snapshot is None else snapshot.index
        self.saved_commit_index = node.core.commit_index
        self.on_step: Callable[[], None] = lambda: None
        self.on_decision: Callable[[effects.Accepted | effects.Refused], None] = lambda _: None
        self.clock = clock
        self._storage = storage
        self._state_machine = state_machine
        self._send = send
        self._queue: list[object] = []
        self._commands: list[tuple[int, bytes]] = []

    def restore(self) -> None:
        """Restores the state machine from the snapshot and the entries known to be committed."""
        core = self.node.core
        if core.snapshot is not None:
            self._state_machine.restore(core.snapshot.state)
        for entry in core.log.between(self.applied_index, core.commit_index):
            self._apply(entry)

    def save_commit_index(self) -> None:
        """Writes the applied index to disk, so that a restart can apply it before an election.

        It is a lower bound of the commit index.
        """
        if self.halt_reason or self.applied_index <= self.saved_commit_index:
            return
        outcome = self._storage.save_commit_index(self.applied_index)
        if isinstance(outcome, Failure):
            self.halt(outcome.failure())
            return
        self.saved_commit_index = self.applied_index

    def submit(self, event: object) -> None:
        """Queues an event for the node until the next reactor iteration."""
        self._schedule()
        self._queue.append(event)

    def submit_command(self, ticket: int, command: bytes) -> None:
        """Queues a command to be proposed; commands of one reactor iteration share an append."""
        self._schedule()
        self._commands.append((ticket, command))

    def is_leader(self) -> bool:
        """Returns whether this host leads and holds a valid leader lease."""
        return not self.halt_reason and self.node.is_leader(self.clock.seconds())

    def run(self) -> None:
        """Steps the node through the queued events and carries out the effects."""
        if self.halt_reason:
            return
        try:
            self._run_queued()
        except Exception as error:
            # After a partly carried out batch no further one may run.
            self.halt(f'{type(error).__name__}: {error}')
            raise

    def save(self, emitted: Sequence[effects.Effect]) -> bool:
        """Makes effects durable; on failure halts the host and returns False."""
        outcome = self._storage.save(emitted)
        if isinstance(outcome, Failure):
            self.halt(outcome.failure())
            return False
        return True

    def take_snapshot(self, keep_entries: int) -> None:
        """Saves a snapshot of the applied state and compacts the log.

        The last ``keep_entries`` entries that the snapshot covers stay in the log.
        """
        log = self.node.core.log
        index = self.applied_index
        term = log.term_at(index) or 0
        state = self._state_machine.snapshot()
        snapshot = Snapshot(index, term, log.configuration_at(index), state)
        outcome = self._storage.save_snapshot(snapshot, keep_entries)
        if isinstance(outcome, Failure):
            self.halt(outcome.failure())
            return
        self.node.step(SnapshotTaken(snapshot, keep_entries), self.clock.seconds())
        events.log(SNAPSHOT_SAVED, index=index, size_bytes=len(state))

    def halt(self, reason: str) -> None:
        """Stops taking part in the group; waiting proposals fail as possibly applied."""
        if self.halt_reason:
            return
        events.log(HOST_HALTED, reason=reason)
        self._stop_taking_part(reason)

    def stop(self) -> None:
        """Stops taking part in the group and closes the files."""
        if not self.halt_reason:
            self._stop_taking_part('stopping')
        self._storage.close()

    def _stop_taking_part(self, reason: str) -> None:
        self.halt_reason = reason
        self.proposals.fail_all(reason)
        self.on_step()

    def _schedule(self) -> None:
        if not self.halt_reason and not self._queue and not self._commands:
            self.clock.callLater(0, self.run)

    def _run_queued(self) -> None:
        emitted: list[effects.Effect] = []
        now_seconds = self.clock.seconds()
        queued = _with_proposal(self._queue, self._commands)
        self._queue = []
        self._commands = []
        for event in queued:
            emitted.extend(self.node.step(event, now_seconds))
        durable = [effect for effect in emitted if isinstance(effect, effects.DURABLE_EFFECTS)]
        if durable and not self.save(durable):
            return
        for effect in emitted:
            self._carry_out(effect)
        self.proposals.expire(now_seconds)
        self.on_step()

    @singledispatchmethod
    def _carry_out(self, effect: effects.Effect) -> None:
        """Does nothing for effects that ``save`` has made durable."""

    @_carry_out.register
    def _on_send(self, effect: effects.Send) -> None:
        self._send(effect.message)

    @_carry_out.register
    def _on_apply(self, effect: effects.Apply) -> None:
        for entry in effect.entries:
            self._apply(entry)

    @_carry_out.register
    def _on_install(self, effect: effects.SaveSnapshot) -> None:
        snapshot = effect.snapshot
        self._state_machine.restore(snapshot.state)
        self.applied_index = snapshot.index
        self.proposals.fail_covered(snapshot.index)
        events.log(SNAPSHOT_INSTALLED, index=snapshot.index, size_bytes=len(snapshot.state))

    @_carry_out.register
    def _on_decision(self, effect: effects.Accepted | effects.Refused) -> None:
        if isinstance(effect, effects.Accepted):
            self.proposals.set_log_position(effect.ticket, effect.index, effect.term)
        else:
            self.proposals.refuse(effect.ticket, effect.reason, effect.leader)
        self.on_decision(effect)

    def _apply(self, entry: Entry) -> None:
        reply: Any = None
        if entry.kind is EntryKind.command:
            reply = self._state_machine.apply(entry.index, entry.body)
        self.applied_index = entry.index
        self.proposals.applied(entry, reply)


def _with_proposal(queue: list[object], commands: list[tuple[int, bytes]]) -> list[object]:
    """Returns the queued events, with all queued commands in one proposal."""
    if not commands:
        return queue
    tickets, bodies = zip(*commands, strict=True)
    return [*queue, Propose(tickets, bodies)]
