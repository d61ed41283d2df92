"""Joins the answer parts of one moment into one frame for each entry.

An engine that batches continuously emits a token of every stream at once. Sent
one by one, the frames and not the tokens cost the entry most of its time.
"""

from typing import Any

from jackdawsail.wire.link import Link
from jackdawsail.wire.work_messages import AnswerPart, AnswerParts

GATHER_SECONDS = 0.003
MAX_PARTS = 256


class PartBatches:
    """Sends to entries in order; only parts wait, and only for a moment."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._gathered: dict[Link, list[AnswerPart]] = {}

    def send(self, link: Link, sent: Any) -> None:
        """Sends a message after all parts that were given before it."""
        self.flush(link)
        link.send(sent)

    def add(self, link: Link, part: AnswerPart) -> None:
        """Takes a part, to be sent with others."""
        gathered = self._gathered.get(link)
        if gathered is None:
            self._gathered[link] = [part]
            self._reactor.callLater(GATHER_SECONDS, self.flush, link)
            return
        gathered.append(part)
        if len(gathered) >= MAX_PARTS:
            self.flush(link)

    def flush(self, link: Link) -> None:
        """Sends what was gathered for an entry."""
        gathered = self._gathered.pop(link, None)
        if gathered is not None:
            link.send(gathered[0] if len(gathered) == 1 else AnswerParts(gathered))
