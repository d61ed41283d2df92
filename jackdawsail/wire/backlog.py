"""How many bytes wait to be sent on a connection, as Twisted's transport tells it."""


class Backlog:
    """A streaming producer that only counts what is written while the transport is full.

    Register it at the transport; ``unsent_bytes`` returns to zero when the
    transport has sent its buffer.
    """

    def __init__(self) -> None:
        self.unsent_bytes = 0
        self.is_full = False

    def count(self, size_bytes: int) -> None:
        """Counts bytes that are written now."""
        if self.is_full:
            self.unsent_bytes += size_bytes

    def pauseProducing(self) -> None:  # noqa: N802 - Twisted's name
        """Called by the transport when its buffer is full."""
        self.is_full = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Called by the transport when its buffer has been sent."""
        self.is_full = False
        self.unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Called by the transport when the connection has ended."""
        self.is_full = True
