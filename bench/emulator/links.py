"""Transfers over shared links in simulated time.

Each transfer gets an equal share of every link on its way and runs at the smallest of them.
A share that a transfer cannot use is not given to the others, so that transfers take somewhat
longer than with TCP's fair sharing.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


@dataclass(slots=True, eq=False)
class Link:
    """One direction of a link; ``carried_bytes`` counts what has been sent over it."""

    megabits_per_second: float
    carried_bytes: float = 0
    transfers: set['Transfer'] = field(default_factory=set)

    @property
    def share_bytes_per_second(self) -> float:
        """Returns the rate of each of its transfers."""
        rate = self.megabits_per_second * BITS_PER_MEGABIT / BITS_PER_BYTE
        return rate / max(1, len(self.transfers))


@dataclass(slots=True, eq=False)
class Transfer:
    """Bytes on their way over some links; ``arrived`` is called with the last of them."""

    links: Sequence[Link]
    left_bytes: float
    arrived: Callable[[], None]
    bytes_per_second: float = 0
    updated_seconds: float = 0
    timer: Any = None

    def end(self) -> None:
        """Takes the transfer off its links and stops its timer."""
        for link in self.links:
            link.transfers.discard(self)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


@dataclass(frozen=True, slots=True)
class Network:
    """Runs transfers on a clock."""

    clock: Any

    def send(
        self, links: Sequence[Link], size_bytes: int, arrived: Callable[[], None]
    ) -> Transfer:
        """Starts a transfer over all of the links at the same time."""
        transfer = Transfer(links, size_bytes, arrived, updated_seconds=self.clock.seconds())
        for link in links:
            link.carried_bytes += size_bytes
            link.transfers.add(transfer)
        self._update_rates(links)
        return transfer

    def abort(self, transfer: Transfer) -> None:
        """Ends a transfer before its last byte; what was not sent yet does not count."""
        passed_seconds = self.clock.seconds() - transfer.updated_seconds
        left_bytes = max(0, transfer.left_bytes - passed_seconds * transfer.bytes_per_second)
        for link in transfer.links:
            link.carried_bytes -= left_bytes
        transfer.end()
        self._update_rates(transfer.links)

    def _update_rates(self, links: Sequence[Link]) -> None:
        affected = {transfer for link in links for transfer in link.transfers}
        for transfer in affected:
            rate = min(link.share_bytes_per_second for link in transfer.links)
            if rate != transfer.bytes_per_second:
                self._set_rate(transfer, rate)

    def _set_rate(self, transfer: Transfer, bytes_per_second: float) -> None:
        now_seconds = self.clock.seconds()
        passed_seconds = now_seconds - transfer.updated_seconds
        transfer.left_bytes -= passed_seconds * transfer.bytes_per_second
        transfer.updated_seconds = now_seconds
        transfer.bytes_per_second = bytes_per_second
        left_seconds = max(0, transfer.left_bytes) / bytes_per_second
        if transfer.timer is None:
            transfer.timer = self.clock.callLater(left_seconds, self._finish, transfer)
        else:
            transfer.timer.reset(left_seconds)

    def _finish(self, transfer: Transfer) -> None:
        transfer.end()
        self._update_rates(transfer.links)
        transfer.arrived()
