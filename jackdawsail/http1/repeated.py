"""Answers to a request that is repeated on one connection, such as a poll.

An answer that arrives in one piece and whose head has the same bytes as one that h11 has accepted
before needs no parsing. Any other answer is parsed as usual.
"""

from dataclasses import dataclass, field

from jackdawsail.http1.messages import Framing, HttpAnswerHead, HttpRequest

MAX_HEADS = 16  # lengths and dates differ; beyond that the oldest one is forgotten
_HEAD_END = b'\r\n\r\n'


@dataclass(slots=True)
class RepeatedAnswers:
    """What a channel has learned from the answers to its repeated request.

    ``is_awaited`` is true while an answer is due that its parser does not expect yet.
    """

    is_awaited: bool = False
    _request: HttpRequest | None = None
    _encoded: bytes = b''
    _pieces: list[bytes] = field(default_factory=list)
    _heads: dict[bytes, HttpAnswerHead] = field(default_factory=dict)

    def encoded(self, request: HttpRequest) -> bytes:
        """Returns the bytes of a request if an answer to the same object is known, or none."""
        return self._encoded if request is self._request and self._heads else b''

    def begin(self, request: HttpRequest, encoded: bytes) -> None:
        """Records a request that is sent and whose answer will be parsed."""
        self._pieces.clear()
        if request is not self._request:
            self._heads.clear()
            self._request = request
        self._encoded = encoded

    def record_piece(self, received: bytes) -> None:
        """Records a piece of an answer that is parsed."""
        self._pieces.append(received)

    def learn(self, head: HttpAnswerHead) -> None:
        """Remembers the head of a complete answer if it has arrived in one piece with its body."""
        if len(self._pieces) != 1 or head.framing is not Framing.length:
            return
        encoded_head, _separator, body = self._pieces[0].partition(_HEAD_END)
        if head.header(b'content-length') != str(len(body)).encode():
            return
        if len(self._heads) == MAX_HEADS:
            del self._heads[next(iter(self._heads))]
        self._heads[encoded_head] = head

    def split(self, received: bytes) -> tuple[HttpAnswerHead, bytes] | None:
        """Returns the head and the body of a whole answer with a known head, or None."""
        encoded_head, _separator, body = received.partition(_HEAD_END)
        head = self._heads.get(encoded_head)
        if head is None or int(head.header(b'content-length')) != len(body):
            return None
        return head, body
