"""The leader's side of replication: appends, snapshot pieces, commit and lease."""

import math

from jackdawsail.consensus.core import Core, Role
from jackdawsail.consensus.effects import SaveEntries
from jackdawsail.consensus.log import Entry, EntryKind
from jackdawsail.consensus.messages import Append, AppendReply, SnapshotPiece, SnapshotReply
from jackdawsail.consensus.progress import Progress, ProgressTable, Transfer


class Replication:
    """Sends the log of a leading node to the members and counts their answers."""

    def __init__(self, core: Core) -> None:
        self.progress = ProgressTable(core.node)
        self._core = core
        self._beat_seconds = -math.inf
        self._lead_seconds = -math.inf
        self._lead_index = 0

    def lead(self) -> None:
        """Takes office: every member is probed and an entry of the new term written."""
        core = self._core
        self._lead_seconds = core.now_seconds
        self._lead_index = core.log.last_index + 1
        self.progress.clear()
        core.change_role(Role.leader, core.node)
        self.append_all([(EntryKind.noop, b'')])

    def append_all(self, bodies: list[tuple[EntryKind, bytes]]) -> int:
        """Writes entries of the current term and sends them; returns the first index."""
        core = self._core
        first = core.log.last_index + 1
        entries = tuple(
            Entry(first + position, core.term, kind, body)
            for position, (kind, body) in enumerate(bodies)
        )
        core.log.append(entries)
        core.effects.append(SaveEntries(entries))
        self.progress.refresh(core.configuration, first - 1, core.now_seconds)
        self._advance_commit()
        self.broadcast()
        return first

    def tick(self) -> None:
        """Sends heartbeats in time, and steps down without a quorum."""
        core = self._core
        if core.role is not Role.leader:
            return
        silent_seconds = core.now_seconds - self._supported_since()
        if silent_seconds >= core.timing.election_timeout_seconds:
            core.follow(core.term)
            return
        if core.now_seconds - self._beat_seconds >= core.timing.heartbeat_seconds:
            self.broadcast()

    def broadcast(self) -> None:
        """Sends every member what it lacks, or a heartbeat."""
        self._beat_seconds = self._core.now_seconds
        for node in self.progress.nodes():
            self._send_append(node)

    def holds_lease(self, now_seconds: float) -> bool:
        """Tells whether no other node can have been elected, by the leader's clock."""
        core = self._core
        if core.role is not Role.leader or core.commit_index < self._lead_index:
            return False
        since = self.progress.quorum_seconds(core.configuration, now_seconds)
        return now_seconds - since < core.timing.lease_seconds

    def accepts(self) -> bool:
        """Tells whether proposals make sense: in office, and not known to be cut off."""
        core = self._core
        if core.role is not Role.leader:
            return False
        silent_seconds = core.now_seconds - self._supported_since()
        return silent_seconds < core.timing.lease_seconds

    def best_successor(self) -> str:
        """Names the other voter whose log is furthest; empty when there is none."""
        others = [
            node for node in self.progress.nodes() if node in self._core.configuration.voters
        ]
        return max(others, key=self.progress.matched, default='')

    def on_append_reply(self, reply: AppendReply) -> None:
        """Counts an answer and sends on."""
        progress = self._progress_of(reply)
        if progress is None:
            return
        if reply.success:
            self._on_match(progress, reply)
        elif progress.transfer is None:
            progress.go_back(self._after_conflict(progress, reply))
            self._send_append(reply.sender)

    def on_snapshot_reply(self, reply: SnapshotReply) -> None:
        """Sends the next piece."""
        progress = self._progress_of(reply)
        if progress is None or progress.transfer is None:
            return
        if progress.transfer.snapshot.index == reply.index:
            progress.transfer.offset = reply.received_bytes
            self._send_piece(reply.sender, progress.transfer)

    def _supported_since(self) -> float:
        core = self._core
        since = self.progress.quorum_seconds(core.configuration, core.now_seconds)
        return max(since, self._lead_seconds)

    def _progress_of(self, reply: AppendReply | SnapshotReply) -> Progress | None:
        core = self._core
        progress = self.progress.get(reply.sender)
        if core.role is not Role.leader or reply.term != core.term or progress is None:
            return None
        progress.acked_seconds = max(progress.acked_seconds, reply.sent_seconds)
        return progress

    def _on_match(self, progress: Progress, reply: AppendReply) -> None:
        progress.match(reply.match_index)
        transfer = progress.transfer
        if transfer is not None and transfer.snapshot.index <= progress.matched:
            progress.transfer = None
        self._advance_commit()
        if progress.following <= self._core.log.last_index:
            self._send_append(reply.sender)

    def _advance_commit(self) -> None:
        core = self._core
        committed = self.progress.committed(core.configuration, core.log.last_index)
        # Only entries of the own term commit by counting; earlier ones commit with them.
        if committed >= self._lead_index and committed > core.commit_index:
            core.commit(committed)
            self._leave_office_if_removed()

    def _leave_office_if_removed(self) -> None:
        core = self._core
        removed = not core.is_voter
        if removed and core.log.configuration_index <= core.commit_index:
            self.broadcast()
            core.follow(core.term)

    def _after_conflict(self, progress: Progress, reply: AppendReply) -> int:
        following = reply.conflict_index
        if reply.conflict_term:
            own = self._core.log.last_index_of_term(reply.conflict_term)
            following = own + 1 if own else following
        return max(progress.matched + 1, min(following, self._core.log.last_index + 1))

    def _send_append(self, node: str) -> None:
        core = self._core
        progress = self.progress.get(node)
        if progress is None:
            return
        if progress.following <= core.log.base_index:
            self._send_snapshot(node, progress)
            return
        entries = self._window(progress)
        previous = progress.following - 1
        append = Append(
            sender=core.node,
            target=node,
            term=core.term,
            previous_index=previous,
            previous_term=core.log.term_at(previous) or 0,
            commit_index=core.commit_index,
            sent_seconds=core.now_seconds,
            entries=entries,
        )
        progress.sent(entries)
        core.send(append)

    def _window(self, progress: Progress) -> list[Entry]:
        core = self._core
        # Heartbeats wait behind what is under way on a slow link, so it is bounded.
        if progress.under_way_bytes >= core.timing.window_bytes:
            return []
        return core.log.batch(progress.following - 1, core.timing.batch_bytes)

    def _send_snapshot(self, node: str, progress: Progress) -> None:
        core = self._core
        if progress.transfer is None:
            if core.snapshot is None:
                raise AssertionError('the log is compacted, but there is no snapshot')
            progress.transfer = Transfer(core.snapshot)
        transfer = progress.transfer
        late_seconds = core.now_seconds - transfer.sent_seconds
        if late_seconds >= core.timing.election_timeout_seconds / 2:
            self._send_piece(node, transfer)

    def _send_piece(self, node: str, transfer: Transfer) -> None:
        core = self._core
        transfer.sent_seconds = core.now_seconds
        snapshot = transfer.snapshot
        end = transfer.offset + core.timing.piece_bytes
        piece = SnapshotPiece(
            sender=core.node,
            target=node,
            term=core.term,
            index=snapshot.index,
            snapshot_term=snapshot.term,
            configuration=snapshot.configuration.encode(),
            offset=transfer.offset,
            total_bytes=len(snapshot.state),
            piece=snapshot.state[transfer.offset : end],
            sent_seconds=core.now_seconds,
        )
        core.send(piece)
