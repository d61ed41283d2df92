"""Batches answer parts that are sent within a few milliseconds into one frame per entry.

An engine with continuous batching emits one token of every stream at once. With a
frame for each token, the entry spends most of its time on frames, not on tokens.
"""

from typing import Any

from jackdawsail.wire.link import Link
from jackdawsail.wire.work_messages import AnswerPart, AnswerParts

BATCH_DELAY_SECONDS = 0.003
MAX_BATCH_PARTS = 256


class AnswerBatcher:
    """Sends messages to entries in order, delaying only answer parts by a few milliseconds."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pending: dict[Link, list[AnswerPart]] = {}

    def send(self, link: Link, message: Any) -> None:
        """Sends a message after all parts that were added before it."""
        self.flush(link)
        link.send(message)

    def add(self, link: Link, part: AnswerPart) -> None:
        """Adds a part to the batch of its link; a full batch is sent at once."""
        batch = self._pending.get(link)
        if batch is None:
            self._pending[link] = [part]
            self._reactor.callLater(BATCH_DELAY_SECONDS, self.flush, link)
            return
        batch.append(part)
        if len(batch) >= MAX_BATCH_PARTS:
            self.flush(link)

    def flush(self, link: Link) -> None:
        """Sends the batch of a link, if there is one."""
        batch = self._pending.pop(link, None)
        if batch is not None:
            link.send(batch[0] if len(batch) == 1 else AnswerParts(batch))
