"""Counts the channels of a pool by address, from the attempt to connect until the end."""

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from jackdawsail.http1.client import ClientChannel


@dataclass(slots=True)
class ChannelLedger:
    """The attempts to connect and the open channels of each address."""

    _connecting: Counter[str] = field(default_factory=Counter)
    _open: 'dict[str, set[ClientChannel]]' = field(default_factory=dict)

    @property
    def connecting_total(self) -> int:
        """Returns the number of attempts to connect to all addresses."""
        return self._connecting.total()

    @property
    def open_total(self) -> int:
        """Returns the number of channels open to all addresses."""
        return sum(map(len, self._open.values()))

    def count(self, address: str) -> int:
        """Returns the number of attempts to connect and of open channels of an address."""
        return self._connecting.get(address, 0) + len(self._open.get(address, ()))

    def connect_started(self, address: str) -> None:
        """Counts an attempt to connect."""
        self._connecting[address] += 1

    def connect_ended(self, address: str, channel: 'ClientChannel | None') -> None:
        """Counts the channel that an attempt has opened, or none if it failed."""
        self._connecting[address] -= 1
        if not self._connecting[address]:
            del self._connecting[address]
        if channel is not None:
            self._open.setdefault(address, set()).add(channel)

    def channel_ended(self, channel: 'ClientChannel') -> None:
        """Stops counting a channel; it may be called again for the same one."""
        channels = self._open.get(channel.peer)
        if channels is None:
            return
        channels.discard(channel)
        if not channels:
            del self._open[channel.peer]
