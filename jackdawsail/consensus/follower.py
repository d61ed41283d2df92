"""The follower's side of replication: appends and snapshots from the leader."""

from jackdawsail.consensus.configuration import decode_configuration
from jackdawsail.consensus.core import Core
from jackdawsail.consensus.effects import SaveEntries, SaveSnapshot
from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.messages import Append, AppendReply, SnapshotPiece, SnapshotReply


class Follower:
    """Accepts entries and snapshots from the leader of the current or a later term."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._snapshot_source = ('', 0, 0)
        self._snapshot_bytes = bytearray()

    def on_append(self, append: Append) -> None:
        """Appends the entries if the log matches before them; otherwise replies with a conflict hint."""
        if append.term < self._core.term:
            self._reply(append, success=False, match_index=0)
            return
        self._record_leader_message(append)
        if self._matches_log(append):
            self._accept_entries(append)
        else:
            self._reply_conflict(append)

    def on_piece(self, piece: SnapshotPiece) -> None:
        """Collects the pieces of a snapshot and installs it when it is complete."""
        core = self._core
        if piece.term < core.term:
            self._reply(piece, success=False, match_index=0)
            return
        self._record_leader_message(piece)
        if piece.index <= core.commit_index:
            self._reply(piece, success=True, match_index=core.commit_index)
            return
        self._collect_piece(piece)
        if len(self._snapshot_bytes) < piece.total_bytes:
            self._request_next_piece(piece)
            return
        self._install_snapshot(piece)
        self._reply(piece, success=True, match_index=piece.index)

    def _record_leader_message(self, received: Append | SnapshotPiece) -> None:
        core = self._core
        core.become_follower(received.term, received.sender)
        core.leader_received_seconds = core.now_seconds

    def _matches_log(self, append: Append) -> bool:
        log = self._core.log
        if append.previous_index < log.base_index:
            return True
        return log.term_at(append.previous_index) == append.previous_term

    def _accept_entries(self, append: Append) -> None:
        core = self._core
        new_entries = self._entries_from_mismatch(append.entries)
        if new_entries:
            self._replace_tail(new_entries)
        match_index = append.previous_index + len(append.entries)
        core.commit(min(append.commit_index, match_index))
        self._reply(append, success=True, match_index=match_index)

    def _entries_from_mismatch(self, entries: list[Entry]) -> list[Entry]:
        log = self._core.log
        for position, entry in enumerate(entries):
            if entry.index > log.base_index and log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _replace_tail(self, new_entries: list[Entry]) -> None:
        core = self._core
        first_index = new_entries[0].index
        if first_index <= core.commit_index:
            raise AssertionError(f'leader {core.leader} contradicts committed entry {first_index}')
        if first_index <= core.log.last_index:
            core.log.truncate_from(first_index)
        core.log.append(new_entries)
        core.effects.append(SaveEntries(tuple(new_entries)))

    def _reply_conflict(self, append: Append) -> None:
        log = self._core.log
        term = log.term_at(append.previous_index)
        if term is None:
            self._reply(append, success=False, match_index=0, conflict=(log.last_index + 1, 0))
            return
        first_index = log.first_index_of_term(append.previous_index)
        self._reply(append, success=False, match_index=0, conflict=(first_index, term))

    def _collect_piece(self, piece: SnapshotPiece) -> None:
        snapshot_source = (piece.sender, piece.term, piece.index)
        if self._snapshot_source != snapshot_source:
            self._snapshot_source = snapshot_source
            self._snapshot_bytes.clear()
        if piece.offset == len(self._snapshot_bytes):
            self._snapshot_bytes += piece.piece

    def _request_next_piece(self, piece: SnapshotPiece) -> None:
        core = self._core
        reply = SnapshotReply(
            sender=core.node,
            target=piece.sender,
            term=core.term,
            index=piece.index,
            received_bytes=len(self._snapshot_bytes),
            sent_seconds=piece.sent_seconds,
        )
        core.send(reply)

    def _install_snapshot(self, piece: SnapshotPiece) -> None:
        core = self._core
        configuration = decode_configuration(piece.configuration)
        state = bytes(self._snapshot_bytes)
        snapshot = Snapshot(piece.index, piece.snapshot_term, configuration, state)
        self._snapshot_source = ('', 0, 0)
        self._snapshot_bytes.clear()
        restart_log = core.log.term_at(piece.index) != piece.snapshot_term
        if restart_log:
            core.log.reset(snapshot)
        else:
            core.log.compact_to(piece.index)
        core.snapshot = snapshot
        core.commit_index = piece.index
        core.effects.append(SaveSnapshot(snapshot, restart_log))

    def _reply(
        self,
        received: Append | SnapshotPiece,
        *,
        success: bool,
        match_index: int,
        conflict: tuple[int, int] = (0, 0),
    ) -> None:
        core = self._core
        reply = AppendReply(
            sender=core.node,
            target=received.sender,
            term=core.term,
            success=success,
            match_index=match_index,
            conflict_index=conflict[0],
            conflict_term=conflict[1],
            sent_seconds=received.sent_seconds,
        )
        core.send(reply)
