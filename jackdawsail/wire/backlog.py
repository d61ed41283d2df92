"""Counts the bytes that wait in a Twisted transport's send buffer."""

from collections.abc import Callable

OnFull = Callable[[bool], None]


class Backlog:
    """A push producer that counts the bytes written while the transport's buffer is full.

    Register it with the transport as a streaming producer. ``unsent_bytes`` is
    reset to zero when the transport has sent its buffer. ``on_full`` is called with True
    when the buffer becomes full and with False once it is sent.
    """

    def __init__(self, on_full: OnFull | None = None) -> None:
        self.unsent_bytes = 0
        self.is_full = False
        self._on_full = on_full or _ignore

    def count(self, size_bytes: int) -> None:
        """Adds a write of ``size_bytes`` if the transport's buffer is full."""
        if self.is_full:
            self.unsent_bytes += size_bytes

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called by the transport when its buffer is full."""
        self.is_full = True
        self._on_full(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Called by the transport when it has sent its buffer."""
        self.is_full = False
        self.unsent_bytes = 0
        self._on_full(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Called by the transport when the connection has ended."""
        self.is_full = True


def _ignore(_is_full: bool) -> None:
    """Ignores the state of the send buffer."""
