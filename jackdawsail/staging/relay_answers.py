"""The answers of a relay, and what requests tell it."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from jackdawsail.clocks import Clock
from jackdawsail.http1.exchange import Exchange
from jackdawsail.http1.messages import HttpAnswer
from jackdawsail.staging.engine import PieceList
from jackdawsail.staging.list_doubts import PieceEvidence

NOT_FOUND = 404
CONFLICT = 409  # what is requested is held back, as the list is in doubt
# A request whose fetch hangs is answered before its sender takes this relay for lost (1.5 s).
ANSWER_WITHIN_SECONDS = 1.3


@dataclass(slots=True)
class Reply:
    """The answer to one request, which is sent once."""

    exchange: Exchange
    is_sent: bool = False

    def send(self, answer: HttpAnswer) -> None:
        """Sends the answer unless one was sent already or the sender has left."""
        if not self.is_sent and not self.exchange.ended:
            self.is_sent = True
            self.exchange.answer(answer)


@contextmanager
def time_limit(clock: Clock, reply: Reply) -> Iterator[None]:
    """Answers that nothing is held once a request has waited for ``ANSWER_WITHIN_SECONDS``."""
    timer: Any = clock.callLater(ANSWER_WITHIN_SECONDS, reply.send, HttpAnswer(NOT_FOUND))
    try:
        yield
    finally:
        if timer.active():
            timer.cancel()


def decode_evidence(query: str) -> PieceEvidence | None:
    """Returns what the sender of a request has for a piece; None if it does not tell."""
    fields = dict(parse_qsl(query))
    index, digest = fields.get('piece', ''), fields.get('digest', '')
    return PieceEvidence(int(index), digest) if index.isdecimal() and digest else None


def make_answer(body: bytes | None) -> HttpAnswer:
    """Returns the answer with a body, or that it is not held."""
    return HttpAnswer(NOT_FOUND) if body is None else HttpAnswer(200, body)


def encode_list(pieces: PieceList) -> bytes:
    """Encodes a piece list as relays exchange it."""
    content = {'model': pieces.model, 'version': pieces.version, 'digests': list(pieces.digests)}
    return json.dumps(content).encode()
