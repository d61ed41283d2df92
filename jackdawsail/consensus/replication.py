"""The leader's side of replication: appends, snapshot pieces, commit and lease."""

import math

from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.effects import SaveEntries
from jackdawsail.consensus.log import Entry, EntryKind
from jackdawsail.consensus.messages import Append, AppendReply, SnapshotPiece, SnapshotReply
from jackdawsail.consensus.progress import Progress, ProgressTable, SnapshotTransfer


class Replication:
    """Replicates the leader's log to the members and processes their replies."""

    def __init__(self, core: Core) -> None:
        self.progress = ProgressTable(core.node)
        self._core = core
        self._broadcast_seconds = -math.inf
        self._leader_since_seconds = -math.inf
        self._term_start_index = 0

    def become_leader(self) -> None:
        """Becomes leader: resets the progress of all members and appends a no-op entry."""
        core = self._core
        self._leader_since_seconds = core.now_seconds
        self._term_start_index = core.log.last_index + 1
        self.progress.clear()
        core.change_role(Role.leader, core.node)
        self.append_all([(EntryKind.noop, b'')])

    def append_all(self, bodies: list[tuple[EntryKind, bytes]]) -> int:
        """Appends entries in the current term and sends them; returns the first index."""
        core = self._core
        first_index = core.log.last_index + 1
        entries = tuple(
            Entry(first_index + position, core.term, kind, body)
            for position, (kind, body) in enumerate(bodies)
        )
        core.log.append(entries)
        core.effects.append(SaveEntries(entries))
        self.progress.refresh(core.configuration, first_index - 1, core.now_seconds)
        self._advance_commit()
        self.broadcast()
        return first_index

    def tick(self) -> None:
        """Sends due heartbeats; steps down after an election timeout without a quorum."""
        core = self._core
        if core.role is not Role.leader:
            return
        silent_seconds = core.now_seconds - self._supported_since_seconds()
        if silent_seconds >= core.timing.election_timeout_seconds:
            core.become_follower(core.term)
            return
        if core.now_seconds - self._broadcast_seconds >= core.timing.heartbeat_seconds:
            self.broadcast()

    def broadcast(self) -> None:
        """Sends each member its missing entries, or a heartbeat."""
        self._broadcast_seconds = self._core.now_seconds
        for node in self.progress.nodes():
            self._send_append(node)

    def holds_lease(self, now_seconds: float) -> bool:
        """Returns whether the lease is valid: no other node can have been elected yet.

        Measured on the leader's clock; False until an entry of its own term is committed.
        """
        core = self._core
        if core.role is not Role.leader or core.commit_index < self._term_start_index:
            return False
        acked_seconds = self.progress.quorum_acked_seconds(core.configuration, now_seconds)
        return now_seconds - acked_seconds < core.timing.lease_seconds

    def accepts_proposals(self) -> bool:
        """Returns whether this node leads and has recently had contact with a quorum."""
        core = self._core
        if core.role is not Role.leader:
            return False
        silent_seconds = core.now_seconds - self._supported_since_seconds()
        return silent_seconds < core.timing.lease_seconds

    def best_successor(self) -> str:
        """Returns the other voter with the most complete log, or an empty string."""
        candidates = [
            node for node in self.progress.nodes() if node in self._core.configuration.voters
        ]
        return max(candidates, key=self.progress.match_index, default='')

    def on_append_reply(self, reply: AppendReply) -> None:
        """Updates the progress of a member and sends it further entries."""
        progress = self._progress_of(reply)
        if progress is None:
            return
        if reply.success:
            self._on_match(progress, reply)
        elif progress.transfer is None:
            progress.rewind_to(self._next_index_after_conflict(progress, reply))
            self._send_append(reply.sender)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Sends the next piece of the snapshot in transfer."""
        progress = self._progress_of(reply)
        if progress is None or progress.transfer is None:
            return
        if progress.transfer.snapshot.index == reply.index:
            progress.transfer.confirm(reply.received_bytes, self._core.now_seconds)
            window_bytes = self._core.timing.piece_window_bytes
            self._send_pieces(reply.sender, progress.transfer, window_bytes)

    def _supported_since_seconds(self) -> float:
        core = self._core
        acked_seconds = self.progress.quorum_acked_seconds(core.configuration, core.now_seconds)
        return max(acked_seconds, self._leader_since_seconds)

    def _progress_of(self, reply: AppendReply | SnapshotReply) -> Progress | None:
        core = self._core
        progress = self.progress.get(reply.sender)
        if core.role is not Role.leader or reply.term != core.term or progress is None:
            return None
        progress.acked_seconds = max(progress.acked_seconds, reply.sent_seconds)
        return progress

    def _on_match(self, progress: Progress, reply: AppendReply) -> None:
        progress.record_match(reply.match_index)
        transfer = progress.transfer
        if transfer is not None and transfer.snapshot.index <= progress.match_index:
            progress.transfer = None
        self._advance_commit()
        if progress.next_index <= self._core.log.last_index:
            self._send_append(reply.sender)

    def _advance_commit(self) -> None:
        core = self._core
        committed = self.progress.quorum_match_index(core.configuration, core.log.last_index)
        # Counting replicas commits only entries of the current term; earlier ones commit with them.
        if committed >= self._term_start_index and committed > core.commit_index:
            core.commit(committed)
            self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        core = self._core
        is_removed = not core.is_voter
        if is_removed and core.log.configuration_index <= core.commit_index:
            self.broadcast()
            core.become_follower(core.term)

    def _next_index_after_conflict(self, progress: Progress, reply: AppendReply) -> int:
        next_index = reply.conflict_index
        if reply.conflict_term:
            own_last_index = self._core.log.last_index_of_term(reply.conflict_term)
            next_index = own_last_index + 1 if own_last_index else next_index
        return max(progress.match_index + 1, min(next_index, self._core.log.last_index + 1))

    def _send_append(self, node: str) -> None:
        core = self._core
        progress = self.progress.get(node)
        if progress is None:
            return
        if progress.needs_snapshot(core.log, core.snapshot, core.timing.batch_bytes):
            self._send_snapshot(node, progress)
            return
        entries = self._next_batch(progress)
        previous_index = progress.next_index - 1
        append = Append(
            sender=core.node,
            target=node,
            term=core.term,
            previous_index=previous_index,
            previous_term=core.log.term_at(previous_index) or 0,
            commit_index=core.commit_index,
            sent_seconds=core.now_seconds,
            entries=entries,
        )
        progress.record_sent(entries)
        core.send(append)

    def _next_batch(self, progress: Progress) -> list[Entry]:
        core = self._core
        # On a slow link heartbeats queue behind the appends in flight, so their size is bounded.
        if progress.in_flight_bytes >= core.timing.window_bytes:
            return []
        return core.log.batch(progress.next_index - 1, core.timing.batch_bytes)

    def _send_snapshot(self, node: str, progress: Progress) -> None:
        core = self._core
        if progress.transfer is None:
            if core.snapshot is None:
                raise AssertionError('the log is compacted, but there is no snapshot')
            progress.transfer = SnapshotTransfer(core.snapshot)
        transfer = progress.transfer
        unanswered_seconds = core.now_seconds - transfer.active_seconds
        if unanswered_seconds >= core.timing.election_timeout_seconds / 2:
            # One piece shows whether those in flight were lost, and serves as a heartbeat.
            transfer.active_seconds = core.now_seconds
            transfer.sent_bytes = transfer.received_bytes
            self._send_pieces(node, transfer, core.timing.piece_bytes)

    def _send_pieces(self, node: str, transfer: SnapshotTransfer, limit_bytes: int) -> None:
        """Sends the next pieces until ``limit_bytes`` are in flight."""
        core = self._core
        snapshot = transfer.snapshot
        for span in transfer.next_pieces(core.timing.piece_bytes, limit_bytes):
            piece = SnapshotPiece(
                sender=core.node,
                target=node,
                term=core.term,
                index=snapshot.index,
                snapshot_term=snapshot.term,
                configuration=snapshot.configuration.encode(),
                offset=span.start,
                total_bytes=len(snapshot.state),
                piece=snapshot.state[span],
                sent_seconds=core.now_seconds,
            )
            core.send(piece)
