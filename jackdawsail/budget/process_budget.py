"""Decides which callers are closed or refused when a process holds too much for them.

What a connection holds is counted in a ``Holding``. As long as everything fits, nothing is
decided. Otherwise those that have held most for longest give way: requests that are not
complete, and answers that their callers do not read. A request that is being served is never
given up. Time is read from a function, and only where a decision needs it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from jackdawsail.budget.limits import CONNECTION_BYTES, BudgetLimits

# Per header of a parsed head: its name, its value and the tuple of both.
HEADER_BYTES = 256
# Small requests may use this part of the limit in addition, so that large ones do not end them.
SMALL_REQUEST_BYTES = 16_384
SMALL_SHARE = 1 / 8
# An answer that a transport takes without stopping its producer.
SMALL_ANSWER_BYTES = 65_536
# Room is made for several reads at once, so that it is not needed again at the next one.
TARGET_SHARE = 7 / 8
# From this part of the connections on, an idle one is closed for each that is accepted.
FULL_SHARE = 7 / 8
# A connection that has just begun to hold something counts as having held it for so long, so
# that the larger of two new ones gives way.
MIN_AGE_SECONDS = 0.01


class HoldReason(StrEnum):
    """What bytes are held for."""

    connection = 'connection'
    unfinished = 'unfinished'  # a head or a body of which some is missing
    request = 'request'  # a complete request until its answer ends
    answer = 'answer'  # an answer that the caller has not read
    piece = 'piece'  # pieces of weights and lists of them


class CloseReason(StrEnum):
    """Why a connection has to give way."""

    memory = 'memory'
    descriptors = 'descriptors'


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection holds; ``close`` ends the connection or what it holds."""

    close: Callable[[CloseReason], None]
    unfinished_bytes: int = 0
    request_bytes: int = 0
    answer_bytes: int = 0
    since_seconds: float = 0
    closing_bytes: int = 0
    is_open: bool = False


