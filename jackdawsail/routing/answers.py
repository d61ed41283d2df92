"""Integrity of an answer that is sent in parts: their order and number, length and digest."""

import hashlib

from jackdawsail.wire.work_messages import AnswerEnd, AnswerPart


class AnswerVerifier:
    """Verifies the parts of one attempt on the receiving side.

    A repeated part is dropped. After a gap ``failure`` names the missing part, and no
    further part is accepted.
    """

    def __init__(self) -> None:
        self.failure = ''
        self.tokens = 0
        self._next_sequence = 0
        self._length_bytes = 0
        self._hash = hashlib.sha256()

    @property
    def started(self) -> bool:
        """Returns whether any part has been accepted."""
        return self._next_sequence > 0

    def accept(self, part: AnswerPart) -> bool:
        """Counts the part if it is the next in order; returns whether it must be forwarded."""
        if self.failure or part.sequence < self._next_sequence:
            return False
        if part.sequence > self._next_sequence:
            self.failure = f'part {self._next_sequence} is missing'
            return False
        self._next_sequence += 1
        self._length_bytes += len(part.body)
        self.tokens += part.tokens
        self._hash.update(part.body)
        return True

    def is_complete(self, end: AnswerEnd) -> bool:
        """Returns whether all parts that the agent sent have arrived unchanged."""
        if self.failure:
            return False
        received = (self._next_sequence, self._length_bytes, self._hash.hexdigest())
        return received == (end.parts, end.length_bytes, end.digest)


class AnswerBuilder:
    """Numbers the parts of one attempt on the sending side and builds the end message."""

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._sequence = 0
        self._length_bytes = 0
        self._hash = hashlib.sha256()

    def part(self, body: bytes, tokens: int) -> AnswerPart:
        """Builds the message of the next part."""
        message = AnswerPart(self._attempt_id, self._sequence, body, tokens)
        self._sequence += 1
        self._length_bytes += len(body)
        self._hash.update(body)
        return message

    def end(self) -> AnswerEnd:
        """Builds the end message with the number, length and digest of all parts."""
        digest = self._hash.hexdigest()
        return AnswerEnd(self._attempt_id, self._sequence, self._length_bytes, digest)
