"""Ensures that an engine serves only weights whose pieces were whole when it took them.

An engine loads its staged pieces as they are when it accepts the order, and staged data may
become corrupt at any time. Pieces that turned bad less than ``EXCUSED_SECONDS`` before are
excused. This process may stand still between any two steps, so the time is measured from
before the first piece is read until the answer to the order is here.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from jackdawsail.clocks import Clock
from jackdawsail.staging.engine import LoadWeightsOrder, PieceList
from jackdawsail.staging.engine_calls import EngineCalls, OrderFailure
from jackdawsail.staging.piece_fetcher import matches_digest

EXCUSED_SECONDS = 3.0
SEND_WITHIN_SECONDS = EXCUSED_SECONDS / 2  # the other half is for the way to the engine


@dataclass(slots=True)
class LoadCheck:
    """Reads staged pieces back, and orders the engine to load them while that is recent.

    ``unconfirmed`` holds the versions that the engine may have taken later than that, with
    their pieces; None once other pieces were staged, as nothing can show then what it took.

    Example::

        invalid = await check.invalid_pieces(pieces, range(len(pieces.digests)))
        if not invalid:
            outcome = await check.order_load(pieces, order)
    """

    clock: Clock
    calls: EngineCalls
    unconfirmed: dict[int, PieceList | None] = field(default_factory=dict)
    _read_since_seconds: float = -math.inf
    _engine_born_milliseconds: int = 0
    _engine_orders: int = 0

    def engine_reported(self, born_milliseconds: int, orders: int) -> None:
        """Forgets what an earlier incarnation of the engine had loaded.

        An engine that names no time of birth counts its orders from its start.
        """
        was_started_again = orders < self._engine_orders
        if was_started_again or born_milliseconds != self._engine_born_milliseconds:
            self.unconfirmed.clear()
        self._engine_born_milliseconds = born_milliseconds
        self._engine_orders = orders

    def piece_staged(self) -> None:
        """Records that a piece was overwritten: what an engine took cannot be read back any more."""
        self.unconfirmed = dict.fromkeys(self.unconfirmed)

    async def is_staged(self, pieces: PieceList, index: int) -> bool:
        """Returns whether a piece is staged and valid."""
        outcome = await self.calls.read_piece(pieces.model, index)
        return isinstance(outcome, Success) and matches_digest(pieces, index, outcome.unwrap())

    async def valid_pieces(self, pieces: PieceList) -> set[int]:
        """Returns the pieces that are staged already, as after a restart of this process."""
        outcome = await self.calls.staged_pieces(pieces.model)
        listed = outcome.unwrap() if isinstance(outcome, Success) else ()
        valid: set[int] = set()
        for index in listed:
            if await self.is_staged(pieces, index):
                valid.add(index)
            elif not valid:
                # If the first piece belongs to another version, so do the others.
                break
        return valid

    async def invalid_pieces(self, pieces: PieceList, indexes: Iterable[int]) -> list[int]:
        """Reads staged pieces back and returns those that are missing or corrupt."""
        self._read_since_seconds = self.clock.seconds()
        return [index for index in indexes if not await self.is_staged(pieces, index)]

    async def order_load(
        self, pieces: PieceList, order: LoadWeightsOrder
    ) -> Result[None, OrderFailure]:
        """Orders the engine to load what was read back; the order is not sent if that is too old.

        The version stays unconfirmed if the engine may have accepted the order too late.
        """
        was_unconfirmed = order.version in self.unconfirmed
        self.unconfirmed.setdefault(order.version, pieces)
        send_by_seconds = self._read_since_seconds + SEND_WITHIN_SECONDS
        outcome = await self.calls.order_load(order, send_by_seconds)
        age_seconds = self.clock.seconds() - self._read_since_seconds
        if isinstance(outcome, Failure):
            is_settled = not outcome.failure().maybe_accepted
        else:
            is_settled = age_seconds < EXCUSED_SECONDS
        if is_settled and not was_unconfirmed:
            self.unconfirmed.pop(order.version, None)
        return outcome

    async def confirm(self, version: int) -> bool:
        """Reads the pieces of an unconfirmed version back; returns whether all are valid.

        Staged data never becomes valid by itself, so valid pieces were so at the order, too.
        """
        pieces = self.unconfirmed[version]
        if pieces is None or await self.invalid_pieces(pieces, range(len(pieces.digests))):
            return False
        # Another piece may have been staged while these were read.
        if self.unconfirmed.get(version) is pieces:
            self.unconfirmed.pop(version)
        return version not in self.unconfirmed