@dataclass(slots=True)
class ProcessBudget:
    """What all connections of a process hold, against its limits.

    ``on_pressure`` is told each time that a caller is closed or refused. Of the connections
    without a complete request, ``_idle`` has those that hold nothing and ``_yielding`` those
    that can be closed to gain memory; both begin with the one that has waited longest.
    """

    limits: BudgetLimits
    seconds: Callable[[], float]
    on_pressure: Callable[[CloseReason, bool], None] = lambda reason, is_refused: None
    held_bytes: int = 0
    connections: int = 0
    held_by_reason: dict[HoldReason, int] = field(
        default_factory=lambda: dict.fromkeys(HoldReason, 0)
    )
    _closing_bytes: int = 0
    _idle: dict[Holding, None] = field(default_factory=dict)
    _yielding: dict[Holding, None] = field(default_factory=dict)

    def open(self, holding: Holding) -> bool:
        """Counts a new connection; returns False if it cannot be accepted."""
        if self.connections >= self.limits.connections * FULL_SHARE:
            self._close_longest_waiting()
        if self.connections >= self.limits.connections:
            self.on_pressure(CloseReason.descriptors, True)
            return False
        holding.is_open = True
        self.connections += 1
        self._idle[holding] = None
        self._count(HoldReason.connection, CONNECTION_BYTES)
        return True

    def closed(self, holding: Holding) -> None:
        """Forgets a connection that has ended, and all that it held."""
        if not holding.is_open:
            return
        self.set_unfinished(holding, 0)
        self.set_answer(holding, 0)
        self.end_request(holding)
        self._idle.pop(holding, None)
        self._closing_bytes -= holding.closing_bytes
        holding.closing_bytes = 0
        holding.is_open = False
        self.connections -= 1
        self._count(HoldReason.connection, -CONNECTION_BYTES)

    def set_unfinished(self, holding: Holding, size_bytes: int) -> None:
        """Records the size of an incomplete request; closes connections if it does not fit.

        The one that has sent it may be among them.
        """
        grown_bytes = size_bytes - holding.unfinished_bytes
        if not grown_bytes:
            return
        holding.unfinished_bytes = size_bytes
        self._count(HoldReason.unfinished, grown_bytes)
        self._grown(holding, grown_bytes)

    def set_answer(self, holding: Holding, size_bytes: int) -> None:
        """Records how much of an answer waits for its caller, and closes as for requests."""
        grown_bytes = size_bytes - holding.answer_bytes
        if not grown_bytes:
            return
        holding.answer_bytes = size_bytes
        self._count(HoldReason.answer, grown_bytes)
        self._grown(holding, grown_bytes)

    def begin_request(self, holding: Holding, size_bytes: int) -> bool:
        """Records a complete request; returns False if it does not fit and must be refused."""
        self.set_unfinished(holding, 0)
        self._idle.pop(holding, None)
        allowed_bytes = float(self.limits.held_bytes)
        if size_bytes <= SMALL_REQUEST_BYTES:
            allowed_bytes *= 1 + SMALL_SHARE
        if self.held_bytes + size_bytes > allowed_bytes:
            self._make_room(size_bytes)
            if self.held_bytes + size_bytes > allowed_bytes:
                self.on_pressure(CloseReason.memory, True)
                return False
        holding.request_bytes = size_bytes
        self._count(HoldReason.request, size_bytes)
        return True

    def grow_request(self, holding: Holding, grown_bytes: int) -> None:
        """Records what is kept for a request that is being served, until it is answered."""
        holding.request_bytes += grown_bytes
        self._count(HoldReason.request, grown_bytes)

    def end_request(self, holding: Holding) -> None:
        """Releases a request that has been answered; its connection is idle from now on."""
        if holding.request_bytes:
            self._count(HoldReason.request, -holding.request_bytes)
            holding.request_bytes = 0
        if holding.is_open:
            self._idle[holding] = None

    def admits(self, size_bytes: int) -> bool:
        """Returns whether a body of this size fits, once all that can give way has done so."""
        fixed_bytes = (
            self.held_by_reason[HoldReason.request]
            + self.held_by_reason[HoldReason.piece]
            + self.held_by_reason[HoldReason.connection]
        )
        if size_bytes <= SMALL_REQUEST_BYTES or fixed_bytes + size_bytes <= self.limits.held_bytes:
            return True
        self.on_pressure(CloseReason.memory, True)
        return False

    def set_pieces(self, size_bytes: int) -> None:
        """Records the size of the pieces of weights that the process holds."""
        self._count(HoldReason.piece, size_bytes - self.held_by_reason[HoldReason.piece])

    def admits_answer(self, size_bytes: int) -> bool:
        """Returns whether an answer fits now; if not, makes room for those that come later.

        Connections that are closed keep their answers until their transports end them.
        """
        if size_bytes <= SMALL_ANSWER_BYTES:
            return True
        if self.held_bytes + self._closing_bytes + size_bytes <= self.limits.held_bytes:
            return True
        self._make_room(size_bytes)
        self.on_pressure(CloseReason.memory, True)
        return False

    def _grown(self, holding: Holding, grown_bytes: int) -> None:
        if not holding.unfinished_bytes and not holding.answer_bytes:
            self._yielding.pop(holding, None)
            return
        if holding not in self._yielding:
            self._idle.pop(holding, None)
            self._yielding[holding] = None
            holding.since_seconds = self.seconds()
        if grown_bytes > 0 and self.held_bytes > self.limits.held_bytes:
            self._make_room(0)

    def _make_room(self, size_bytes: int) -> None:
        """Closes connections until as many more bytes fit, or none can be closed any more.

        Those that hold little are closed only once the part for small requests is used up too.
        """
        target_bytes = self.limits.held_bytes * TARGET_SHARE - size_bytes
        now_seconds = self.seconds()
        is_short = self.held_bytes > self.limits.held_bytes * (1 + SMALL_SHARE)
        spared_bytes = 0 if is_short else SMALL_REQUEST_BYTES
        givers = [each for each in self._yielding if _given_bytes(each) > spared_bytes]
        costliest = sorted(givers, key=lambda each: _cost(each, now_seconds), reverse=True)
        for holding in costliest:
            if self.held_bytes <= target_bytes:
                return
            self._close(holding, CloseReason.memory)

    def _close_longest_waiting(self) -> None:
        """Closes the connection that has been idle for longest, or else the oldest unfinished."""
        waiting = next(iter(self._idle), None) or next(iter(self._yielding), None)
        if waiting is not None:
            self._close(waiting, CloseReason.descriptors)

    def _close(self, holding: Holding, reason: CloseReason) -> None:
        self._idle.pop(holding, None)
        self.on_pressure(reason, False)
        # Released at once, as the transport reports the end only in a later turn.
        holding.closing_bytes += holding.answer_bytes
        self._closing_bytes += holding.answer_bytes
        self.set_unfinished(holding, 0)
        self.set_answer(holding, 0)
        holding.close(reason)

    def _count(self, reason: HoldReason, size_bytes: int) -> None:
        self.held_bytes += size_bytes
        self.held_by_reason[reason] += size_bytes


def _cost(holding: Holding, now_seconds: float) -> float:
    """Returns bytes times seconds, by which both the largest and the slowest give way first."""
    age_seconds = max(MIN_AGE_SECONDS, now_seconds - holding.since_seconds)
    return _given_bytes(holding) * age_seconds


def _given_bytes(holding: Holding) -> int:
    return holding.unfinished_bytes + holding.answer_bytes


def head_bytes_held(size_bytes: int, header_count: int) -> int:
    """Returns the memory of a parsed head that took ``size_bytes`` on the connection."""
    return size_bytes + header_count * HEADER_BYTES
