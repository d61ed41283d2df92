"""The follower's side of replication: appends and snapshots from the leader."""

from jackdawsail.consensus.configuration import decode_configuration
from jackdawsail.consensus.core import Core
from jackdawsail.consensus.effects import SaveEntries, SaveSnapshot
from jackdawsail.consensus.log import Entry, Snapshot
from jackdawsail.consensus.messages import Append, AppendReply, SnapshotPiece, SnapshotReply


class Follower:
    """Takes entries from the leader of the current or a later term."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._source = ('', 0, 0)
        self._received = bytearray()

    def on_append(self, append: Append) -> None:
        """Takes the entries that fit the log, or says where the logs part."""
        if append.term < self._core.term:
            self._answer(append, success=False, match_index=0)
            return
        self._hear(append)
        if self._fits(append):
            self._take(append)
        else:
            self._point_out_conflict(append)

    def on_piece(self, piece: SnapshotPiece) -> None:
        """Collects a snapshot piece by piece and installs it when it is whole."""
        core = self._core
        if piece.term < core.term:
            self._answer(piece, success=False, match_index=0)
            return
        self._hear(piece)
        if piece.index <= core.commit_index:
            self._answer(piece, success=True, match_index=core.commit_index)
            return
        self._collect(piece)
        if len(self._received) < piece.total_bytes:
            self._ask_for_more(piece)
            return
        self._install(piece)
        self._answer(piece, success=True, match_index=piece.index)

    def _hear(self, received: Append | SnapshotPiece) -> None:
        core = self._core
        core.follow(received.term, received.sender)
        core.heard_seconds = core.now_seconds

    def _fits(self, append: Append) -> bool:
        log = self._core.log
        if append.previous_index < log.base_index:
            return True
        return log.term_at(append.previous_index) == append.previous_term

    def _take(self, append: Append) -> None:
        core = self._core
        fresh = self._unknown_entries(append.entries)
        if fresh:
            self._replace_tail(fresh)
        matched = append.previous_index + len(append.entries)
        core.commit(min(append.commit_index, matched))
        self._answer(append, success=True, match_index=matched)

    def _unknown_entries(self, entries: list[Entry]) -> list[Entry]:
        log = self._core.log
        for position, entry in enumerate(entries):
            if entry.index > log.base_index and log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _replace_tail(self, fresh: list[Entry]) -> None:
        core = self._core
        first = fresh[0].index
        if first <= core.commit_index:
            raise AssertionError(f'leader {core.leader} contradicts committed entry {first}')
        if first <= core.log.last_index:
            core.log.truncate_from(first)
        core.log.append(fresh)
        core.effects.append(SaveEntries(tuple(fresh)))

    def _point_out_conflict(self, append: Append) -> None:
        log = self._core.log
        term = log.term_at(append.previous_index)
        if term is None:
            self._answer(append, success=False, match_index=0, conflict=(log.last_index + 1, 0))
            return
        first = log.first_index_of_term(append.previous_index)
        self._answer(append, success=False, match_index=0, conflict=(first, term))

    def _collect(self, piece: SnapshotPiece) -> None:
        source = (piece.sender, piece.term, piece.index)
        if self._source != source:
            self._source = source
            self._received.clear()
        if piece.offset == len(self._received):
            self._received += piece.piece

    def _ask_for_more(self, piece: SnapshotPiece) -> None:
        core = self._core
        reply = SnapshotReply(
            sender=core.node,
            target=piece.sender,
            term=core.term,
            index=piece.index,
            received_bytes=len(self._received),
            sent_seconds=piece.sent_seconds,
        )
        core.send(reply)

    def _install(self, piece: SnapshotPiece) -> None:
        core = self._core
        configuration = decode_configuration(piece.configuration)
        state = bytes(self._received)
        snapshot = Snapshot(piece.index, piece.snapshot_term, configuration, state)
        self._source = ('', 0, 0)
        self._received.clear()
        restart_log = core.log.term_at(piece.index) != piece.snapshot_term
        if restart_log:
            core.log.reset(snapshot)
        else:
            core.log.compact_to(piece.index)
        core.snapshot = snapshot
        core.commit_index = piece.index
        core.effects.append(SaveSnapshot(snapshot, restart_log))

    def _answer(
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
