"""Integrity of an answer's parts: order, number, length and digest."""

import hashlib

from jackdawsail.wire.work_messages import AnswerEnd, AnswerPart


class AnswerCheck:
    """Checks the parts of one attempt as they arrive.

    A repeated part is dropped; a gap breaks the answer for good.
    """

    def __init__(self) -> None:
        self.broken = ''
        self.tokens = 0
        self._next_sequence = 0
        self._length_bytes = 0
        self._hash = hashlib.sha256()

    @property
    def started(self) -> bool:
        """Tells whether any part has been accepted."""
        return self._next_sequence > 0

    def accept(self, part: AnswerPart) -> bool:
        """Tells whether the part is the next one, to be passed on."""
        if self.broken or part.sequence < self._next_sequence:
            return False
        if part.sequence > self._next_sequence:
            self.broken = f'part {self._next_sequence} is missing'
            return False
        self._next_sequence += 1
        self._length_bytes += len(part.body)
        self.tokens += part.tokens
        self._hash.update(part.body)
        return True

    def is_whole(self, end: AnswerEnd) -> bool:
        """Tells whether everything that the agent sent has arrived unchanged."""
        if self.broken:
            return False
        counted = (self._next_sequence, self._length_bytes, self._hash.hexdigest())
        return counted == (end.parts, end.length_bytes, end.digest)


class AnswerBuilder:
    """The sending side: numbers the parts and makes the end message."""

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._sequence = 0
        self._length_bytes = 0
        self._hash = hashlib.sha256()

    def part(self, body: bytes, tokens: int) -> AnswerPart:
        """Makes the next part."""
        made = AnswerPart(self._attempt_id, self._sequence, body, tokens)
        self._sequence += 1
        self._length_bytes += len(body)
        self._hash.update(body)
        return made

    def end(self) -> AnswerEnd:
        """Makes the end message of everything that was sent."""
        digest = self._hash.hexdigest()
        return AnswerEnd(self._attempt_id, self._sequence, self._length_bytes, digest)
